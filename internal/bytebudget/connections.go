package bytebudget

import "time"

// TryAddConnection counts n bytes of a connection, or of a head on it. It returns false if
// connections have their share, or if the budget is short and no body yields.
func (b *Budget) TryAddConnection(n int64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(b.connections+n) > connectionShare*float64(b.limit) {
		return false
	}
	// Bytes that were counted for other connections before bodies had yielded are short too.
	short := b.used + n - b.limit
	if short > 0 && !b.yield(nil, short, b.largestReader(), now) && !b.yieldResponse(nil, short, now) {
		return false
	}
	b.connections += n
	b.used += n
	b.trimFree(0)
	return true
}

// ReleaseConnection gives bytes back that TryAddConnection has counted.
func (b *Budget) ReleaseConnection(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connections -= n
	b.used -= n
	b.signal()
}
