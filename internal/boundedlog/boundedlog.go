// Package linelimit bounds the number of log lines of each kind per second and
// counts the lines that are suppressed.
package linelimit

import "sync"

// Limiter allows a limited number of lines of each kind per second. The kinds
// must come from a fixed set. It is safe for concurrent use.
type Limiter struct {
	mu            sync.Mutex // lock level 90, see internal/core/lockorder.go
	maxLines      int
	currentSecond int64
	written       map[string]int
	suppressed    map[string]int // lines suppressed since the last report, by kind
}

// New returns a limiter of maxLines lines of one kind per second.
func New(maxLines int) *Limiter {
	return &Limiter{maxLines: maxLines, written: map[string]int{}, suppressed: map[string]int{}}
}

// SetMaxLines sets the maximum number of lines of one kind per second.
func (l *Limiter) SetMaxLines(maxLines int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxLines = maxLines
}

// Allow reports whether a line may be written in a second, in seconds since the
// epoch. On the first line of a new second it also returns how many lines of each
// kind were suppressed since the last such report, nil for none.
func (l *Limiter) Allow(kind string, second int64) (ok bool, suppressed map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.currentSecond {
		if len(l.suppressed) > 0 {
			suppressed, l.suppressed = l.suppressed, map[string]int{}
		}
		clear(l.written)
		l.currentSecond = second
	}
	if l.written[kind] >= l.maxLines {
		l.suppressed[kind]++
		return false, suppressed
	}
	l.written[kind]++
	return true, suppressed
}
