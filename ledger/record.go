package ledger

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"unicode/utf8"
)

// rowPrefix starts the keys of the ledger's rows.
const rowPrefix = "ledger/"

// rowState is the state of a row.
type rowState string

const (
	rowClaimed rowState = "claimed"
	rowRan     rowState = "ran"
	rowNotRun  rowState = "not_run"
	rowUnknown rowState = "unknown"
)

// record is the value of a row, stored as JSON.
type record struct {
	State   rowState `json:"state"`
	Digest  string   `json:"digest"`
	Attempt string   `json:"attempt"`
	Router  string   `json:"router"`
	// At is the platform's clock at the write in ms since the epoch, estimated
	// by the writer; 0 when the writer did not know it.
	At int64 `json:"at,omitempty"`
	// Answer is the stored answer of a row that ran, or Object is the SHA-256
	// of the answer in the object store.
	Answer []byte `json:"answer,omitempty"`
	Object string `json:"object,omitempty"`
}

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("ledger: encode a row: %v", err)) // strings, bytes and a number only
	}
	return value
}

// errNotCanonical says that encode would have written a row otherwise.
var errNotCanonical = errors.New("it is not in the form that the ledger writes")

// decode reads the value of a row. It accepts only what encode produces, so a
// row of another writer or version counts as malformed.
func decode(value []byte) (record, error) {
	var r record
	err := json.Unmarshal(value, &r)
	if err == nil {
		err = r.check()
	}
	if err == nil && !bytes.Equal(r.encode(), value) {
		err = errNotCanonical
	}
	if err != nil {
		return record{}, fmt.Errorf("ledger: row is malformed: %w; restore it or delete it by hand", err)
	}
	return r, nil
}

func (r record) check() error {
	switch r.State {
	case rowClaimed, rowNotRun, rowUnknown:
		if r.Answer != nil || r.Object != "" {
			return fmt.Errorf("state %s has an answer", r.State)
		}
	case rowRan:
		if r.Object != "" && r.Answer != nil {
			return errors.New("two answers")
		}
	default:
		return fmt.Errorf("unknown state %q", r.State)
	}
	if r.Digest == "" || r.Attempt == "" || r.At < 0 {
		return errors.New("digest, attempt or time is missing")
	}
	if r.Object != "" && !isDigest(r.Object) {
		return errors.New("the object's name is not a SHA-256")
	}
	return nil
}

func isDigest(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == sha256.Size && hex.EncodeToString(b) == s
}

// rowKey is the key of a claim's row: ledger/<caller>/<service>/<sha256 of key>.
func (c Claim) rowKey() string {
	sum := sha256.Sum256([]byte(c.Key))
	return rowPrefix + url.PathEscape(c.Caller) + "/" + url.PathEscape(c.Service) + "/" + hex.EncodeToString(sum[:])
}

func (c Claim) check() error {
	if c.Caller == "" || c.Service == "" || c.Key == "" || c.Digest == "" || c.Attempt == "" {
		return errors.New("caller, service, key, digest and attempt are required")
	}
	if !utf8.ValidString(c.Digest) || !utf8.ValidString(c.Attempt) || !utf8.ValidString(c.Router) {
		return errors.New("digest, attempt and router must be UTF-8")
	}
	return nil
}

// record returns the row of a result, and the object to store before it when
// the answer exceeds inline bytes.
func (r Result) record(inline int) (rec record, object []byte, err error) {
	switch r.Outcome {
	case OutcomeNotRun:
		return record{State: rowNotRun}, nil, nil
	case OutcomeUnknown:
		return record{State: rowUnknown}, nil, nil
	case OutcomeRan:
	default:
		return record{}, nil, fmt.Errorf("ledger: unknown outcome %q; use ran, not_run or unknown", r.Outcome)
	}
	if len(r.Answer) <= inline {
		return record{State: rowRan, Answer: r.Answer}, nil, nil
	}
	sum := sha256.Sum256(r.Answer)
	return record{State: rowRan, Object: hex.EncodeToString(sum[:])}, r.Answer, nil
}

// answer returns the stored answer of a row that ran.
func (l *Ledger) answer(ctx context.Context, r record) ([]byte, error) {
	if r.Object == "" {
		return r.Answer, nil
	}
	body, err := l.objects.Get(ctx, r.Object)
	if err != nil {
		return nil, err
	}
	if sum := sha256.Sum256(body); hex.EncodeToString(sum[:]) != r.Object {
		return nil, fmt.Errorf("object %s has another content", r.Object)
	}
	return body, nil
}
