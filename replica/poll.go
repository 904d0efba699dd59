package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// overtakenAfter is how long another router may have had a newer position before a long
// poll counts as lost if that position has changed rows. A slow store takes 240 ms to
// reply.
const overtakenAfter = 500 * time.Millisecond

// errOvertaken is the error of a long poll that the store did not reply to although other
// routers have read changed rows from it. A call that reaches the store while it is
// unresponsive never gets a reply.
var errOvertaken = errors.New("replica: other routers have read changes that the store did not send to this router; calling the store again")

// pollWait returns the wait of the next long poll, at most the given one. After a change
// the polls of all routers begin together; if they were lost together, none of them could
// tell the others of the next change. So the first poll is short and the second one of
// random length, by which they spread.
func (f *Follower) pollWait(longest time.Duration) time.Duration {
	if longest == 0 {
		return 0
	}
	f.pollsAlike++
	switch f.pollsAlike {
	case 1:
		return longest/8 + rand.N(longest/2-longest/8+1)
	case 2:
		return longest/2 + rand.N(longest-longest/2+1)
	}
	return longest
}

// pollStore calls the store for changes. While the call waits, changes that other routers
// have read are read from them.
func (f *Follower) pollStore(ctx context.Context, wait time.Duration) (RowSet, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+f.Config.Timeout)
	defer cancel()
	if wait == 0 {
		return f.Store.Changes(callCtx, f.Table, f.storePosition, 0)
	}
	type reply struct {
		set RowSet
		err error
	}
	replies := make(chan reply, 1)
	go func() {
		set, err := f.Store.Changes(callCtx, f.Table, f.storePosition, wait)
		replies <- reply{set, err}
	}()
	var behindSince time.Time // zero while no router has a newer position
	for {
		changed := f.Peers.StatusChanged()
		timer := time.NewTimer(statusRecheckInterval)
		select {
		case r := <-replies:
			timer.Stop()
			return r.set, r.err
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		f.endHolds()
		f.reportChanges(f.join(ctx), f.Copy.Position().Version)
		status := f.Peers.TableStatus(f.Table)
		switch {
		case !f.Copy.Position().Before(status.Position):
			behindSince = time.Time{}
		case behindSince.IsZero():
			behindSince = time.Now()
		case time.Since(behindSince) >= overtakenAfter && f.readsChangedRows(callCtx, status):
			cancel()
			<-replies
			return RowSet{}, errOvertaken
		}
	}
}

// readsChangedRows reads the changes from a peer and reports whether there were any. A
// position without changed rows is one of a router that has read a snapshot.
func (f *Follower) readsChangedRows(ctx context.Context, status TableStatus) bool {
	before := f.Copy.Digest()
	return f.readPeer(ctx, status) && f.Copy.Digest() != before
}
