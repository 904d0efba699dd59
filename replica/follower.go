package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// Config holds the durations that a Follower uses.
type Config struct {
	// PollWait is the maximum wait of one long poll for changes.
	PollWait time.Duration
	// PollWaitForOthers is PollWait of a router that reads the store for
	// others.
	PollWaitForOthers time.Duration
	// BatchDelayForOthers is BatchDelay of a router that reads the store for
	// others.
	BatchDelayForOthers time.Duration
	// Timeout limits a call beyond its wait.
	Timeout time.Duration
	// BatchDelay is the time after a change in which further changes are left
	// to collect, so that one call returns them all.
	BatchDelay time.Duration
	// StaleAfter is the time without contact between any router and the store
	// after which this router calls the store itself.
	StaleAfter time.Duration
}

// Events are called by a Follower, one call at a time. They must not block.
type Events struct {
	// Changed gets the rows that changed, read from the store or from a peer.
	Changed func(rows []Row, version int64)
	// SourcesLost is called when neither the store nor peers reply any more.
	SourcesLost func(err error)
	// SourcesRecovered is called when one of them replies again.
	SourcesRecovered func()
	// Warning reports a failure after which the follower continues.
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

	storeVersion int64 // version of the store from which to read changes
	synced       bool  // storeVersion is valid: a snapshot was read, and the history since is available
	storeFailed  bool  // the last call to the store failed
	sourcesLost  bool  // neither store nor peers reply
}

// Waits between calls after a failure. The first is short, since most failures
// are a lost connection.
const (
	minRetryWait = 50 * time.Millisecond
	maxRetryWait = 400 * time.Millisecond
	// staleWait is the wait before a snapshot is read again that was older than
	// the copy.
	staleWait = 200 * time.Millisecond
	// statusRecheck limits the wait for a changed table status, so that its age
	// is checked regularly.
	statusRecheck = 250 * time.Millisecond
)

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait := minRetryWait
	for ctx.Err() == nil {
		if !f.Peers.ReadsStore() && f.followPeers(ctx) {
			wait = minRetryWait
			continue
		}
		err := f.readStore(ctx)
		if err == nil {
			wait = minRetryWait
			f.storeFailed = false
			f.sourceReplied()
			continue
		}
		var gone *HistoryGoneError
		if errors.As(err, &gone) {
			f.synced = false
			f.Events.Warning("history no longer available", err)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.storeFailed = true
		if !f.catchUpFromPeers(ctx) {
			f.reportSourcesLost(err)
		}
		sleep(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, maxRetryWait)
	}
}

// followPeers reads changes from a peer, or waits for a changed table status,
// while the routers are in contact with the store. It returns false if they are
// not or if no peer could be read.
func (f *Follower) followPeers(ctx context.Context) bool {
	changed := f.Peers.StatusChanged()
	status := f.Peers.TableStatus(f.Table)
	// This router's own last contact counts like that of a peer.
	if min(status.Age, time.Since(f.Copy.LastContact())) > f.Config.StaleAfter {
		return false
	}
	if status.Version > f.Copy.Version() {
		if !f.readPeer(ctx, status) {
			return false
		}
		f.sourceReplied()
		return true
	}
	f.sourceReplied()
	timer := time.NewTimer(statusRecheck)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// catchUpFromPeers reads changes from a peer while the store does not reply. It
// reports whether the routers are in contact with the store.
func (f *Follower) catchUpFromPeers(ctx context.Context) bool {
	status := f.Peers.TableStatus(f.Table)
	if status.Version > f.Copy.Version() {
		f.readPeer(ctx, status)
	}
	if status.Age > f.Config.StaleAfter {
		return false
	}
	f.sourceReplied()
	return true
}

// readPeer reads the changes, or if necessary a snapshot, from a peer and
// reports whether this succeeded.
func (f *Follower) readPeer(ctx context.Context, status TableStatus) bool {
	if status.Peer == nil {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, f.Config.Timeout)
	defer cancel()
	set, err := status.Peer.Changes(callCtx, f.Table, f.Copy.Version(), 0)
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		set, err = status.Peer.Read(callCtx, f.Table)
		if err == nil {
			f.applyChanges(f.Copy.replaceAll(set), set.Version)
			return true
		}
	}
	if err != nil {
		f.Events.Warning("peer read failed", err)
		return false
	}
	f.applyChanges(set.Rows, set.Version)
	return true
}

// applyChanges applies changed rows to the copy and announces them.
func (f *Follower) applyChanges(rows []Row, version int64) {
	f.Copy.apply(rows)
	if len(rows) > 0 {
		f.Events.Changed(rows, version)
		f.Peers.AnnounceChange()
	}
}

// readStore makes one call to the store.
func (f *Follower) readStore(ctx context.Context) error {
	if !f.synced {
		return f.readSnapshot(ctx)
	}
	// A call that reaches the store while it is unresponsive never gets a
	// reply, even after the store has recovered. While calls fail they are
	// therefore short. A router that is not one of those that read the store
	// does not wait for changes.
	wait, batchDelay := f.Config.PollWait, f.Config.BatchDelay
	if f.Peers.ReadsForOthers() {
		wait, batchDelay = f.Config.PollWaitForOthers, f.Config.BatchDelayForOthers
	}
	if f.storeFailed || !f.Peers.ReadsStore() {
		wait = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+f.Config.Timeout)
	defer cancel()
	set, err := f.Store.Changes(callCtx, f.Table, f.storeVersion, wait)
	if err != nil {
		return err
	}
	f.Copy.recordContact(time.Now())
	if set.Version < f.storeVersion {
		return nil
	}
	f.storeVersion = set.Version
	if len(set.Rows) > 0 {
		f.applyChanges(set.Rows, set.Version)
		sleep(ctx, batchDelay)
	}
	return nil
}

func (f *Follower) readSnapshot(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, f.Config.Timeout)
	defer cancel()
	set, err := f.Store.Read(callCtx, f.Table)
	if err != nil {
		return err
	}
	if set.Version < max(f.storeVersion, f.Copy.Version()) {
		f.Events.Warning("snapshot older than the copy", nil)
		sleep(ctx, staleWait)
		return nil
	}
	f.Copy.recordContact(time.Now())
	f.storeVersion, f.synced = set.Version, true
	f.Events.Changed(f.Copy.replaceAll(set), set.Version)
	f.Peers.AnnounceChange()
	return nil
}

func (f *Follower) reportSourcesLost(err error) {
	if !f.sourcesLost {
		f.sourcesLost = true
		f.Events.SourcesLost(err)
	}
}

func (f *Follower) sourceReplied() {
	if f.sourcesLost {
		f.sourcesLost = false
		f.Events.SourcesRecovered()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
