package ledger

import (
	"errors"
	"fmt"
)

// errClosed is the cause of errors after Close.
var errClosed = errors.New("the ledger is closed")

// KeyReusedError says that the key belongs to a request with another digest.
type KeyReusedError struct{ Key string }

func (e *KeyReusedError) Error() string {
	return "ledger: the idempotency key belongs to another request; use a new key for a new request"
}

// NotClaimedError says that the request could not be claimed. Nothing may be
// sent for this attempt; an earlier attempt may have run. Err is the platform's error or that of the context.
type NotClaimedError struct{ Err error }

func (e *NotClaimedError) Error() string {
	return fmt.Sprintf("ledger: the request is not claimed: %v; repeat it with the same key when the platform answers", e.Err)
}

func (e *NotClaimedError) Unwrap() error { return e.Err }

// AnswerUnavailableError says that the request ran before and that its stored
// answer cannot be read now.
type AnswerUnavailableError struct{ Err error }

func (e *AnswerUnavailableError) Error() string {
	return fmt.Sprintf("ledger: the request has run; its stored answer cannot be read: %v; repeat the request with the same key to get it", e.Err)
}

func (e *AnswerUnavailableError) Unwrap() error { return e.Err }

// PendingError says that the end of a request is not recorded yet. The ledger
// retries until it is closed.
type PendingError struct{ Err error }

func (e *PendingError) Error() string {
	return fmt.Sprintf("ledger: the outcome is not recorded yet: %v; it is retried in the background", e.Err)
}

func (e *PendingError) Unwrap() error { return e.Err }

// SupersededError says that the row of a claim belongs to another attempt or
// already has another outcome.
type SupersededError struct{ Attempt string }

func (e *SupersededError) Error() string {
	return fmt.Sprintf("ledger: the row belongs to attempt %q or has another outcome; call Finish or Abandon once for each claim", e.Attempt)
}
