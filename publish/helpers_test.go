package publish

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/store"
	"github.com/auburnlead/auburnlead/store/storetest"
)

var ctx = context.Background()

func newPlatform() *storetest.Platform {
	return storetest.New(storetest.Options{Now: func() time.Time { return time.Unix(1, 0) }})
}

func newPublisher(p *storetest.Platform) *Publisher {
	return &Publisher{Table: p, Objects: p.Objects()}
}

// lostReplyThenOutage is a platform that applies a commit, loses its reply and is
// down afterwards.
type lostReplyThenOutage struct{ *storetest.Platform }

func (p lostReplyThenOutage) Commit(ctx context.Context, ops []store.Op) (store.CommitResult, error) {
	_, _ = p.Platform.Commit(ctx, ops) // the result is lost
	p.SetFaults(storetest.Faults{Outage: true})
	return store.CommitResult{}, &store.UncertainError{Op: "commit", Err: errors.New("injected fault")}
}

// corruptSource returns content that does not match the digest.
type corruptSource struct{}

func (corruptSource) Get(context.Context, string) ([]byte, error) {
	return []byte(`{"revision":1}`), nil
}

// countingSource counts the bytes read from a source.
type countingSource struct {
	Source
	bytes *int
}

func (c countingSource) Get(ctx context.Context, digest string) ([]byte, error) {
	body, err := c.Source.Get(ctx, digest)
	*c.bytes += len(body)
	return body, err
}

// smallSet returns a valid set whose content depends on the tag.
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
