// Package storetest provides an in-memory implementation of store.Client, called
// the platform, with fault injection. It is meant for tests of programs that embed
// ledger, lease or publish.
//
// A Platform keeps rows, objects and VMs in memory and is linearizable: each
// operation takes effect at one moment between its call and its return, except
// for writes that Faults delay beyond the return. All methods are safe for
// concurrent use. Faults are drawn from a seeded random generator, so a single
// goroutine sees the same faults in each run.
package storetest

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/store"
)

// Options configures a Platform.
type Options struct {
	// Seed is the seed of the random generator that faults are drawn from.
	Seed uint64
	// Now is the platform's clock. Required.
	Now func() time.Time
	// After runs fn after d. Only late and duplicated writes need it.
	After func(d time.Duration, fn func())
}

// Stage is the point in an operation at which the Delay hook is called.
type Stage int

// Stages of an operation.
const (
	BeforeEffect Stage = iota
	BeforeReply
)

// Call describes the operation for which the Delay hook is called.
type Call struct {
	Op    string // get, scan, commit, put, object or list
	Stage Stage
}

// Faults are the faults that a Platform injects. Shares are probabilities from 0
// to 1.
type Faults struct {
	// Outage rejects every operation.
	Outage bool
	// Delay is called in each stage of each operation and may block.
	Delay func(ctx context.Context, c Call)
	// LostReplies is the share of writes that take effect but whose reply is
	// lost.
	LostReplies float64
	// DroppedRequests is the share of requests that are lost before they take
	// effect. The sender of a write cannot distinguish this from a lost reply.
	DroppedRequests float64
	// LateWrites is the share of writes that fail with a lost reply and take
	// effect up to LateBy later, if their preconditions hold then.
	LateWrites float64
	// DuplicateWrites is the share of writes that arrive a second time up to
	// LateBy after they took effect.
	DuplicateWrites float64
	// LateBy bounds the delay of late and duplicated writes. Default 1 s.
	LateBy time.Duration
	// VMLag is how old the VM list is when it is read.
	VMLag time.Duration
	// ReadsPerSecond and WritesPerSecond limit the rate of requests, with a
	// burst of one second. Requests above the limit are rejected. 0 for no
	// limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Stats counts operations and faults since the platform was created.
type Stats struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`  // commits and puts, including rejected and dropped ones
	Refused int64 `json:"refused"` // rejected by an outage or the rate limit
	Lost    int64 `json:"lost"`    // lost replies and dropped requests
	Late    int64 `json:"late"`    // late and duplicated writes
}

// Errors wrapped by *store.UnavailableError and *store.UncertainError.
var (
	ErrOutage      = errors.New("the platform is down")
	ErrRateLimited = errors.New("the rate limit is reached")
	ErrLost        = errors.New("no reply")
)

// vmVersion is the VM list from one change to the next.
type vmVersion struct {
	at  time.Time
	vms map[string]store.VM
}

// Platform is the in-memory platform.
type Platform struct {
	opts Options

	mu         sync.Mutex // leaf lock: no other lock is acquired while it is held
	rand       *rand.Rand
	faults     Faults
	rows       map[string]store.Row
	version    int64
	objects    map[string][]byte
	vms        []vmVersion // in ascending order of time
	stats      Stats
	readLimit  tokenBucket
	writeLimit tokenBucket
}

// New returns an empty platform without faults. It panics if Now is nil.
func New(opts Options) *Platform {
	if opts.Now == nil {
		panic("storetest: Options.Now is required")
	}
	return &Platform{
		opts:    opts,
		rand:    rand.New(rand.NewPCG(opts.Seed, 0x9e3779b97f4a7c15)),
		rows:    map[string]store.Row{},
		objects: map[string][]byte{},
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.LateBy == 0 {
		f.LateBy = time.Second
	}
	p.faults = f
}

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Stats returns the current counts.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Get implements store.Table.
func (p *Platform) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	var rows []store.Row
	err := p.runRead(ctx, "get", func() {
		for _, k := range keys {
			rows = append(rows, p.row(k))
		}
	})
	return rows, err
}

// Scan implements store.Table.
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	var rows []store.Row
	err := p.runRead(ctx, "scan", func() {
		keys := slices.Sorted(maps.Keys(p.rows))
		for _, k := range keys[sort.SearchStrings(keys, max(prefix, after)):] {
			if len(rows) == limit || !strings.HasPrefix(k, prefix) {
				break
			}
			if k != after {
				rows = append(rows, p.row(k))
			}
		}
	})
	return rows, err
}

// Commit implements store.Table.
func (p *Platform) Commit(ctx context.Context, ops []store.Op) (store.CommitResult, error) {
	var done store.CommitResult
	var conflict *store.ConflictError
	ops = cloneOps(ops)
	apply := func() { done, conflict = p.applyCommit(ops) }
	applyLate := func() { _, _ = p.applyCommit(ops) } // nobody receives the result
	err := p.runWrite(ctx, "commit", apply, applyLate)
	if err != nil {
		return store.CommitResult{}, err
	}
	if conflict != nil {
		return store.CommitResult{}, conflict
	}
	return done, nil
}

// Objects implements store.Client.
func (p *Platform) Objects() store.ObjectStore { return objectStore{p} }

// PutVM adds a VM to the list or replaces its entry.
func (p *Platform) PutVM(vm store.VM) {
	p.changeVMs(func(m map[string]store.VM) { m[vm.ID] = vm })
}

// DeleteVM removes a VM from the list.
func (p *Platform) DeleteVM(id string) { p.changeVMs(func(m map[string]store.VM) { delete(m, id) }) }

func (p *Platform) changeVMs(change func(map[string]store.VM)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := map[string]store.VM{}
	if n := len(p.vms); n > 0 {
		next = maps.Clone(p.vms[n-1].vms)
	}
	change(next)
	p.vms = append(p.vms, vmVersion{p.opts.Now(), next})
}

// List implements store.VMLister.
func (p *Platform) List(ctx context.Context) (store.VMList, error) {
	var list store.VMList
	err := p.runRead(ctx, "list", func() {
		list.AsOf = p.opts.Now().Add(-p.faults.VMLag)
		for i := len(p.vms) - 1; i >= 0; i-- {
			if !p.vms[i].at.After(list.AsOf) {
				for _, id := range slices.Sorted(maps.Keys(p.vms[i].vms)) {
					list.VMs = append(list.VMs, p.vms[i].vms[id])
				}
				return
			}
		}
	})
	return list, err
}

func (p *Platform) row(key string) store.Row {
	r, ok := p.rows[key]
	if !ok {
		return store.Row{Key: key}
	}
	r.Value = bytes.Clone(r.Value)
	return r
}

// applyCommit applies a commit. Versions come from one counter, so a row that is
// deleted and written again never gets a version that it had before.
func (p *Platform) applyCommit(ops []store.Op) (store.CommitResult, *store.ConflictError) {
	var conflicting []store.Row
	for _, op := range ops {
		if op.IfVersion != store.AnyVersion && p.rows[op.Key].Version != op.IfVersion {
			conflicting = append(conflicting, p.row(op.Key))
		}
	}
	if len(conflicting) > 0 {
		return store.CommitResult{}, &store.ConflictError{Current: conflicting}
	}
	done := store.CommitResult{At: p.opts.Now()}
	for _, op := range ops {
		p.version++
		if op.Delete {
			delete(p.rows, op.Key)
			done.Versions = append(done.Versions, 0)
			continue
		}
		p.rows[op.Key] = store.Row{Key: op.Key, Value: op.Value, Version: p.version}
		done.Versions = append(done.Versions, p.version)
	}
	return done, nil
}

func cloneOps(ops []store.Op) []store.Op {
	ops = slices.Clone(ops)
	for i := range ops {
		ops[i].Value = bytes.Clone(ops[i].Value)
	}
	return ops
}

type objectStore struct{ p *Platform }

func (s objectStore) Put(ctx context.Context, name string, body []byte) error {
	body = bytes.Clone(body)
	apply := func() { s.p.objects[name] = body }
	return s.p.runWrite(ctx, "put", apply, apply)
}

func (s objectStore) Get(ctx context.Context, name string) ([]byte, error) {
	var body []byte
	var found bool
	if err := s.p.runRead(ctx, "object", func() { body, found = s.p.objects[name] }); err != nil {
		return nil, err
	}
	if !found {
		return nil, &store.NotFoundError{Name: name}
	}
	return bytes.Clone(body), nil
}

var _ store.Client = (*Platform)(nil)
