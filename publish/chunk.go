package publish

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnlead/auburnlead/objects"
)

// minPerChunk is the lower limit of the mean number of entries per chunk; the
// upper limit is twice that. With 1,100 workers and 200 callers, a changed
// worker changes a chunk of 3 KB and the manifest of 3 KB; with half as many
// entries per chunk, the sum of the two is larger.
const minPerChunk = 32

// maxChunks bounds the chunks of a manifest that is accepted from a peer.
const maxChunks = 1 << 16

// manifest lists the chunks of a revision. It contains the revision number, so
// that a peer cannot announce the content of one revision as another revision.
type manifest struct {
	Revision uint64   `json:"revision"`
	Chunks   []string `json:"chunks"` // digests of the chunks
}

// chunk is a part of a set: the objects of one kind whose names fall into one
// hash bucket. Workers are stored in separate chunks, since they change most
// often.
type chunk struct {
	Ranks     []*objects.Rank     `json:"ranks,omitempty"`
	Models    []*objects.Model    `json:"models,omitempty"`
	Callers   []*objects.Caller   `json:"callers,omitempty"`
	Upstreams []*objects.Upstream `json:"upstreams,omitempty"` // without workers
	Workers   []workerEntry       `json:"workers,omitempty"`
}

type workerEntry struct {
	Upstream string `json:"upstream"`
	objects.Worker
}

// Digest returns the name of a stored body: its SHA-256 in lower-case hex.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// splitSet returns the encoded manifest of a revision and its chunks by digest.
func splitSet(s *objects.Set, revision uint64) ([]byte, map[string][]byte, error) {
	workers := map[string]workerEntry{}
	withoutWorkers := map[string]*objects.Upstream{}
	for name, u := range s.Upstreams {
		v := *u
		v.Workers = nil
		withoutWorkers[name] = &v
		for _, w := range u.Workers {
			workers[name+"/"+w.ID] = workerEntry{name, w}
		}
	}
	var parts []chunk
	parts = appendBuckets(parts, s.Ranks, func(c *chunk) *[]*objects.Rank { return &c.Ranks })
	parts = appendBuckets(parts, s.Models, func(c *chunk) *[]*objects.Model { return &c.Models })
	parts = appendBuckets(parts, s.Callers, func(c *chunk) *[]*objects.Caller { return &c.Callers })
	parts = appendBuckets(parts, withoutWorkers, func(c *chunk) *[]*objects.Upstream { return &c.Upstreams })
	parts = appendBuckets(parts, workers, func(c *chunk) *[]workerEntry { return &c.Workers })
	m := manifest{Revision: revision}
	chunks := map[string][]byte{}
	for _, part := range parts {
		body, err := json.Marshal(part)
		if err != nil {
			return nil, nil, fmt.Errorf("publish: encode a chunk: %w; validate the set with objects.Check", err)
		}
		m.Chunks = append(m.Chunks, Digest(body))
		chunks[Digest(body)] = body
	}
	body, err := json.Marshal(m)
	return body, chunks, err
}

// appendBuckets distributes the objects of one kind over chunks by the hash of
// their names and appends the chunks that are not empty. The number of buckets is
// a power of two, so that most chunks stay the same when the number of objects
// changes a little.
func appendBuckets[T any](chunks []chunk, byName map[string]T, field func(*chunk) *[]T) []chunk {
	if len(byName) == 0 {
		return chunks
	}
	bucketCount := uint64(1) << (bits.Len(uint(max(len(byName)/minPerChunk, 1))) - 1)
	buckets := make([]chunk, bucketCount)
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		entries := field(&buckets[xxhash.Sum64String(name)%bucketCount])
		*entries = append(*entries, byName[name])
	}
	for i := range buckets {
		if len(*field(&buckets[i])) > 0 {
			chunks = append(chunks, buckets[i])
		}
	}
	return chunks
}

// decodeManifest decodes a manifest and checks that it belongs to the revision.
func decodeManifest(r Revision, body []byte) (manifest, error) {
	var m manifest
	if err := json.Unmarshal(body, &m); err != nil {
		return m, &CorruptError{Name: r.Manifest, Err: err}
	}
	if m.Revision != r.Revision {
		return m, &CorruptError{Name: r.Manifest, Err: fmt.Errorf("the manifest belongs to revision %d, not %d", m.Revision, r.Revision)}
	}
	if len(m.Chunks) > maxChunks {
		return m, &CorruptError{Name: r.Manifest, Err: errors.New("the manifest has too many chunks")}
	}
	return m, nil
}

// joinSet builds the set of a manifest from its chunks.
func joinSet(m manifest, bodies map[string][]byte) (*objects.Set, error) {
	s := objects.NewSet()
	var workers []workerEntry
	for _, digest := range m.Chunks {
		var c chunk
		if err := json.Unmarshal(bodies[digest], &c); err != nil {
			return nil, &CorruptError{Name: digest, Err: err}
		}
		valid := addAll(s.Ranks, c.Ranks, func(o *objects.Rank) string { return o.Name }) &&
			addAll(s.Models, c.Models, func(o *objects.Model) string { return o.Name }) &&
			addAll(s.Callers, c.Callers, func(o *objects.Caller) string { return o.Name }) &&
			addAll(s.Upstreams, c.Upstreams, func(o *objects.Upstream) string { return o.Name })
		if !valid {
			return nil, &CorruptError{Name: digest, Err: errors.New("an object is missing or appears twice")}
		}
		workers = append(workers, c.Workers...)
	}
	slices.SortFunc(workers, func(a, b workerEntry) int { return cmp.Compare(a.ID, b.ID) })
	for _, w := range workers {
		u := s.Upstreams[w.Upstream]
		if u == nil {
			return nil, &CorruptError{Name: "worker " + w.ID, Err: fmt.Errorf("upstream %q is missing", w.Upstream)}
		}
		u.Workers = append(u.Workers, w.Worker)
	}
	return s, nil
}

// addAll adds the objects of a chunk to a set. It returns false if an object is
// nil or already in the set.
func addAll[T any](byName map[string]*T, added []*T, name func(*T) string) bool {
	for _, o := range added {
		if o == nil || byName[name(o)] != nil {
			return false
		}
		byName[name(o)] = o
	}
	return true
}
