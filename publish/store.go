package publish

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/store"
)

// Source returns content by digest. store.ObjectStore implements it.
type Source interface {
	// Get reads an object. Errors: *store.NotFoundError if the source does not
	// have it; after any other error the source may have it.
	Get(ctx context.Context, digest string) ([]byte, error)
}

// Newest reads the pointer row. Revision 0 means that nothing has been
// published yet.
func Newest(ctx context.Context, t store.Table) (Revision, error) {
	rows, err := t.Get(ctx, PointerKey)
	if err != nil {
		return Revision{}, fmt.Errorf("publish: read the pointer row: %w", err)
	}
	return decodePointer(rows[0])
}

// History returns up to limit audit records, newest first.
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

// Fetch reads the set of a revision and returns it with the bodies of its
// manifest and chunks, by digest. Each body is taken from the first source
// whose content matches the digest.
func Fetch(ctx context.Context, r Revision, sources ...Source) (*objects.Set, map[string][]byte, error) {
	bodies := map[string][]byte{}
	body, err := fetchObject(ctx, r.Manifest, sources)
	if err != nil {
		return nil, nil, err
	}
	bodies[r.Manifest] = body
	m, err := decodeManifest(r, body)
	if err != nil {
		return nil, nil, err
	}
	for _, digest := range m.Chunks {
		if bodies[digest], err = fetchObject(ctx, digest, sources); err != nil {
			return nil, bodies, err
		}
	}
	set, err := joinSet(m, bodies)
	return set, bodies, err
}

// fetchObject returns the body from the first source whose content matches the
// digest, or the errors of all sources.
func fetchObject(ctx context.Context, digest string, sources []Source) ([]byte, error) {
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
	return nil, fmt.Errorf("publish: fetch object %s: %w", digest, errors.Join(failures...))
}

// Snapshot is a revision with its set. It is immutable.
type Snapshot struct {
	Revision uint64
	Manifest string
	Set      *objects.Set
}

// LocalStore keeps the newest revision that it has fetched. It never goes back to
// an older revision. It is safe for concurrent use.
type LocalStore struct {
	mu      sync.Mutex // lock level 90, see internal/core/lockorder.go
	active  *Snapshot
	bodies  map[string][]byte // content of the active revision, by digest
	partial map[string][]byte // content of revisions that are not complete yet
}

// NewLocalStore returns a store without a revision.
func NewLocalStore() *LocalStore {
	return &LocalStore{bodies: map[string][]byte{}, partial: map[string][]byte{}}
}

// Current returns the active revision, nil before the first one.
func (s *LocalStore) Current() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Get returns content by digest, of the active revision or of a revision that is
// not complete yet, so that the store can be a Source for others. Errors:
// *store.NotFoundError.
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

// Advance fetches a revision and makes it the active one. It returns that
// revision, or nil if the active revision is already the same or newer. Content
// fetched before an error is kept for the next call. Errors: *CorruptError, or
// the errors of the sources.
func (s *LocalStore) Advance(ctx context.Context, revision uint64, manifest string, sources ...Source) (*Snapshot, error) {
	if current := s.Current(); current != nil && current.Revision >= revision {
		return nil, nil
	}
	set, bodies, err := Fetch(ctx, Revision{Revision: revision, Manifest: manifest}, append([]Source{s}, sources...)...)
	if err != nil {
		s.keepPartial(bodies)
		return nil, err
	}
	return s.install(&Snapshot{revision, manifest, set}, bodies), nil
}

// keepPartial keeps content of a revision that is not complete yet. If more than
// maxChunks objects are kept already, it drops them first to limit memory.
func (s *LocalStore) keepPartial(bodies map[string][]byte) {
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

// install makes a revision active. It compares revisions again under the lock,
// since another Advance may have finished in the meantime.
func (s *LocalStore) install(snapshot *Snapshot, bodies map[string][]byte) *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active != nil && s.active.Revision >= snapshot.Revision {
		return nil
	}
	s.active = snapshot
	s.bodies = bodies
	s.partial = map[string][]byte{}
	return snapshot
}
