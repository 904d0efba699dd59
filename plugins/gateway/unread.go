package gateway

import (
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/internal/bytebudget"
	"github.com/auburnlead/auburnlead/routing"
)

// unreadResponses tracks responses that hold a connection to their worker while a part of
// them is being written to the caller. Load pattern: callers that read nothing of long
// responses, until a worker accepts no more connections.
//
// Contract: once a worker fails to answer an attempt, the responses that it cannot finish
// because their callers read nothing are broken off, so that later attempts find room.
type unreadResponses struct {
	mu       sync.Mutex // lock level 90
	byWorker map[string]map[*exchange]time.Time
}

func newUnreadResponses() *unreadResponses {
	return &unreadResponses{byWorker: map[string]map[*exchange]time.Time{}}
}

// startWrite records that a write to the caller of a worker's response begins.
func (u *unreadResponses) startWrite(w *routing.Worker, x *exchange, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	writes := u.byWorker[w.ID]
	if writes == nil {
		writes = map[*exchange]time.Time{}
		u.byWorker[w.ID] = writes
	}
	writes[x] = now
}

// endWrite records that the caller has read that part, or that the response has ended.
func (u *unreadResponses) endWrite(w *routing.Worker, x *exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.byWorker[w.ID], x)
	if len(u.byWorker[w.ID]) == 0 {
		delete(u.byWorker, w.ID)
	}
}

// breakOff ends the responses of a worker of which nothing was read for StallTime, and
// returns their number.
func (u *unreadResponses) breakOff(w *routing.Worker, now time.Time) (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for x, since := range u.byWorker[w.ID] {
		if now.Sub(since) >= bytebudget.StallTime {
			x.interruptWrite()
			n++
		}
	}
	return n
}

// makeRoomAt breaks off unread responses of a worker that did not answer an attempt: they
// may hold all connections that it accepts.
func (g *Gateway) makeRoomAt(w *routing.Worker, f *failure) {
	if f.reason != failConnect && f.reason != failNoResponse {
		return
	}
	if n := g.unread.breakOff(w, time.Now()); n > 0 {
		g.decisions.logChange("unread responses broken off", "worker", w.ID, "upstream", w.Upstream, "responses", n)
	}
}
