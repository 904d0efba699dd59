package gateway

import (
	"sync"
	"time"
)

// sharePace decides which rounds of gossip carry the messages of a component: each
// round for a time after a change, and one per sharePeriod otherwise, since messages may be
// lost.
type sharePace struct {
	mu     sync.Mutex // lock level 90, see internal/core/lockorder.go
	sentAt time.Time
}

const (
	newsTime    = 3 * time.Second
	sharePeriod = time.Second
)

// isDue reports whether a message is due, and if so counts it as sent. A router that
// has just started always gets one.
func (p *sharePace) isDue(now, changedAt time.Time, starting bool) bool {
	if starting {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(changedAt) > newsTime && now.Sub(p.sentAt) < sharePeriod {
		return false
	}
	p.sentAt = now
	return true
}
