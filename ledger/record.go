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

// rowPrefix is the key prefix of the request rows.
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
	// At is the platform's clock at the write in ms since the Unix epoch, as
	// estimated by the writer; 0 if the writer did not know it.
	At int64 `json:"at,omitempty"`
	// A row in state ran has its answer in Answer, or the answer's SHA-256 in
	// Object, which is its name in the object store.
	Answer []byte `json:"answer,omitempty"`
	Object string `json:"object,omitempty"`
}

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("ledger: encode a row: %v", err)) // cannot happen: the fields are strings, bytes and a number
	}
	return value
}

// errNotCanonical is returned if encode would have written a row differently.
var errNotCanonical = errors.New("the value is not in the ledger's canonical encoding")

// decode reads the value of a row. It accepts only what encode produces, so a
// row written by other software or by another version counts as malformed.
func decode(value []byte) (record, error) {
	var r record
	err := json.Unmarshal(value, &r)
	if err == nil {
		err = r.validate()
	}
	if err == nil && !bytes.Equal(r.encode(), value) {
		err = errNotCanonical
	}
	if err != nil {
		return record{}, fmt.Errorf("ledger: row is malformed: %w; restore it or delete it manually", err)
	}
	return r, nil
}

func (r record) validate() error {
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
		return errors.New("digest or attempt is missing, or the time is negative")
	}
	if r.Object != "" && !isDigest(r.Object) {
		return errors.New("the object's name is not a SHA-256 digest")
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

func (c Claim) validate() error {
	if c.Caller == "" || c.Service == "" || c.Key == "" || c.Digest == "" || c.Attempt == "" {
		return errors.New("caller, service, key, digest and attempt are required")
	}
	if !utf8.ValidString(c.Digest) || !utf8.ValidString(c.Attempt) || !utf8.ValidString(c.Router) {
		return errors.New("digest, attempt and router must be UTF-8")
	}
	return nil
}

// toRecord returns the row of a result. If the answer is larger than maxInline
// bytes it also returns the object that must be stored before the row.
func (r Result) toRecord(maxInline int) (rec record, object []byte, err error) {
	switch r.Outcome {
	case OutcomeNotRun:
		return record{State: rowNotRun}, nil, nil
	case OutcomeUnknown:
		return record{State: rowUnknown}, nil, nil
	case OutcomeRan:
	default:
		return record{}, nil, fmt.Errorf("ledger: unknown outcome %q; use ran, not_run or unknown", r.Outcome)
	}
	if len(r.Answer) <= maxInline {
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
		return nil, fmt.Errorf("the content of object %s does not match its digest", r.Object)
	}
	return body, nil
}
