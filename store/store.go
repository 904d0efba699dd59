// Package store describes the services that a deployment's platform gives:
// a transactional table, an object store and a list of VMs. Everything that
// has to be agreed or kept goes through these three. The package holds only
// interfaces, messages and typed errors; plugins/platform has an HTTP client
// and ledger, lease and publish are written against the interfaces.
package store

import (
	"context"
	"fmt"
	"time"
)

// AnyVersion as a precondition accepts every version of a row, absent included.
const AnyVersion int64 = -1

// Row is one row of the table. Version is 0 for a row that does not exist and
// rises by at least one with each write.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
}

// Op writes or deletes one row in a commit, provided that the row's version is
// IfVersion. IfVersion 0 demands that the row does not exist; AnyVersion
// demands nothing.
type Op struct {
	Key       string `json:"key"`
	IfVersion int64  `json:"if_version"`
	Value     []byte `json:"value,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
}

// CommitResult is the result of a commit: the new versions in the order of the
// operations, and the platform's clock at the commit.
type CommitResult struct {
	Versions []int64   `json:"versions"`
	At       time.Time `json:"at"`
}

// Table is the transactional table service.
type Table interface {
	// Get reads rows in one request. Absent rows come back with version 0, in
	// the order of the keys. Errors: *UnavailableError.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan reads up to limit rows whose keys start with prefix and sort after
	// the key after, in rising key order. Errors: *UnavailableError.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all operations or none. Errors: *ConflictError when a
	// precondition does not hold (nothing applied), *UnavailableError when
	// the request was certainly not applied, *UncertainError when it may have
	// been applied.
	Commit(ctx context.Context, ops []Op) (CommitResult, error)
}

// ObjectStore is the object store. An object is immutable once it has been put
// under a name that is the digest of its content.
type ObjectStore interface {
	// Put stores an object. Errors: *UnavailableError, *UncertainError.
	Put(ctx context.Context, name string, body []byte) error
	// Get reads an object. Errors: *NotFoundError, *UnavailableError.
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMState is the platform's word on a VM.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list. Address is the IP address and port
// at which the router on the VM serves its peers.
type VM struct {
	ID            string  `json:"id"`
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	State         VMState `json:"state"`
}

// VMList is the platform's list as of a moment in the past; it lags.
type VMList struct {
	VMs  []VM      `json:"vms"`
	AsOf time.Time `json:"as_of"`
}

// VMLister is the platform's VM list.
type VMLister interface {
	// List reads the list. Errors: *UnavailableError.
	List(ctx context.Context) (VMList, error)
}

// Client is the whole platform.
type Client interface {
	Table
	VMLister
	Objects() ObjectStore
}

// ConflictError says that a precondition of a commit did not hold. Nothing was
// applied. Current has the rows whose preconditions failed as they are now.
type ConflictError struct{ Current []Row }

func (e *ConflictError) Error() string {
	if len(e.Current) == 0 {
		return "platform: commit conflicts with a newer write; read the rows again and retry on their versions"
	}
	return fmt.Sprintf("platform: row %q has version %d, not the expected one; read it again and retry on that version", e.Current[0].Key, e.Current[0].Version)
}

// UnavailableError says that the platform did not carry out the request.
type UnavailableError struct {
	Op  string
	Err error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform: %s was not carried out: %v; retry when the platform answers again", e.Op, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// UncertainError says that the reply to a write was lost: the write may or may
// not have taken effect.
type UncertainError struct {
	Op  string
	Err error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("platform: the reply to %s was lost: %v; read the row back to learn whether it took effect", e.Op, e.Err)
}

func (e *UncertainError) Unwrap() error { return e.Err }

// NotFoundError says that an object does not exist.
type NotFoundError struct{ Name string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("platform: object %q does not exist; put it first or fetch it from a peer", e.Name)
}
