package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
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
	// Restored is called before Changed when the store has come back from an older copy.
	Restored func(Restoration)
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

	storePosition Position  // changes after this position are still to be read from the store
	synced        bool      // storePosition is valid: a snapshot was read, and the history since is available
	storeFailed   bool      // the last call to the store failed
	sourcesLost   bool      // SourcesLost was called, and SourcesRecovered not since
	joinUntil     time.Time // until then a peer is asked for the rows that it holds
	pollsAlike    int       // long polls since the last change, see pollWait
	joined        bool      // an informed peer has replied, or none did in time
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
	// joinWindow is the time after the first snapshot in which peers are asked for the rows
	// that they hold, and joinTimeout limits each of these calls.
	joinWindow  = 2 * time.Second
	joinTimeout = 100 * time.Millisecond
	// firstJoinWait, firstJoinTries and firstJoinTimeout limit what a router that starts
	// waits for before it uses its first snapshot: for a peer to become known, for the
	// replies of peers, and in all. joinRetryWait is the wait between two checks.
	firstJoinWait    = 25 * time.Millisecond
	firstJoinTries   = 3
	firstJoinTimeout = 100 * time.Millisecond
	joinRetryWait    = 5 * time.Millisecond
)

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait := minRetryWait
	for ctx.Err() == nil {
		f.endHolds()
		f.reportChanges(f.join(ctx), f.Copy.Position().Version)
		if !f.Peers.ReadsStore() {
			// A copy that has no version yet cannot wait, and a fresh status whose
			// peer cannot be read is no reason to wait.
			waitsForTurn := f.Copy.Position().Version > 0 && f.isStale(f.Peers.TableStatus(f.Table))
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
		if errors.Is(err, errOvertaken) {
			f.Events.Warning("long poll lost", err)
		}
		f.storeFailed = true
		if !f.catchUpFromPeers(ctx) {
			f.reportSourcesLost(err)
		}
		sleep(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, maxRetryWait)
		f.catchUpFromPeers(ctx) // the next call may wait until its timeout too
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
	if position := f.Copy.Position(); position.Before(status.Position) {
		if !f.readPeer(ctx, status) {
			return false
		}
		if position.Before(f.Copy.Position()) {
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
	if f.Copy.Position().Before(status.Position) {
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
	set, err := status.Peer.Changes(callCtx, f.Table, f.Copy.Position(), 0)
	var gone *HistoryGoneError
	switch {
	case errors.As(err, &gone):
		return f.readPeerSnapshot(callCtx, status.Peer)
	case err != nil:
		f.Events.Warning("cannot read changes from a peer", err)
		return false
	}
	rows, complete := f.Copy.applyChanges(set)
	f.reportChanges(rows, set.Version)
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
	if f.Copy.isBehind(set) {
		f.Events.Warning("peer's snapshot is older than the copy", nil)
		return false
	}
	f.reportChanges(f.replaceAll(ctx, set), set.Version)
	return true
}

// replaceAll replaces the rows of the copy by a snapshot and returns what changed.
func (f *Follower) replaceAll(ctx context.Context, set RowSet) []Row {
	first := f.Copy.Position() == Position{}
	rows, restored := f.Copy.replaceAll(set)
	if first || restored != nil {
		held, informed := f.Copy.learn(set)
		rows, f.joined = override(rows, held), f.joined || informed
	}
	if first && !f.joined {
		rows = override(rows, f.joinFirst(ctx))
	}
	if restored != nil {
		f.Events.Restored(*restored)
	}
	return rows
}

// override returns rows with those of held in place of the ones with the same keys.
func override(rows, held []Row) []Row {
	keys := map[string]bool{}
	for _, r := range held {
		keys[r.Key] = true
	}
	rows = slices.DeleteFunc(rows, func(r Row) bool { return keys[r.Key] })
	return append(rows, held...)
}

// endHolds reports the rows of the store that replace held ones whose time was over when
// this router last had contact with the store, or another one that knows no later change.
func (f *Follower) endHolds() {
	if f.Copy.untilExpiry(time.Now()) > 0 {
		return
	}
	position, contact := f.Copy.Position(), f.Copy.LastContact()
	if status := f.Peers.TableStatus(f.Table); !position.Before(status.Position) {
		if shared := time.Now().Add(-status.Age); shared.After(contact) {
			contact = shared
		}
	}
	f.reportChanges(f.Copy.dropExpired(contact), position.Version)
}

// joinFirst asks peers which rows hold although the store has lost them, before the first
// snapshot is used. The store may have come back from an older copy shortly before.
func (f *Follower) joinFirst(ctx context.Context) []Row {
	ctx, cancel := context.WithTimeout(ctx, firstJoinTimeout)
	defer cancel()
	f.joinUntil = time.Now().Add(joinWindow)
	for known := time.Now().Add(firstJoinWait); ctx.Err() == nil && f.Peers.AnyPeer() == nil && time.Now().Before(known); {
		sleep(ctx, joinRetryWait)
	}
	var rows []Row
	for range firstJoinTries {
		if !f.joined {
			rows = override(rows, f.join(ctx))
		}
	}
	return rows
}

// join asks a peer for the rows that it holds and returns those that hold here now. It
// does nothing once an informed peer has replied.
func (f *Follower) join(ctx context.Context) []Row {
	if f.joined || f.Copy.Position().Version == 0 {
		return nil
	}
	f.joined = !time.Now().Before(f.joinUntil)
	peer := f.Peers.AnyPeer()
	if peer == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	set, err := peer.Changes(ctx, f.Table, f.Copy.Position(), 0)
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		// A snapshot lacks the rows that were removed.
		set, err = peer.Changes(ctx, f.Table, Position{}, 0)
	}
	if errors.As(err, &gone) {
		set, err = peer.Read(ctx, f.Table)
	}
	if err != nil {
		f.Events.Warning("cannot read the held rows of a peer", err)
		return nil
	}
	rows, informed := f.Copy.learn(set)
	f.joined = f.joined || informed
	return rows
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
	if !f.synced || f.storePosition.Era < f.Copy.Position().Era {
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
	wait = min(f.pollWait(wait), f.Copy.untilExpiry(time.Now()))
	set, err := f.pollStore(ctx, wait)
	if err != nil {
		return err
	}
	if set.Era > f.storePosition.Era || set.Era < f.Copy.Position().Era {
		f.synced = false // the changes since a position of another era mean nothing
		return nil
	}
	f.Copy.recordContact(time.Now())
	if set.Position().Before(f.storePosition) {
		return nil // older than an earlier reply
	}
	f.storePosition = set.Position()
	if len(set.Rows) > 0 {
		f.pollsAlike = 0
		f.reportChanges(f.Copy.apply(set.Rows), set.Version)
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
	if set.Position().Before(f.storePosition) || set.Position().Before(f.Copy.Position()) {
		f.Events.Warning("store snapshot is older than the copy, reading another one", fmt.Errorf("%v before %v", set.Position(), f.Copy.Position()))
		sleep(ctx, snapshotRetryWait)
		return nil
	}
	f.Copy.recordContact(time.Now())
	f.storePosition, f.synced, f.pollsAlike = set.Position(), true, 1
	f.Events.Changed(f.replaceAll(ctx, set), set.Version)
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
