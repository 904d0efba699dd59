// Package store defines the interfaces of the services that a deployment's
// platform provides: a transactional table, an object store and a list of VMs.
// All coordination between routers and all durable state rely on these three
// services. The package contains only interfaces, messages and typed errors;
// plugins/platform implements them with an HTTP client, and ledger, lease and
// publish use them.
package store

import (
	"context"
	"fmt"
	"time"
)

// AnyVersion as Op.IfVersion is a precondition that always holds, whether the
// row exists or not.
const AnyVersion int64 = -1

// Row is one row of the table. Version is 0 for a row that does not exist and
// increases by at least one with each write.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
}

// Op writes or deletes one row in a commit. The commit is applied only if the
// row's version is IfVersion. IfVersion 0 requires that the row does not exist;
// AnyVersion requires nothing.
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
	// Get reads rows in one request and returns them in the order of the keys.
	// Absent rows have version 0. Errors: *UnavailableError.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan reads up to limit rows whose keys start with prefix and sort after
	// the key after, in ascending key order. Errors: *UnavailableError.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all operations or none. Errors: *ConflictError if a
	// precondition does not hold (nothing was applied), *UnavailableError if
	// the request was certainly not applied, *UncertainError if it may have
	// been applied.
	Commit(ctx context.Context, ops []Op) (CommitResult, error)
}

// ObjectStore is the object store. The name of an object is the digest of its
// content, so objects are immutable.
type ObjectStore interface {
	// Put stores an object. Errors: *UnavailableError, *UncertainError.
	Put(ctx context.Context, name string, body []byte) error
	// Get reads an object. Errors: *NotFoundError, *UnavailableError.
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMState is the state of a VM as the platform reports it.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list. Address is the IP address and port
// on which the router on the VM serves its peers.
type VM struct {
	ID            string  `json:"id"`
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	State         VMState `json:"state"`
}

// VMList is the platform's list of VMs at the time AsOf, which may lie in the
// past.
type VMList struct {
	VMs  []VM      `json:"vms"`
	AsOf time.Time `json:"as_of"`
}

// VMLister returns the platform's VM list.
type VMLister interface {
	// List reads the list. Errors: *UnavailableError.
	List(ctx context.Context) (VMList, error)
}

// Client provides all services of the platform.
type Client interface {
	Table
	VMLister
	Objects() ObjectStore
}

// ConflictError is returned if a precondition of a commit did not hold. Nothing
// was applied. Current contains the current state of the rows whose
// preconditions failed.
type ConflictError struct{ Current []Row }

func (e *ConflictError) Error() string {
	if len(e.Current) == 0 {
		return "platform: the commit conflicts with a newer write; read the rows again and retry with their versions"
	}
	return fmt.Sprintf("platform: row %q has version %d, not the expected one; read it again and retry with its version", e.Current[0].Key, e.Current[0].Version)
}

// UnavailableError is returned if the platform did not carry out the request.
type UnavailableError struct {
	Op  string
	Err error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform: %s was not carried out: %v; retry when the platform is available again", e.Op, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// UncertainError is returned if the reply to a write was lost: the write may or
// may not have taken effect.
type UncertainError struct {
	Op  string
	Err error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("platform: the reply to %s was lost: %v; read the row back to learn whether it took effect", e.Op, e.Err)
}

func (e *UncertainError) Unwrap() error { return e.Err }

// NotFoundError is returned if an object does not exist.
type NotFoundError struct{ Name string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("platform: object %q does not exist; put it first or fetch it from a peer", e.Name)
}
