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

// perChunk is the least mean number of entries of a chunk, the most is twice
// that. With 1,100 workers and 200 callers a changed worker costs 3 KB of chunk
// and 3 KB of manifest; with half of it per chunk the two together are larger.
const perChunk = 32

// maxChunks bounds the chunks of a manifest that is accepted from a peer.
const maxChunks = 1 << 16

// manifest lists the chunks of a revision. It names its revision, so that an
// announcement cannot pass off one revision's content as another's.
type manifest struct {
	Revision uint64   `json:"revision"`
	Chunks   []string `json:"chunks"` // digests
}

// chunk is a part of a set: the objects of one kind whose names fall into one
// hash bucket. Workers have chunks of their own, since they change most.
type chunk struct {
	Ranks     []*objects.Rank     `json:"ranks,omitempty"`
	Models    []*objects.Model    `json:"models,omitempty"`
	Callers   []*objects.Caller   `json:"callers,omitempty"`
	Upstreams []*objects.Upstream `json:"upstreams,omitempty"` // without workers
	Workers   []worker            `json:"workers,omitempty"`
}

type worker struct {
	Upstream string `json:"upstream"`
	objects.Worker
}

// Digest returns the name of an object: its SHA-256 in lower-case hex.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// split returns the manifest of a revision and its chunks by digest.
func split(s *objects.Set, revision uint64) ([]byte, map[string][]byte, error) {
	workers := map[string]worker{}
	bare := map[string]*objects.Upstream{}
	for name, u := range s.Upstreams {
		v := *u
		v.Workers = nil
		bare[name] = &v
		for _, w := range u.Workers {
			workers[name+"/"+w.ID] = worker{name, w}
		}
	}
	var parts []chunk
	parts = buckets(parts, s.Ranks, func(c *chunk) *[]*objects.Rank { return &c.Ranks })
	parts = buckets(parts, s.Models, func(c *chunk) *[]*objects.Model { return &c.Models })
	parts = buckets(parts, s.Callers, func(c *chunk) *[]*objects.Caller { return &c.Callers })
	parts = buckets(parts, bare, func(c *chunk) *[]*objects.Upstream { return &c.Upstreams })
	parts = buckets(parts, workers, func(c *chunk) *[]worker { return &c.Workers })
	m := manifest{Revision: revision}
	chunks := map[string][]byte{}
	for _, part := range parts {
		body, err := json.Marshal(part)
		if err != nil {
			return nil, nil, fmt.Errorf("publish: encode: %w; check the set first", err)
		}
		m.Chunks = append(m.Chunks, Digest(body))
		chunks[Digest(body)] = body
	}
	body, err := json.Marshal(m)
	return body, chunks, err
}

// buckets spreads the objects of one kind over a power of two of chunks, so
// that most chunks stay the same when the number of objects changes a little.
func buckets[T any](parts []chunk, all map[string]T, at func(*chunk) *[]T) []chunk {
	if len(all) == 0 {
		return parts
	}
	count := uint64(1) << (bits.Len(uint(max(len(all)/perChunk, 1))) - 1)
	list := make([]chunk, count)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		entries := at(&list[xxhash.Sum64String(name)%count])
		*entries = append(*entries, all[name])
	}
	for i := range list {
		if len(*at(&list[i])) > 0 {
			parts = append(parts, list[i])
		}
	}
	return parts
}

func decodeManifest(r Revision, body []byte) (manifest, error) {
	var m manifest
	if err := json.Unmarshal(body, &m); err != nil {
		return m, &CorruptError{Name: r.Manifest, Err: err}
	}
	if m.Revision != r.Revision {
		return m, &CorruptError{Name: r.Manifest, Err: fmt.Errorf("it belongs to revision %d, not %d", m.Revision, r.Revision)}
	}
	if len(m.Chunks) > maxChunks {
		return m, &CorruptError{Name: r.Manifest, Err: errors.New("it has too many chunks")}
	}
	return m, nil
}

// join builds the set of a manifest from its chunks.
func join(m manifest, bodies map[string][]byte) (*objects.Set, error) {
	s := objects.NewSet()
	var workers []worker
	for _, digest := range m.Chunks {
		var c chunk
		if err := json.Unmarshal(bodies[digest], &c); err != nil {
			return nil, &CorruptError{Name: digest, Err: err}
		}
		complete := add(s.Ranks, c.Ranks, func(o *objects.Rank) string { return o.Name }) &&
			add(s.Models, c.Models, func(o *objects.Model) string { return o.Name }) &&
			add(s.Callers, c.Callers, func(o *objects.Caller) string { return o.Name }) &&
			add(s.Upstreams, c.Upstreams, func(o *objects.Upstream) string { return o.Name })
		if !complete {
			return nil, &CorruptError{Name: digest, Err: errors.New("an object is missing or appears twice")}
		}
		workers = append(workers, c.Workers...)
	}
	slices.SortFunc(workers, func(a, b worker) int { return cmp.Compare(a.ID, b.ID) })
	for _, w := range workers {
		u := s.Upstreams[w.Upstream]
		if u == nil {
			return nil, &CorruptError{Name: "worker " + w.ID, Err: fmt.Errorf("upstream %q is missing", w.Upstream)}
		}
		u.Workers = append(u.Workers, w.Worker)
	}
	return s, nil
}

// add puts the objects of a chunk into a set and reports whether each exists
// and is new.
func add[T any](all map[string]*T, some []*T, name func(*T) string) bool {
	for _, o := range some {
		if o == nil || all[name(o)] != nil {
			return false
		}
		all[name(o)] = o
	}
	return true
}
