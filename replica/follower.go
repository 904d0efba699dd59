package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// Config has the times of a Follower.
type Config struct {
	// Poll is the longest wait of one call for changes.
	Poll time.Duration
	// PollForOthers is that of a router that reads for others.
	PollForOthers time.Duration
	// GatherForOthers is Gather of a router that reads for others.
	GatherForOthers time.Duration
	// Timeout bounds a call beyond that wait.
	Timeout time.Duration
	// Gather is the time after a change for which further ones are left to
	// gather, so that one call brings them all.
	Gather time.Duration
	// Stale is the age of the peers' contact with the store above which this
	// router asks the store itself.
	Stale time.Duration
}

// Events are called by a Follower, one call at a time. They must not block.
type Events struct {
	// Changed gets the rows that changed, by a call of the store or of a peer.
	Changed func(rows []Row, version int64)
	// Lost is called when neither store nor peers answer any more.
	Lost func(err error)
	// Regained is called when one of them answers again.
	Regained func()
	// Trouble reports a failure that the follower goes on from.
	Trouble func(what string, err error)
}

// Follower keeps the copy of one table up to date.
type Follower struct {
	Table  string
	Store  Source
	Guide  Guide
	Copy   *Copy
	Config Config
	Events Events

	version   int64 // of the store, at which its changes continue
	synced    bool  // they do continue there
	storeLost bool  // the last call of the store failed
	lost      bool  // neither store nor peers answer
}

// Waits between calls after a failure. The first is short, since most failures
// are a lost connection.
const (
	retryFirst   = 50 * time.Millisecond
	retryLongest = 400 * time.Millisecond
	// staleWait is the wait before a reading that was older than the copy is
	// repeated.
	staleWait = 200 * time.Millisecond
	// newsWait bounds the wait for news, so that their age is looked at again.
	newsWait = 250 * time.Millisecond
)

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait := retryFirst
	for ctx.Err() == nil {
		if !f.Guide.Reads() && f.followPeers(ctx) {
			wait = retryFirst
			continue
		}
		err := f.step(ctx)
		if err == nil {
			wait = retryFirst
			f.storeLost = false
			f.answered()
			continue
		}
		var gone *HistoryGoneError
		if errors.As(err, &gone) {
			f.synced = false
			f.Events.Trouble("history gone", err)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.storeLost = true
		if !f.askPeers(ctx) {
			f.lose(err)
		}
		pause(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, retryLongest)
	}
}

// followPeers takes what peers know, or waits for news, while they are in
// contact with the store. It returns false when they are not.
func (f *Follower) followPeers(ctx context.Context) bool {
	changed := f.Guide.Changed()
	news := f.Guide.News(f.Table)
	// This router's own last call counts like one of a peer.
	if min(news.Age, time.Since(f.Copy.Contact())) > f.Config.Stale {
		return false
	}
	if news.Version > f.Copy.Version() {
		if !f.take(ctx, news) {
			return false
		}
		f.answered()
		return true
	}
	f.answered()
	timer := time.NewTimer(newsWait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// askPeers takes what peers know when the store does not answer. It reports
// whether they are in contact with the store.
func (f *Follower) askPeers(ctx context.Context) bool {
	news := f.Guide.News(f.Table)
	if news.Version > f.Copy.Version() {
		f.take(ctx, news)
	}
	if news.Age > f.Config.Stale {
		return false
	}
	f.answered()
	return true
}

// take reads the changes from a peer.
func (f *Follower) take(ctx context.Context, news News) bool {
	if news.From == nil {
		return false
	}
	call, cancel := context.WithTimeout(ctx, f.Config.Timeout)
	defer cancel()
	page, err := news.From.Changes(call, f.Table, f.Copy.Version(), 0)
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		page, err = news.From.Read(call, f.Table)
		if err == nil {
			f.change(f.Copy.replace(page), page.Version)
			return true
		}
	}
	if err != nil {
		f.Events.Trouble("peer does not answer", err)
		return false
	}
	f.change(page.Rows, page.Version)
	return true
}

// change hands rows on that are newer than the copy.
func (f *Follower) change(rows []Row, version int64) {
	f.Copy.apply(rows)
	if len(rows) > 0 {
		f.Events.Changed(rows, version)
		f.Guide.Published()
	}
}

// step makes one call of the store.
func (f *Follower) step(ctx context.Context) error {
	if !f.synced {
		return f.readWhole(ctx)
	}
	// A call that a silent store swallows is never answered, also when the
	// store is back. While it is lost, calls are short. A router that does not
	// read for the others asks once.
	wait, gather := f.Config.Poll, f.Config.Gather
	if f.Guide.ReadsForOthers() {
		wait, gather = f.Config.PollForOthers, f.Config.GatherForOthers
	}
	if f.storeLost || !f.Guide.Reads() {
		wait = 0
	}
	call, cancel := context.WithTimeout(ctx, wait+f.Config.Timeout)
	defer cancel()
	page, err := f.Store.Changes(call, f.Table, f.version, wait)
	if err != nil {
		return err
	}
	f.Copy.touched(time.Now())
	if page.Version < f.version {
		return nil
	}
	f.version = page.Version
	if len(page.Rows) > 0 {
		f.change(page.Rows, page.Version)
		pause(ctx, gather)
	}
	return nil
}

func (f *Follower) readWhole(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, f.Config.Timeout)
	defer cancel()
	page, err := f.Store.Read(call, f.Table)
	if err != nil {
		return err
	}
	if page.Version < max(f.version, f.Copy.Version()) {
		f.Events.Trouble("reading older than the copy", nil)
		pause(ctx, staleWait)
		return nil
	}
	f.Copy.touched(time.Now())
	f.version, f.synced = page.Version, true
	f.Events.Changed(f.Copy.replace(page), page.Version)
	f.Guide.Published()
	return nil
}

func (f *Follower) lose(err error) {
	if !f.lost {
		f.lost = true
		f.Events.Lost(err)
	}
}

func (f *Follower) answered() {
	if f.lost {
		f.lost = false
		f.Events.Regained()
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
