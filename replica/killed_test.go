package replica

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// lateStore replies to long polls when the test says so.
type lateStore struct {
	snapshot, late RowSet
	replies        chan struct{}
	reads          atomic.Int64
}

func (s *lateStore) Read(context.Context, string) (RowSet, error) {
	s.reads.Add(1)
	return s.snapshot, nil
}

func (s *lateStore) Changes(ctx context.Context, _ string, _ Position, _ time.Duration) (RowSet, error) {
	select {
	case <-s.replies:
		return s.late, nil
	case <-ctx.Done():
		return RowSet{}, ctx.Err()
	}
}

// Guards against rows of an earlier era in a copy of a later one, and against calls
// without a pause to a store that names an earlier era than its routers know.
func TestReplyOfEarlierEra(t *testing.T) {
	inBubble(t, "A reply of an earlier era than the copy's is not used", func(ctx context.Context) {
		w := Row{Key: "w", Value: []byte("ready"), Version: 10}
		s := &lateStore{snapshot: RowSet{Era: 1, Version: 10, Rows: []Row{w}}, replies: make(chan struct{})}
		s.late = RowSet{Era: 1, Version: 11, Rows: []Row{{Key: "lost", Value: []byte("ready"), Version: 11}}}
		peers, restored := newFakePeers(), NewCopy()
		peers.readsStore = true
		f := startFollower(ctx, s, peers)
		advanceTime(1300 * time.Millisecond)
		restored.replaceAll(RowSet{Era: 2, Version: 10, Rows: []Row{w}})
		peers.setStatus(TableStatus{Position: Position{2, 10}, Peer: peerCopy{restored}})
		advanceTime(800 * time.Millisecond)
		So(f.Copy.Position(), ShouldResemble, Position{2, 10})
		close(s.replies)
		before := s.reads.Load()
		advanceTime(time.Second)
		synctest.Wait()
		So(f.Copy.Position(), ShouldResemble, Position{2, 10})
		So(f.values, ShouldResemble, map[string]string{"w": "ready"})
		So(s.reads.Load()-before, ShouldBeBetweenOrEqual, int64(1), int64(6))
	})
}

// Guards against long polls of all routers that begin together after a change and are lost
// together, so that none of them knows of the next change to tell it to the others.
func TestAllPollsAreLost(t *testing.T) {
	for _, routers := range []int{4, 9, 15} {
		inSubtest(t, fmt.Sprintf("%d routers have a change in time whose polls were all lost", routers), func(ctx context.Context) {
			f := newEraFleet(ctx, routers)
			f.change()
			advanceTime(f.routers[0].Config.BatchDelay - 100*time.Millisecond)
			f.silence(true)
			advanceTime(200 * time.Millisecond) // long polls begin
			f.silence(false)
			advanceTime(contactTime - applyWithin)
			f.change()
			advanceTime(applyWithin)
			synctest.Wait()
			So(f.without(desiredKey, f.written[desiredKey]), ShouldEqual, 0)
		})
	}
}

// Guards against a change that routers have late although others know of it: their long
// polls were under way while the store was silent and never get a reply.
func TestChangeAfterReadersWereKilled(t *testing.T) {
	const silence = time.Second
	for _, routers := range []int{9, 86, 95, 400} {
		for _, test := range []struct {
			desc   string
			killed func(f *eraFleet) []*eraRouter
		}{
			{"two routers", func(f *eraFleet) []*eraRouter { return f.routers[1:3] }},
			{"one router", func(f *eraFleet) []*eraRouter { return f.routers[:1] }},
			{"a failure domain", func(f *eraFleet) []*eraRouter {
				var domain []*eraRouter
				for _, r := range f.routers {
					if r.id%f.domains == 0 {
						domain = append(domain, r)
					}
				}
				return domain
			}},
		} {
			inSubtest(t, fmt.Sprintf("%d routers have a change in time after %s were killed while the store was silent", routers, test.desc), func(ctx context.Context) {
				f := newEraFleet(ctx, routers)
				f.change()
				advanceTime(f.routers[0].Config.BatchDelay + 100*time.Millisecond) // long polls have just begun
				f.silence(true)
				advanceTime(silence / 2)
				killed := test.killed(f)
				for _, r := range killed {
					f.kill(r)
				}
				advanceTime(silence / 2)
				for range killed {
					f.start(ctx)
				}
				f.silence(false)
				f.change()
				advanceTime(applyWithin)
				synctest.Wait()
				So(f.without(desiredKey, f.written[desiredKey]), ShouldEqual, 0)
			})
		}
	}
}
