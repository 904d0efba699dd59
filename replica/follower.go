package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Config holds the durations that a Follower uses.
type Config struct {
	// PollWait is the maximum wait of one long poll for changes.
	PollWait time.Duration
	// PollWaitForOthers replaces PollWait while Peers.ReadsForOthers is true.
	PollWaitForOthers time.Duration
	// BatchDelayForOthers replaces BatchDelay while Peers.ReadsForOthers is
	// true.
	BatchDelayForOthers time.Duration
	// Timeout limits each call; the wait of a long poll is added to it.
	Timeout time.Duration
	// BatchDelay is the wait after a change before the store is read again, so
	// that one call returns all changes made in the meantime.
	BatchDelay time.Duration
	// StaleAfter is how long no router may have been in contact with the store
	// before this router reads the store itself.
	StaleAfter time.Duration
}

// Events holds the callbacks of a Follower. They are called one at a time and
// must not block.
type Events struct {
	// Changed receives the rows that changed, read from the store or a peer.
	Changed func(rows []Row, version int64)
	// SourcesLost is called when the store does not reply and no peer is known
	// to be in contact with it.
	SourcesLost func(err error)
	// SourcesRecovered is called after SourcesLost, once the store replies again
	// or a peer is in contact with it.
	SourcesRecovered func()
	// Warning reports a failure that does not stop the follower.
	Warning func(message string, err error)
}

// Follower keeps the copy of one table up to date.
type Follower struct {
	Table  string
	Store  Source
	Peers  Peers
	Copy   *Copy
	Config Config
	Events Events

	storeVersion int64 // changes after this version are still to be read from the store
	synced       bool  // storeVersion is valid: a snapshot was read, and the history since is available
	storeFailed  bool  // the last call to the store failed
	sourcesLost  bool  // SourcesLost was called, and SourcesRecovered not since
}

const (
	// minRetryWait and maxRetryWait limit the mean wait between calls after a
	// failure. The first wait is short, since most failures are a lost
	// connection.
	minRetryWait = 50 * time.Millisecond
	maxRetryWait = 400 * time.Millisecond
	// snapshotRetryWait is the wait before another snapshot is read, after one that was
	// older than the copy.
	snapshotRetryWait = 200 * time.Millisecond
	// statusRecheckInterval limits the wait for a changed table status, because the age
	// of the status has to be checked regularly.
	statusRecheckInterval = 250 * time.Millisecond
)

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait := minRetryWait
	for ctx.Err() == nil {
		if !f.Peers.ReadsStore() {
			// A copy that has no version yet cannot wait, and a fresh status whose
			// peer cannot be read is no reason to wait.
			waitsForTurn := f.Copy.Version() > 0 && f.isStale(f.Peers.TableStatus(f.Table))
			if f.followPeers(ctx) || waitsForTurn && !f.awaitTurn(ctx) {
				wait = minRetryWait
				continue
			}
		}
		err := f.readStore(ctx)
		if err == nil {
			wait = minRetryWait
			f.storeFailed = false
			f.reportSourcesRecovered()
			continue
		}
		var gone *HistoryGoneError
		if errors.As(err, &gone) {
			f.synced = false
			f.Events.Warning("store history no longer available, reading a snapshot", err)
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

// callSpacing is the mean time between two calls of all routers together that are
// not selected to read the store while no router is in contact with it. The first
// router that reaches the store tells the others.
const callSpacing = 50 * time.Millisecond

// awaitTurn waits for this router's turn to call the store on behalf of all, so
// that the calls of a large fleet to a store that does not reply stay few. It
// returns false if the routers are in contact with the store before that.
//
// The wait is exponentially distributed and thus memoryless: it is drawn anew after
// each check, so that a router that loses its peers soon calls the store itself.
func (f *Follower) awaitTurn(ctx context.Context) bool {
	for ctx.Err() == nil && !f.Peers.ReadsStore() && f.isStale(f.Peers.TableStatus(f.Table)) {
		turn := time.Duration(rand.ExpFloat64() * float64(callSpacing) * float64(f.Peers.RouterCount()))
		timer := time.NewTimer(min(turn, statusRecheckInterval))
		select {
		case <-timer.C:
			if turn <= statusRecheckInterval {
				return true
			}
		case <-f.Peers.StatusChanged():
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return false
}

// followPeers reads changes from a peer, or waits for a changed table status,
// while the routers are in contact with the store. It returns false if they are
// not or if no peer could be read.
func (f *Follower) followPeers(ctx context.Context) bool {
	changed := f.Peers.StatusChanged()
	status := f.Peers.TableStatus(f.Table)
	if f.isStale(status) {
		return false
	}
	if version := f.Copy.Version(); status.Version > version {
		if !f.readPeer(ctx, status) {
			return false
		}
		if f.Copy.Version() > version {
			f.reportSourcesRecovered()
			return true
		}
		// The peer restarted after it announced the version, which no other has.
	}
	f.reportSourcesRecovered()
	timer := time.NewTimer(statusRecheckInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// isStale reports whether no router has been in contact with the store recently.
// This router's own last contact counts like a peer's.
func (f *Follower) isStale(status TableStatus) bool {
	return min(status.Age, time.Since(f.Copy.LastContact())) > f.Config.StaleAfter
}

// catchUpFromPeers reads changes from a peer while the store does not reply to
// this router. It reports whether another router is in contact with the store.
func (f *Follower) catchUpFromPeers(ctx context.Context) bool {
	status := f.Peers.TableStatus(f.Table)
	if status.Version > f.Copy.Version() {
		f.readPeer(ctx, status)
	}
	if status.Age > f.Config.StaleAfter {
		return false
	}
	f.reportSourcesRecovered()
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
	switch {
	case errors.As(err, &gone):
		return f.readPeerSnapshot(callCtx, status.Peer)
	case err != nil:
		f.Events.Warning("cannot read changes from a peer", err)
		return false
	}
	complete := f.Copy.applyChanges(set)
	f.reportChanges(set.Rows, set.Version)
	if !complete {
		f.Events.Warning("peer lacks a change of before its start, reading its snapshot", nil)
		return f.readPeerSnapshot(callCtx, status.Peer)
	}
	return true
}

// readPeerSnapshot replaces the rows of the copy by those of a peer and reports
// whether this succeeded.
func (f *Follower) readPeerSnapshot(ctx context.Context, peer Source) bool {
	set, err := peer.Read(ctx, f.Table)
	if err != nil {
		f.Events.Warning("cannot read a snapshot from a peer", err)
		return false
	}
	if set.Version < f.Copy.Version() {
		f.Events.Warning("peer's snapshot is older than the copy", nil)
		return false
	}
	f.reportChanges(f.Copy.replaceAll(set), set.Version)
	return true
}

// reportChanges reports rows that were applied to the copy and announces them.
func (f *Follower) reportChanges(rows []Row, version int64) {
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
	// reply, even after the store has recovered. Therefore there are no long
	// polls while calls fail. A router that is not selected to read the store
	// does not wait for changes either.
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
		return nil // older than an earlier reply
	}
	f.storeVersion = set.Version
	if len(set.Rows) > 0 {
		f.Copy.apply(set.Rows)
		f.reportChanges(set.Rows, set.Version)
		sleep(ctx, batchDelay)
	}
	return nil
}

// readSnapshot replaces the rows of the copy by a snapshot from the store,
// unless the snapshot is older than the copy.
func (f *Follower) readSnapshot(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, f.Config.Timeout)
	defer cancel()
	set, err := f.Store.Read(callCtx, f.Table)
	if err != nil {
		return err
	}
	if set.Version < max(f.storeVersion, f.Copy.Version()) {
		f.Events.Warning("store snapshot is older than the copy, reading another one", fmt.Errorf("version %d before %d", set.Version, max(f.storeVersion, f.Copy.Version())))
		sleep(ctx, snapshotRetryWait)
		return nil
	}
	f.Copy.recordContact(time.Now())
	f.storeVersion, f.synced = set.Version, true
	f.Events.Changed(f.Copy.replaceAll(set), set.Version)
	f.Peers.AnnounceChange()
	return nil
}

// reportSourcesLost calls SourcesLost once for each loss of the sources.
func (f *Follower) reportSourcesLost(err error) {
	if !f.sourcesLost {
		f.sourcesLost = true
		f.Events.SourcesLost(err)
	}
}

// reportSourcesRecovered calls SourcesRecovered if SourcesLost was called before.
func (f *Follower) reportSourcesRecovered() {
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
