package lease

import (
	"encoding/json"
	"fmt"
)

// maxRecord bounds the size of an encoded record in bytes.
const maxRecord = 1024

// Record is the row of a slot lease.
type Record struct {
	Holder string `json:"holder"`
	// Incarnation is the holder's, so that a restarted holder knows that the
	// grants of its predecessor are not in its memory.
	Incarnation uint64 `json:"incarnation"`
	// Successor is empty when the domain has no second router.
	Successor string `json:"successor,omitempty"`
	// Epoch rises by one with each write.
	Epoch uint64 `json:"epoch"`
	// By names the process that wrote the record. Without it, a successor
	// that takes over could mistake a hand-over to itself for its own write.
	By string `json:"by"`
}

// Encode returns the row's value.
func (r Record) Encode() []byte { return encode(r) }

// DecodeRecord reads a row's value; an empty value is the zero Record.
// Errors: *FormatError.
func DecodeRecord(data []byte) (Record, error) {
	r, err := decode[Record](data)
	if err == nil && len(data) > 0 && r.Holder == "" {
		return Record{}, &FormatError{Err: errNoHolder}
	}
	return r, err
}

// FormatError says that a row's value is not a record.
type FormatError struct{ Err error }

func (e *FormatError) Error() string {
	return fmt.Sprintf("lease: the row's value is not a lease record: %v; delete the row when no router uses it", e.Err)
}

func (e *FormatError) Unwrap() error { return e.Err }

var (
	errNoHolder = fmt.Errorf("no holder named")
	errTooLong  = fmt.Errorf("longer than %d bytes", maxRecord)
)

func encode[R any](r R) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}

func decode[R any](data []byte) (R, error) {
	var r, none R
	if len(data) == 0 {
		return none, nil
	}
	if len(data) > maxRecord {
		return none, &FormatError{Err: errTooLong}
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return none, &FormatError{Err: err}
	}
	return r, nil
}
