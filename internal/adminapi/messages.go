// Package adminapi has the messages of the admin API, shared by plugins/admin
// and the operator commands.
package adminapi

import (
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/publish"
)

// SetRequest carries a set to apply, check or compare.
type SetRequest struct {
	Set  string `json:"set"`            // INI text
	Name string `json:"name,omitempty"` // file name for messages
	// Base, Token and Author are needed to apply.
	Base   uint64 `json:"base,omitempty"`
	Token  string `json:"token,omitempty"`
	Author string `json:"author,omitempty"`
}

// DrainRequest takes a worker out of use, or back into use.
type DrainRequest struct {
	Upstream string `json:"upstream"`
	Worker   string `json:"worker"`
	Undo     bool   `json:"undo,omitempty"`
	Token    string `json:"token"`
	Author   string `json:"author"`
}

// ApplyResponse answers apply and drain.
type ApplyResponse struct {
	publish.Revision
	// Unchanged says that the worker was in the wanted state already and no
	// revision was published.
	Unchanged bool `json:"unchanged,omitempty"`
}

// CheckResponse answers check with the numbers of objects.
type CheckResponse struct {
	Ranks     int `json:"ranks"`
	Models    int `json:"models"`
	Callers   int `json:"callers"`
	Upstreams int `json:"upstreams"`
}

// DiffResponse answers diff.
type DiffResponse struct {
	Revision uint64           `json:"revision"` // compared with
	Changes  []objects.Change `json:"changes"`
}

// GetResponse answers get.
type GetResponse struct {
	publish.Revision
	// Source is platform, or router when the platform does not answer and
	// the set is the one in force in this router.
	Source string `json:"source"`
	Set    string `json:"set"` // INI text
}

// StatusResponse answers status.
type StatusResponse struct {
	Router        string            `json:"router"`
	FailureDomain string            `json:"failure_domain"`
	Ready         bool              `json:"ready"`
	Reason        string            `json:"reason,omitempty"` // why it is not ready
	Revision      uint64            `json:"revision"`
	Manifest      string            `json:"manifest,omitempty"`
	AppliedAt     time.Time         `json:"applied_at"`
	Addresses     map[string]string `json:"addresses"`
	Members       []core.Member     `json:"members"`
}

// AuditResponse answers audit, the newest record first.
type AuditResponse struct {
	Records []publish.AuditRecord `json:"records"`
}

// ProblemResponse is a problem with what an operator needs to correct it.
type ProblemResponse struct {
	core.ProblemJSON
	Problems []objects.Problem `json:"problems,omitempty"`
	Newest   *publish.Revision `json:"newest,omitempty"`
}
