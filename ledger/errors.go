package ledger

import (
	"errors"
	"fmt"
)

// errClosed is wrapped by the errors of calls made after Close.
var errClosed = errors.New("the ledger is closed")

// KeyReusedError is returned if the idempotency key belongs to a request with
// a different digest.
type KeyReusedError struct{ Key string }

func (e *KeyReusedError) Error() string {
	return "ledger: the idempotency key belongs to another request; use a new key for a new request"
}

// NotClaimedError is returned if the request could not be claimed. Nothing may
// be sent for this attempt; an earlier attempt may have run. Err is the error
// of the platform or of the context.
type NotClaimedError struct{ Err error }

func (e *NotClaimedError) Error() string {
	return fmt.Sprintf("ledger: the request could not be claimed: %v; retry it with the same key when the platform is available", e.Err)
}

func (e *NotClaimedError) Unwrap() error { return e.Err }

// AnswerUnavailableError is returned if the request has run already and its
// stored answer cannot be read now.
type AnswerUnavailableError struct{ Err error }

func (e *AnswerUnavailableError) Error() string {
	return fmt.Sprintf("ledger: the request has run, but its stored answer cannot be read: %v; retry the request with the same key to get the answer", e.Err)
}

func (e *AnswerUnavailableError) Unwrap() error { return e.Err }

// PendingError is returned if the outcome of a request is not recorded yet.
// The ledger retries until it is closed.
type PendingError struct{ Err error }

func (e *PendingError) Error() string {
	return fmt.Sprintf("ledger: the outcome is not recorded yet: %v; the write is retried in the background", e.Err)
}

func (e *PendingError) Unwrap() error { return e.Err }

// SupersededError is returned if the row of a claim belongs to another attempt
// or already has another outcome.
type SupersededError struct{ Attempt string }

func (e *SupersededError) Error() string {
	return fmt.Sprintf("ledger: the row belongs to attempt %q or has another outcome; call Finish or Abandon once for each claim", e.Attempt)
}
