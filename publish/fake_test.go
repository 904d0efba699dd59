package publish

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/platform"
)

// fake is a platform in memory with faults drawn from a seed.
type fake struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	rand    *rand.Rand
	lost    float64 // share of writes whose reply is lost, half of them applied
	down    float64 // share of requests that are refused
	bytes   int     // read from the object store
}

func newFake(seed uint64) *fake {
	return &fake{rows: map[string]platform.Row{}, objects: map[string][]byte{}, rand: rand.New(rand.NewPCG(seed, 1))}
}

var errFault = errors.New("injected fault")

func (f *fake) refused(op string) error {
	if f.rand.Float64() < f.down {
		return &platform.UnavailableError{Op: op, Err: errFault}
	}
	return nil
}

func (f *fake) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]platform.Row, len(keys))
	for i, key := range keys {
		list[i] = f.rows[key]
		list[i].Key = key
	}
	return list, f.refused("get")
}

func (f *fake) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []platform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, row)
		}
	}
	slices.SortFunc(list, func(a, b platform.Row) int { return cmp.Compare(a.Key, b.Key) })
	return list[:min(limit, len(list))], f.refused("scan")
}

func (f *fake) Commit(_ context.Context, ops []platform.Op) (platform.Committed, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.refused("commit"); err != nil {
		return platform.Committed{}, err
	}
	lost := f.rand.Float64() < f.lost
	if lost && f.rand.IntN(2) == 0 {
		return platform.Committed{}, &platform.UncertainError{Op: "commit", Err: errFault}
	}
	for _, op := range ops {
		if row := f.rows[op.Key]; op.IfVersion != platform.AnyVersion && row.Version != op.IfVersion {
			return platform.Committed{}, &platform.ConflictError{Current: []platform.Row{row}}
		}
	}
	for _, op := range ops {
		f.rows[op.Key] = platform.Row{Key: op.Key, Value: op.Value, Version: f.rows[op.Key].Version + 1}
	}
	if lost {
		return platform.Committed{}, &platform.UncertainError{Op: "commit", Err: errFault}
	}
	return platform.Committed{Versions: make([]int64, len(ops))}, nil
}

// store is the fake's object store.
type store struct{ *fake }

func (s store) Put(_ context.Context, name string, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = body
	return s.refused("put")
}

func (s store) Get(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[name]
	if !ok {
		return nil, &platform.NotFoundError{Name: name}
	}
	s.bytes += len(body)
	return body, s.refused("get")
}

func (f *fake) publisher() *Publisher { return &Publisher{Table: f, Objects: store{f}} }

// smallSet returns a valid set that differs with the tag.
func smallSet(tag string) *objects.Set {
	s, err := objects.Load("", fmt.Appendf(nil, "[rank.urgent]\npriority = 0\n[model.m]\nweights = %s\n", tag))
	if err != nil {
		panic(err)
	}
	return s
}

// largeSet returns a valid set with 1,100 workers and 200 callers.
func largeSet() *objects.Set {
	s := smallSet("v1")
	u := &objects.Upstream{Name: "pool", Kind: objects.UpstreamEngine, Models: []string{"m"}, LoadBound: 1.25, MaxInFlight: 16}
	for i := range 1100 {
		u.Workers = append(u.Workers, objects.Worker{ID: fmt.Sprintf("e%04d", i), FailureDomain: "west-a", URL: fmt.Sprintf("http://10.0.%d.%d:9000", i/250, i%250)})
	}
	s.Upstreams["pool"] = u
	for i := range 200 {
		name := fmt.Sprintf("caller-%03d", i)
		s.Callers[name] = &objects.Caller{Name: name, KeySHA256: fmt.Sprintf("%064x", i), Ranks: []string{"urgent"}, DefaultRank: "urgent", Models: []string{"m"}, Weight: 1}
	}
	return s
}

func submission(tag string, base uint64) Submission {
	return Submission{Set: smallSet(tag), Base: base, Token: "token-" + tag, Author: "author-" + tag, Now: time.Unix(1, 0).UTC()}
}
