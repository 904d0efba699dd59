// Package boundedlog writes log lines, at most a limited number of each kind per
// second, and says how many it left out.
package boundedlog

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// Logger writes a limited number of lines of each kind per second. The kinds must
// come from a fixed set. It is safe for concurrent use.
type Logger struct {
	log *log.Logger

	mu            sync.Mutex // lock level 90, see internal/core/lockorder.go
	maxLines      int
	currentSecond int64
	written       map[string]int
	suppressed    map[string]int // lines suppressed since the last report, by kind
}

// New returns a logger of at most maxLines lines of one kind per second.
func New(l *log.Logger, maxLines int) *Logger {
	return &Logger{log: l, maxLines: maxLines, written: map[string]int{}, suppressed: map[string]int{}}
}

// SetMaxLines sets the maximum number of lines of one kind per second.
func (l *Logger) SetMaxLines(maxLines int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxLines = maxLines
}

// Log writes a line unless too many of its kind were written in this second. The
// first call in a new second also reports the lines suppressed before.
func (l *Logger) Log(level log.Level, kind, message string, fields ...any) {
	ok, suppressed := l.allow(kind, time.Now().Unix())
	for kind, n := range suppressed {
		l.log.Warn("lines left out", "kind", kind, "lines", n)
	}
	if ok {
		l.log.Log(level, message, fields...)
	}
}

// allow reports whether a line may be written in a second. On the first line of a
// new second it also returns how many lines of each kind were suppressed since the
// last such report, nil for none.
func (l *Logger) allow(kind string, second int64) (ok bool, suppressed map[string]int) {
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
