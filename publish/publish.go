// Package publish publishes revisions of the configuration (object sets) and
// fetches them.
//
// The content of a revision is written to the platform's object store as
// chunks and a manifest, each named by the SHA-256 of its body. One transaction
// then updates the pointer row by compare-and-set and writes the audit row, so
// a set is published as a whole or not at all. Revisions are numbered without
// gaps: revision n is followed by n+1. A LocalStore moves to newer revisions
// only and fetches only the chunks that it does not have.
//
// The package reads no clock and starts no goroutines; the importing code
// passes the time and decides when to poll and to retry.
package publish

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/store"
)

// Keys of the table.
const (
	// PointerKey is the key of the row that names the newest revision.
	PointerKey = "config/current"
	// AuditPrefix is the key prefix of the audit rows; the revision follows as
	// 20 decimal digits, so that keys sort in revision order.
	AuditPrefix = "config/audit/"
)

// maxAuditBytes bounds the text of the changes in an audit row, so that the
// changes of a large deployment's first set fit into one row.
// AuditRecord.Omitted counts the changes beyond this size.
const maxAuditBytes = 32 << 10

// commitAttempts bounds the commits of one Submit. Each lost reply, and each
// conflict with an earlier commit of the same submission, takes one.
const commitAttempts = 4

// Revision describes a published revision, as stored in the pointer row.
type Revision struct {
	Revision uint64    `json:"revision"`
	Manifest string    `json:"manifest"` // digest of the manifest
	Base     uint64    `json:"base"`     // the revision that it replaces
	Token    string    `json:"token"`    // submit token
	Author   string    `json:"author"`
	Time     time.Time `json:"time"` // the publisher's clock
}

// AuditRecord is the content of the audit row of a revision.
type AuditRecord struct {
	Revision
	Changes []objects.Change `json:"changes"`
	Omitted int              `json:"omitted,omitempty"` // number of changes left out after the first 32 KB of text
}

// Submission is a request to publish a set. Now is the publisher's clock.
type Submission struct {
	Set *objects.Set
	// Base is the revision that the set replaces, 0 for the first one.
	Base uint64
	// Token is unique for each submission. Repeating a submission with the
	// same token publishes it at most once.
	Token  string
	Author string
	Now    time.Time
}

// ConflictError is returned if another submission was published first.
type ConflictError struct {
	Base   uint64
	Newest Revision
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("publish: base revision %d is not the newest: revision %d by %s is; compare the set with that revision and submit it again on base %d", e.Base, e.Newest.Revision, e.Newest.Author, e.Newest.Revision)
}

// UncertainError is returned if a submission may have been published.
type UncertainError struct {
	Token string
	Err   error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("publish: it is not known whether the submission was published: %v; repeat it with the same base and the token %s", e.Err, e.Token)
}

func (e *UncertainError) Unwrap() error { return e.Err }

// CorruptError is returned if stored content does not match its digest or is
// malformed.
type CorruptError struct {
	Name string // digest of an object, key of a row, or "worker ID"
	Err  error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("publish: %q is corrupt: %v; submit the set again", e.Name, e.Err)
}

func (e *CorruptError) Unwrap() error { return e.Err }

// Publisher publishes sets. It has no state and is safe for concurrent use.
type Publisher struct {
	Table   store.Table
	Objects store.ObjectStore
	// Cache, such as a LocalStore, is asked for content before Objects. It may
	// be nil.
	Cache Source
}

func (p *Publisher) sources() []Source {
	if p.Cache == nil {
		return []Source{p.Objects}
	}
	return []Source{p.Cache, p.Objects}
}

// Submit checks and publishes a set. Errors: *objects.ValidationError for an
// invalid set, *ConflictError if the base is not the newest revision,
// *UncertainError if the submission may have been published. After any other
// error, such as one of the platform, nothing was published.
func (p *Publisher) Submit(ctx context.Context, s Submission) (Revision, error) {
	if s.Token == "" || s.Author == "" {
		return Revision{}, errors.New("publish: a submission needs a token and an author; set both")
	}
	if err := objects.Check(s.Set); err != nil {
		return Revision{}, err
	}
	pointer, published, err := p.readPointer(ctx, s)
	if err != nil || published != nil {
		return valueOrZero(published), err
	}
	next, audit, err := p.prepare(ctx, s, pointer.current)
	if err != nil {
		return Revision{}, err
	}
	return p.commit(ctx, s, pointer, next, audit)
}

// pointerState is the version and content of the pointer row.
type pointerState struct {
	version int64
	current Revision
}

// readPointer reads the pointer row and the audit row that the submission would
// write. If an earlier attempt with the same token has taken effect, it returns
// the revision that the attempt published, even if newer ones followed.
func (p *Publisher) readPointer(ctx context.Context, s Submission) (pointerState, *Revision, error) {
	rows, err := p.Table.Get(ctx, PointerKey, auditKey(s.Base+1))
	if err != nil {
		return pointerState{}, nil, fmt.Errorf("publish: read the pointer row: %w", err)
	}
	pointer := pointerState{version: rows[0].Version}
	if pointer.current, err = decodePointer(rows[0]); err != nil {
		return pointerState{}, nil, err
	}
	var audit AuditRecord
	if rows[1].Version != 0 {
		if audit, err = decodeAudit(rows[1]); err != nil {
			return pointerState{}, nil, err
		}
	}
	if audit.Token == s.Token {
		return pointer, &audit.Revision, nil
	}
	if pointer.current.Revision != s.Base {
		return pointer, nil, &ConflictError{Base: s.Base, Newest: pointer.current}
	}
	return pointer, nil, nil
}

// prepare writes the content to the object store and returns the new values of
// the pointer row and the audit row.
func (p *Publisher) prepare(ctx context.Context, s Submission, current Revision) (next, audit []byte, err error) {
	base := objects.NewSet()
	if s.Base != 0 {
		if base, _, err = Fetch(ctx, current, p.sources()...); err != nil {
			return nil, nil, err
		}
	}
	manifest, chunks, err := splitSet(s.Set, s.Base+1)
	if err != nil {
		return nil, nil, err
	}
	if err := p.putContent(ctx, current, manifest, chunks); err != nil {
		return nil, nil, err
	}
	r := Revision{s.Base + 1, Digest(manifest), s.Base, s.Token, s.Author, s.Now}
	record := AuditRecord{Revision: r, Changes: objects.Diff(base, s.Set)}
	record.truncateChanges()
	// Encoding fails only if JSON cannot represent the submission's time.
	if next, err = json.Marshal(r); err != nil {
		return nil, nil, fmt.Errorf("publish: encode the revision: %w; use a time between the years 1 and 9999", err)
	}
	if audit, err = json.Marshal(record); err != nil {
		return nil, nil, fmt.Errorf("publish: encode the audit record: %w; use a time between the years 1 and 9999", err)
	}
	return next, audit, nil
}

// truncateChanges drops the changes beyond maxAuditBytes and counts them in
// Omitted.
func (a *AuditRecord) truncateChanges() {
	size := 0
	for i, c := range a.Changes {
		size += len(c.Section) + len(c.Key) + len(c.Old) + len(c.New)
		if size > maxAuditBytes {
			a.Omitted = len(a.Changes) - i
			a.Changes = a.Changes[:i]
			return
		}
	}
}

// putContent stores the chunks that the current revision does not have, then the
// manifest. Storing the same body again is harmless, so a put with unknown
// outcome is retried once.
func (p *Publisher) putContent(ctx context.Context, current Revision, manifest []byte, chunks map[string][]byte) error {
	stored := map[string]bool{}
	if current.Revision != 0 {
		body, err := fetchObject(ctx, current.Manifest, p.sources())
		if err != nil {
			return err
		}
		m, err := decodeManifest(current, body)
		if err != nil {
			return err
		}
		for _, digest := range m.Chunks {
			stored[digest] = true
		}
	}
	for _, digest := range slices.Sorted(maps.Keys(chunks)) {
		if stored[digest] {
			continue
		}
		if err := p.putObject(ctx, digest, chunks[digest]); err != nil {
			return err
		}
	}
	return p.putObject(ctx, Digest(manifest), manifest)
}

func (p *Publisher) putObject(ctx context.Context, digest string, body []byte) error {
	err := p.Objects.Put(ctx, digest, body)
	var uncertain *store.UncertainError
	if errors.As(err, &uncertain) {
		err = p.Objects.Put(ctx, digest, body)
	}
	if err != nil {
		return fmt.Errorf("publish: write to the object store: %w", err)
	}
	return nil
}

// commit updates the pointer row and writes the audit row. A commit whose reply
// was lost may still be applied later. Retrying it is safe, since both commits
// require the same version of the pointer row and have the same token.
func (p *Publisher) commit(ctx context.Context, s Submission, pointer pointerState, next, audit []byte) (Revision, error) {
	ops := []store.Op{
		{Key: PointerKey, IfVersion: pointer.version, Value: next},
		{Key: auditKey(s.Base + 1), IfVersion: 0, Value: audit},
	}
	maybePublished := false
	var last error
	for range commitAttempts {
		_, err := p.Table.Commit(ctx, ops)
		if err == nil {
			var r Revision
			return r, json.Unmarshal(next, &r)
		}
		var uncertain *store.UncertainError
		var conflict *store.ConflictError
		switch {
		case errors.As(err, &uncertain):
			maybePublished = true
		case !errors.As(err, &conflict):
			return Revision{}, p.submitError(s, maybePublished, err)
		}
		last = err
		_, published, err := p.readPointer(ctx, s)
		if published != nil {
			return *published, nil
		}
		var superseded *ConflictError
		if errors.As(err, &superseded) {
			return Revision{}, superseded
		}
		if err != nil {
			return Revision{}, p.submitError(s, maybePublished, err)
		}
	}
	return Revision{}, p.submitError(s, maybePublished, last)
}

// submitError wraps the error of a failed submission.
func (p *Publisher) submitError(s Submission, maybePublished bool, err error) error {
	if maybePublished {
		return &UncertainError{Token: s.Token, Err: err}
	}
	return fmt.Errorf("publish: commit the revision: %w", err)
}

func valueOrZero(r *Revision) Revision {
	if r == nil {
		return Revision{}
	}
	return *r
}

func auditKey(revision uint64) string { return fmt.Sprintf("%s%020d", AuditPrefix, revision) }

func decodePointer(row store.Row) (Revision, error) {
	var r Revision
	if row.Version == 0 {
		return r, nil
	}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, &CorruptError{Name: row.Key, Err: err}
	}
	return r, nil
}

func decodeAudit(row store.Row) (AuditRecord, error) {
	var a AuditRecord
	if err := json.Unmarshal(row.Value, &a); err != nil {
		return a, &CorruptError{Name: row.Key, Err: err}
	}
	return a, nil
}
