package lease

import (
	"errors"

	"github.com/auburnlead/auburnlead/store"
)

// OutcomeOf returns the outcome that an error of store.Table.Commit implies.
// With an error of an unknown kind, the write may have taken effect.
func OutcomeOf(err error) Outcome {
	var conflict *store.ConflictError
	var unavailable *store.UnavailableError
	switch {
	case err == nil:
		return Applied
	case errors.As(err, &conflict):
		return Conflict
	case errors.As(err, &unavailable):
		return NotApplied
	}
	return Uncertain
}

// String returns the outcome's name in metrics.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case NotApplied:
		return "not_applied"
	case Conflict:
		return "conflict"
	}
	return "uncertain"
}
