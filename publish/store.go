package publish

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/store"
)

// Source gives content by digest. store.Objects is one.
type Source interface {
	// Get reads an object. Errors: *store.NotFoundError or any other error
	// when the source cannot tell.
	Get(ctx context.Context, digest string) ([]byte, error)
}

// Newest reads the pointer. Revision 0 means that nothing was published yet.
func Newest(ctx context.Context, t store.Table) (Revision, error) {
	rows, err := t.Get(ctx, PointerKey)
	if err != nil {
		return Revision{}, fmt.Errorf("publish: read the pointer: %w", err)
	}
	return decodePointer(rows[0])
}

// History returns up to limit audit records, the newest first.
func History(ctx context.Context, t store.Table, limit int) ([]AuditRecord, error) {
	newest, err := Newest(ctx, t)
	if err != nil {
		return nil, err
	}
	first := uint64(0)
	if newest.Revision > uint64(limit) {
		first = newest.Revision - uint64(limit)
	}
	rows, err := t.Scan(ctx, AuditPrefix, auditKey(first), limit)
	if err != nil {
		return nil, fmt.Errorf("publish: read the audit records: %w", err)
	}
	list := make([]AuditRecord, len(rows))
	for i, row := range rows {
		if list[len(rows)-1-i], err = decodeAudit(row); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// Fetch reads a revision's set and the bodies of its manifest and chunks by
// digest. Each body is taken from the first source that has it with the right
// digest.
func Fetch(ctx context.Context, r Revision, sources ...Source) (*objects.Set, map[string][]byte, error) {
	bodies := map[string][]byte{}
	body, err := fetchOne(ctx, r.Manifest, sources)
	if err != nil {
		return nil, nil, err
	}
	bodies[r.Manifest] = body
	m, err := decodeManifest(r, body)
	if err != nil {
		return nil, nil, err
	}
	for _, digest := range m.Chunks {
		if bodies[digest], err = fetchOne(ctx, digest, sources); err != nil {
			return nil, bodies, err
		}
	}
	set, err := join(m, bodies)
	return set, bodies, err
}

func fetchOne(ctx context.Context, digest string, sources []Source) ([]byte, error) {
	var failures []error
	for _, source := range sources {
		body, err := source.Get(ctx, digest)
		if err == nil && Digest(body) == digest {
			return body, nil
		}
		if err == nil {
			err = &CorruptError{Name: digest, Err: errors.New("the content does not match the digest")}
		}
		failures = append(failures, err)
	}
	return nil, fmt.Errorf("publish: fetch %s: %w", digest, errors.Join(failures...))
}

// Snapshot is a revision with its set. It is not modified.
type Snapshot struct {
	Revision uint64
	Manifest string
	Set      *objects.Set
}

// LocalStore keeps the newest revision that it was given. Its revision never goes
// back. It may be used concurrently.
type LocalStore struct {
	mu      sync.Mutex // level 90
	inForce *Snapshot
	bodies  map[string][]byte // of the revision in force, by digest
	partial map[string][]byte // fetched for revisions not yet complete
}

// NewLocalStore returns a store without a revision.
func NewLocalStore() *LocalStore {
	return &LocalStore{bodies: map[string][]byte{}, partial: map[string][]byte{}}
}

// Current returns the revision in force, nil before the first one.
func (s *LocalStore) Current() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce
}

// Get returns content of the revision in force by digest, which makes the
// store a Source for others. Errors: *store.NotFoundError.
func (s *LocalStore) Get(_ context.Context, digest string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if body, ok := s.bodies[digest]; ok {
		return body, nil
	}
	if body, ok := s.partial[digest]; ok {
		return body, nil
	}
	return nil, &store.NotFoundError{Name: digest}
}

// Advance fetches a revision and puts it in force. It returns the revision
// that it put in force, or nil when one at least as new is in force already.
// Content that was fetched before an error is kept for the next call. Errors:
// *CorruptError, or the errors of the sources.
func (s *LocalStore) Advance(ctx context.Context, revision uint64, manifest string, sources ...Source) (*Snapshot, error) {
	if current := s.Current(); current != nil && current.Revision >= revision {
		return nil, nil
	}
	set, bodies, err := Fetch(ctx, Revision{Revision: revision, Manifest: manifest}, append([]Source{s}, sources...)...)
	if err != nil {
		s.keep(bodies)
		return nil, err
	}
	return s.install(&Snapshot{revision, manifest, set}, bodies), nil
}

// keep remembers content of a revision that is not complete yet.
func (s *LocalStore) keep(bodies map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.partial) > maxChunks {
		s.partial = map[string][]byte{}
	}
	for digest, body := range bodies {
		if body != nil {
			s.partial[digest] = body
		}
	}
}

// install compares under the lock again: another Advance may have finished.
func (s *LocalStore) install(f *Snapshot, bodies map[string][]byte) *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce != nil && s.inForce.Revision >= f.Revision {
		return nil
	}
	s.inForce = f
	s.bodies = bodies
	s.partial = map[string][]byte{}
	return f
}
