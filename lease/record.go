package lease

import (
	"encoding/json"
	"fmt"
)

// maxRecordBytes limits the size of an encoded record.
const maxRecordBytes = 1024

// Record is the value of a slot lease's row in the platform's table.
type Record struct {
	Holder string `json:"holder"`
	// Incarnation identifies the holder's process. It lets a restarted holder
	// detect that grants of the earlier process are not in its memory.
	Incarnation uint64 `json:"incarnation"`
	// Successor is the router that may take over, empty for none, for example
	// if the failure domain has no second router.
	Successor string `json:"successor,omitempty"`
	// Epoch increases by one with each write.
	Epoch uint64 `json:"epoch"`
	// By identifies the process that wrote the record. Without it, a successor
	// that takes over could mistake a handover to itself for its own write.
	By string `json:"by"`
}

// Encode returns the row's value.
func (r Record) Encode() []byte { return encode(r) }

// DecodeRecord decodes a row's value. An empty value is the zero Record.
// Errors: *FormatError.
func DecodeRecord(data []byte) (Record, error) {
	r, err := decode[Record](data)
	if err == nil && len(data) > 0 && r.Holder == "" {
		return Record{}, &FormatError{Err: errNoHolder}
	}
	return r, err
}

// FormatError reports that a row's value is not a valid record.
type FormatError struct{ Err error }

func (e *FormatError) Error() string {
	return fmt.Sprintf("lease: the row's value is not a lease record: %v; delete the row when no router uses it", e.Err)
}

func (e *FormatError) Unwrap() error { return e.Err }

var (
	errNoHolder = fmt.Errorf("no holder named")
	errTooLong  = fmt.Errorf("longer than %d bytes", maxRecordBytes)
)

func encode[R any](r R) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return data
}

func decode[R any](data []byte) (R, error) {
	var r, zero R
	if len(data) == 0 {
		return zero, nil
	}
	if len(data) > maxRecordBytes {
		return zero, &FormatError{Err: errTooLong}
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return zero, &FormatError{Err: err}
	}
	return r, nil
}
