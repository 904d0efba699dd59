package bytebudget

import "time"

// YieldSlow lets one body yield whose connection others wait for: the request body with
// the lowest rate since it began, or the response whose caller has read nothing for
// longest, if it is at least minAge old. It returns false if there is none.
func (b *Budget) YieldSlow(minAge time.Duration, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var victim *Body
	lowest := 0.0
	for h := range b.reading {
		age := now.Sub(h.began)
		if h.yielded || age < minAge {
			continue
		}
		if rate := float64(h.received) / age.Seconds(); victim == nil || rate < lowest {
			victim, lowest = h, rate
		}
	}
	if victim == nil {
		victim = b.stalledResponse(func(*Body) bool { return true }, minAge, now)
	}
	if victim == nil {
		return false
	}
	victim.giveUp()
	return true
}

// YieldHolding lets all responses yield that hold something and of which nothing was read
// for StallTime. It returns their number.
func (b *Budget) YieldHolding(holds string, now time.Time) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for h := range b.writing {
		if h.holds == holds && !h.yielded && now.Sub(h.progress) >= StallTime {
			h.giveUp()
			n++
		}
	}
	return n
}

// largestReader returns the caller with the most bytes in bodies that are being read.
func (b *Budget) largestReader() string {
	sums := map[string]int64{}
	caller := ""
	for h := range b.reading {
		sums[h.caller] += h.counted
		if s := sums[h.caller]; s > sums[caller] || s == sums[caller] && h.caller < caller {
			caller = h.caller
		}
	}
	return caller
}

// yield lets bodies of a caller yield until n bytes will be released for h, which is nil
// for a connection. It returns false if none does.
func (b *Budget) yield(h *Body, n int64, caller string, now time.Time) bool {
	var victim *Body
	for o := range b.reading {
		switch {
		case o.yielded && o.caller == caller:
			if n -= o.counted; n <= 0 {
				return true // it has not released its bytes yet
			}
		case o == h || o.caller != caller || o.yielded:
		case h != nil && caller == h.caller && now.Sub(o.progress) < StallTime:
		case victim == nil || o.progress.Before(victim.progress):
			victim = o
		}
	}
	if victim == nil {
		return false
	}
	victim.giveUp()
	return true
}

// yieldResponse lets buffered responses yield that their callers do not read, until n bytes
// will be released for h, which is nil for a connection. A requester above its caller's
// share gains only from responses of that caller. Streams, which hold no more than their
// request, go on. It returns false if none yields.
func (b *Budget) yieldResponse(h *Body, n int64, now time.Time) bool {
	over := h != nil && b.isOverShare(h, n)
	helps := func(o *Body) bool { return o.admission == 0 && (!over || o.caller == h.caller) }
	for o := range b.writing {
		if o.yielded && helps(o) {
			if n -= o.counted; n <= 0 {
				return true // it has not released its bytes yet
			}
		}
	}
	victim := b.stalledResponse(helps, StallTime, now)
	if victim == nil {
		return false
	}
	victim.giveUp()
	return true
}

// stalledResponse returns the response whose caller has read nothing for longest, and at
// least for a time, of those that match.
func (b *Budget) stalledResponse(matches func(*Body) bool, least time.Duration, now time.Time) (stalled *Body) {
	for o := range b.writing {
		if o.yielded || !matches(o) || now.Sub(o.progress) < least {
			continue
		}
		if stalled == nil || o.progress.Before(stalled.progress) {
			stalled = o
		}
	}
	return stalled
}

func (h *Body) giveUp() {
	h.yielded = true
	h.interrupt()
	h.budget.wake(h)
}
