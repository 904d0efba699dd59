package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// Config has the times of a Follower.
type Config struct {
	// PollWait is the longest wait of one call for changes.
	PollWait time.Duration
	// PollWaitForOthers is that of a router that reads for others.
	PollWaitForOthers time.Duration
	// BatchDelayForOthers is Gather of a router that reads for others.
	BatchDelayForOthers time.Duration
	// Timeout bounds a call beyond that wait.
	Timeout time.Duration
	// BatchDelay is the time after a change for which further ones are left to
	// gather, so that one call brings them all.
	BatchDelay time.Duration
	// StaleAfter is the age of the peers' contact with the store above which this
	// router asks the store itself.
	StaleAfter time.Duration
}

// Events are called by a Follower, one call at a time. They must not block.
type Events struct {
	// Changed gets the rows that changed, by a call of the store or of a peer.
	Changed func(rows []Row, version int64)
	// SourcesLost is called when neither store nor peers answer any more.
	SourcesLost func(err error)
	// SourcesRecovered is called when one of them answers again.
	SourcesRecovered func()
	// Warning reports a failure that the follower goes on from.
	Warning func(what string, err error)
}

// Follower keeps the copy of one table up to date.
type Follower struct {
	Table  string
	Store  Source
	Peers  Peers
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
		if !f.Peers.ReadsStore() && f.followPeers(ctx) {
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
			f.Events.Warning("history gone", err)
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
	changed := f.Peers.StatusChanged()
	news := f.Peers.TableStatus(f.Table)
	// This router's own last call counts like one of a peer.
	if min(news.Age, time.Since(f.Copy.LastContact())) > f.Config.StaleAfter {
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
	news := f.Peers.TableStatus(f.Table)
	if news.Version > f.Copy.Version() {
		f.take(ctx, news)
	}
	if news.Age > f.Config.StaleAfter {
		return false
	}
	f.answered()
	return true
}

// take reads the changes from a peer.
func (f *Follower) take(ctx context.Context, news TableStatus) bool {
	if news.Peer == nil {
		return false
	}
	call, cancel := context.WithTimeout(ctx, f.Config.Timeout)
	defer cancel()
	page, err := news.Peer.Changes(call, f.Table, f.Copy.Version(), 0)
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		page, err = news.Peer.Read(call, f.Table)
		if err == nil {
			f.change(f.Copy.replace(page), page.Version)
			return true
		}
	}
	if err != nil {
		f.Events.Warning("peer does not answer", err)
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
		f.Peers.AnnounceChange()
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
	wait, gather := f.Config.PollWait, f.Config.BatchDelay
	if f.Peers.ReadsForOthers() {
		wait, gather = f.Config.PollWaitForOthers, f.Config.BatchDelayForOthers
	}
	if f.storeLost || !f.Peers.ReadsStore() {
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
		f.Events.Warning("reading older than the copy", nil)
		pause(ctx, staleWait)
		return nil
	}
	f.Copy.touched(time.Now())
	f.version, f.synced = page.Version, true
	f.Events.Changed(f.Copy.replace(page), page.Version)
	f.Peers.AnnounceChange()
	return nil
}

func (f *Follower) lose(err error) {
	if !f.lost {
		f.lost = true
		f.Events.SourcesLost(err)
	}
}

func (f *Follower) answered() {
	if f.lost {
		f.lost = false
		f.Events.SourcesRecovered()
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
