// Package adminapi defines the request and response bodies of the admin API,
// which plugins/admin and the operator commands share.
package adminapi

import (
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/publish"
)

// SetRequest carries a set of configuration objects to apply, check or compare.
type SetRequest struct {
	Set  string `json:"set"`            // INI text
	Name string `json:"name,omitempty"` // file name for error messages
	// Base, Token and Author are required to apply a set. Base is the revision
	// that the set replaces. Token is unique for each submission: repeating a
	// request with the same token publishes the set at most once.
	Base   uint64 `json:"base,omitempty"`
	Token  string `json:"token,omitempty"`
	Author string `json:"author,omitempty"`
}

// DrainRequest stops or resumes sending work to a worker.
type DrainRequest struct {
	Upstream string `json:"upstream"`
	Worker   string `json:"worker"`
	Undo     bool   `json:"undo,omitempty"` // resume sending work
	Token    string `json:"token"`
	Author   string `json:"author"`
}

// ApplyResponse is the response to apply and drain: the published revision.
type ApplyResponse struct {
	publish.Revision
	// Unchanged is set if a drain found the worker already in the requested
	// state. No revision was published then, and Revision is the newest one.
	Unchanged bool `json:"unchanged,omitempty"`
}

// CheckResponse is the response to check: the number of objects of each kind.
type CheckResponse struct {
	Ranks     int `json:"ranks"`
	Models    int `json:"models"`
	Callers   int `json:"callers"`
	Upstreams int `json:"upstreams"`
}

// DiffResponse is the response to diff.
type DiffResponse struct {
	Revision uint64           `json:"revision"` // the revision that the set was compared with
	Changes  []objects.Change `json:"changes"`
}

// GetResponse is the response to get.
type GetResponse struct {
	publish.Revision
	// Source is "platform" for the newest published set. If the platform does
	// not respond, the set is this router's active one and Source is "router".
	Source string `json:"source"`
	Set    string `json:"set"` // INI text
}

// StatusResponse is the response to status.
type StatusResponse struct {
	Router        string            `json:"router"`
	FailureDomain string            `json:"failure_domain"`
	Ready         bool              `json:"ready"`
	Reason        string            `json:"reason,omitempty"` // why the router is not ready
	Revision      uint64            `json:"revision"`
	Manifest      string            `json:"manifest,omitempty"` // digest of the manifest
	AppliedAt     time.Time         `json:"applied_at"`         // when the revision became active
	Addresses     map[string]string `json:"addresses"`          // bound address of each component
	Members       []core.Member     `json:"members"`
}

// AuditResponse is the response to audit, newest record first.
type AuditResponse struct {
	Records []publish.AuditRecord `json:"records"`
}

// ProblemResponse is the body of an error response, with the details that an
// operator needs to correct the request.
type ProblemResponse struct {
	core.ProblemJSON
	Problems []objects.Problem `json:"problems,omitempty"`
	Newest   *publish.Revision `json:"newest,omitempty"` // set if the request's Base is not the newest revision
}
