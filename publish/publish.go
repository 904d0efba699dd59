// Package publish publishes object sets and follows them.
//
// The content of a revision is written to the platform's object store as
// chunks and a manifest, each under the SHA-256 of its body. One transaction
// then moves the pointer row by compare-and-set and writes the audit row, so a
// set is in force as a whole or not at all. Revisions are numbered without
// gaps: the successor of revision n is n+1. A Store follows the pointer, only
// forward, and fetches only the chunks that it lacks.
//
// The package has no clock and starts no goroutine; callers pass the time in
// and decide when to poll and to retry.
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

// Rows of the table.
const (
	// PointerKey is the row of the newest revision.
	PointerKey = "config/current"
	// AuditPrefix starts the keys of audit rows; the revision follows as 20
	// decimal digits, so that key order is revision order.
	AuditPrefix = "config/audit/"
)

// maxAuditBytes bounds the text of the changes kept in an audit row, so that the
// first set of a large deployment fits a row. The rest is counted in Omitted.
const maxAuditBytes = 32 << 10

// commitAttempts bounds the commits of one Submit. Each lost reply or lost
// race with an own earlier attempt takes one.
const commitAttempts = 4

// Revision is one published revision, as kept in the pointer row.
type Revision struct {
	Revision uint64    `json:"revision"`
	Manifest string    `json:"manifest"` // digest of the manifest
	Base     uint64    `json:"base"`     // the revision that it replaced
	Token    string    `json:"token"`    // submit token
	Author   string    `json:"author"`
	Time     time.Time `json:"time"` // the publisher's clock
}

// AuditRecord is the record of one revision.
type AuditRecord struct {
	Revision
	Changes []objects.Change `json:"changes"`
	Omitted int              `json:"omitted,omitempty"` // changes beyond 32 KB of text
}

// Submission asks for a set to be published.
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

// ConflictError says that another submission was published first.
type ConflictError struct {
	Base   uint64
	Newest Revision
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("publish: base revision %d is not the newest: revision %d by %s is; compare with it and submit again on base %d", e.Base, e.Newest.Revision, e.Newest.Author, e.Newest.Revision)
}

// UncertainError says that a submission may have been published.
type UncertainError struct {
	Token string
	Err   error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("publish: it is not known whether the submission was published: %v; repeat it with the same base and the token %s", e.Err, e.Token)
}

func (e *UncertainError) Unwrap() error { return e.Err }

// CorruptError says that stored content does not match its digest or form.
type CorruptError struct {
	Name string
	Err  error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("publish: %q is corrupt: %v; submit the set again", e.Name, e.Err)
}

func (e *CorruptError) Unwrap() error { return e.Err }

// Publisher submits sets. It has no state and may be used concurrently.
type Publisher struct {
	Table   store.Table
	Objects store.ObjectStore
	// Cache is asked for content before Objects, for example a Store. It may
	// be nil.
	Cache Source
}

func (p *Publisher) sources() []Source {
	if p.Cache == nil {
		return []Source{p.Objects}
	}
	return []Source{p.Cache, p.Objects}
}

// Submit checks and publishes a set. Errors: *objects.Error for an invalid
// set, *ConflictError when the base is not the newest revision,
// *UncertainError when the submission may have been published, otherwise an
// error of the platform and nothing was published.
func (p *Publisher) Submit(ctx context.Context, s Submission) (Revision, error) {
	if s.Token == "" || s.Author == "" {
		return Revision{}, errors.New("publish: a submission needs a token and an author; set both")
	}
	if err := objects.Check(s.Set); err != nil {
		return Revision{}, err
	}
	at, published, err := p.locate(ctx, s)
	if err != nil || published != nil {
		return deref(published), err
	}
	next, audit, err := p.prepare(ctx, s, at.current)
	if err != nil {
		return Revision{}, err
	}
	return p.commit(ctx, s, at, next, audit)
}

// position is the pointer as a submission found it.
type position struct {
	version int64
	current Revision
}

// locate reads the pointer and the audit row that the submission would write.
// It returns the published revision when an earlier attempt with the same
// token has taken effect, also when later revisions stand above it.
func (p *Publisher) locate(ctx context.Context, s Submission) (position, *Revision, error) {
	rows, err := p.Table.Get(ctx, PointerKey, auditKey(s.Base+1))
	if err != nil {
		return position{}, nil, fmt.Errorf("publish: read the pointer: %w", err)
	}
	at := position{version: rows[0].Version}
	if at.current, err = decodePointer(rows[0]); err != nil {
		return position{}, nil, err
	}
	var audit AuditRecord
	if rows[1].Version != 0 {
		if audit, err = decodeAudit(rows[1]); err != nil {
			return position{}, nil, err
		}
	}
	if audit.Token == s.Token {
		return at, &audit.Revision, nil
	}
	if at.current.Revision != s.Base {
		return at, nil, &ConflictError{Base: s.Base, Newest: at.current}
	}
	return at, nil, nil
}

// prepare writes the content and returns the rows' values.
func (p *Publisher) prepare(ctx context.Context, s Submission, current Revision) (next, audit []byte, err error) {
	was := objects.NewSet()
	if s.Base != 0 {
		if was, _, err = Fetch(ctx, current, p.sources()...); err != nil {
			return nil, nil, err
		}
	}
	manifest, chunks, err := split(s.Set, s.Base+1)
	if err != nil {
		return nil, nil, err
	}
	if err := p.put(ctx, current, manifest, chunks); err != nil {
		return nil, nil, err
	}
	r := Revision{s.Base + 1, Digest(manifest), s.Base, s.Token, s.Author, s.Now}
	record := AuditRecord{Revision: r, Changes: objects.Diff(was, s.Set)}
	record.shorten()
	if next, err = json.Marshal(r); err != nil {
		return nil, nil, fmt.Errorf("publish: encode: %w; use a time between the years 1 and 9999", err)
	}
	if audit, err = json.Marshal(record); err != nil {
		return nil, nil, fmt.Errorf("publish: encode: %w; use a time between the years 1 and 9999", err)
	}
	return next, audit, nil
}

// shorten leaves out the changes beyond maxAuditBytes.
func (a *AuditRecord) shorten() {
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

// put writes the chunks that the current revision does not have, then the
// manifest. Putting the same body again is harmless, so an uncertain put is
// repeated once.
func (p *Publisher) put(ctx context.Context, current Revision, manifest []byte, chunks map[string][]byte) error {
	stored := map[string]bool{}
	if current.Revision != 0 {
		body, err := fetchOne(ctx, current.Manifest, p.sources())
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
		if err := p.putOne(ctx, digest, chunks[digest]); err != nil {
			return err
		}
	}
	return p.putOne(ctx, Digest(manifest), manifest)
}

func (p *Publisher) putOne(ctx context.Context, digest string, body []byte) error {
	err := p.Objects.Put(ctx, digest, body)
	var uncertain *store.UncertainError
	if errors.As(err, &uncertain) {
		err = p.Objects.Put(ctx, digest, body)
	}
	if err != nil {
		return fmt.Errorf("publish: store the content: %w", err)
	}
	return nil
}

// commit moves the pointer. A commit whose reply was lost may still be applied
// later; repeating it is safe, since both need the same version of the pointer
// and carry the same token.
func (p *Publisher) commit(ctx context.Context, s Submission, at position, next, audit []byte) (Revision, error) {
	ops := []store.Op{
		{Key: PointerKey, IfVersion: at.version, Value: next},
		{Key: auditKey(s.Base + 1), IfVersion: 0, Value: audit},
	}
	maybe := false
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
			maybe = true
		case !errors.As(err, &conflict):
			return Revision{}, p.failed(s, maybe, err)
		}
		last = err
		_, published, err := p.locate(ctx, s)
		if published != nil {
			return *published, nil
		}
		var lost *ConflictError
		if errors.As(err, &lost) {
			return Revision{}, lost
		}
		if err != nil {
			return Revision{}, p.failed(s, maybe, err)
		}
	}
	return Revision{}, p.failed(s, maybe, last)
}

// failed wraps the error that ended a submission.
func (p *Publisher) failed(s Submission, maybe bool, err error) error {
	if maybe {
		return &UncertainError{Token: s.Token, Err: err}
	}
	return fmt.Errorf("publish: commit: %w", err)
}

func deref(r *Revision) Revision {
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
