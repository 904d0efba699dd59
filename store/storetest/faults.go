package storetest

import (
	"context"
	"time"

	"github.com/auburnlead/auburnlead/store"
)

// opFaults holds the faults that apply to one operation.
type opFaults struct {
	rejectErr      error
	dropped        bool
	replyLost      bool
	lateBy         time.Duration // if above 0, the write takes effect this long after its reply was lost
	duplicateAfter time.Duration // if above 0, the write arrives again this long after it took effect
}

// tokenBucket is a token bucket with a burst of one second.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Time
}

func (b *tokenBucket) take(now time.Time, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	burst := max(perSecond, 1)
	if b.updatedAt.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+now.Sub(b.updatedAt).Seconds()*perSecond)
	}
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// runRead runs an operation that does not change the platform, with the injected
// faults.
func (p *Platform) runRead(ctx context.Context, op string, apply func()) error {
	p.delay(ctx, Call{op, BeforeEffect})
	f := p.drawReadFaults()
	switch {
	case f.rejectErr != nil:
		return &store.UnavailableError{Op: op, Err: f.rejectErr}
	case f.dropped:
		return &store.UnavailableError{Op: op, Err: ErrLost}
	case ctx.Err() != nil:
		return &store.UnavailableError{Op: op, Err: ctx.Err()}
	}
	p.withLock(apply)
	p.delay(ctx, Call{op, BeforeReply})
	if err := ctx.Err(); err != nil {
		return &store.UnavailableError{Op: op, Err: err}
	}
	return nil
}

// runWrite runs an operation that changes the platform, with the injected
// faults. apply is its effect; applyLate is its effect if it arrives late or a
// second time, when nobody receives the result.
func (p *Platform) runWrite(ctx context.Context, op string, apply, applyLate func()) error {
	if err := ctx.Err(); err != nil {
		return &store.UnavailableError{Op: op, Err: err}
	}
	p.delay(ctx, Call{op, BeforeEffect})
	f := p.drawWriteFaults()
	uncertain := &store.UncertainError{Op: op, Err: ErrLost}
	switch {
	case f.rejectErr != nil:
		return &store.UnavailableError{Op: op, Err: f.rejectErr}
	case f.dropped:
		return uncertain
	case f.lateBy > 0:
		p.schedule(f.lateBy, applyLate)
		return uncertain
	}
	if f.duplicateAfter > 0 {
		p.schedule(f.duplicateAfter, applyLate)
	}
	p.withLock(apply)
	p.delay(ctx, Call{op, BeforeReply})
	if f.replyLost || ctx.Err() != nil {
		return uncertain
	}
	return nil
}

func (p *Platform) delay(ctx context.Context, c Call) {
	if hook := p.Faults().Delay; hook != nil {
		hook(ctx, c)
	}
}

func (p *Platform) withLock(fn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fn()
}

// schedule applies the effect of a write after d.
func (p *Platform) schedule(d time.Duration, apply func()) {
	p.opts.After(d, func() { p.withLock(apply) })
}

func (p *Platform) drawReadFaults() opFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	return p.drawFaults(&p.readLimit, p.faults.ReadsPerSecond)
}

func (p *Platform) drawWriteFaults() opFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Writes++
	f := p.drawFaults(&p.writeLimit, p.faults.WritesPerSecond)
	if f.rejectErr != nil || f.dropped {
		return f
	}
	if p.opts.After != nil {
		f.lateBy = p.randomDelay(p.faults.LateWrites)
		f.duplicateAfter = p.randomDelay(p.faults.DuplicateWrites)
	}
	f.replyLost = p.chance(p.faults.LostReplies)
	if f.replyLost {
		p.stats.Lost++
	}
	return f
}

// drawFaults draws those faults of an operation that reads and writes have in
// common.
func (p *Platform) drawFaults(b *tokenBucket, perSecond float64) opFaults {
	var f opFaults
	switch {
	case p.faults.Outage:
		f.rejectErr = ErrOutage
	case !b.take(p.opts.Now(), perSecond):
		f.rejectErr = ErrRateLimited
	case p.chance(p.faults.DroppedRequests):
		f.dropped = true
		p.stats.Lost++
	}
	if f.rejectErr != nil {
		p.stats.Refused++
	}
	return f
}

func (p *Platform) randomDelay(probability float64) time.Duration {
	if !p.chance(probability) {
		return 0
	}
	p.stats.Late++
	return time.Duration(1 + p.rand.Int64N(int64(p.faults.LateBy)))
}

func (p *Platform) chance(probability float64) bool {
	return probability > 0 && p.rand.Float64() < probability
}
