package storetest

import (
	"context"
	"time"

	"github.com/auburnlead/auburnlead/store"
)

// outcome holds the faults that apply to one operation.
type outcome struct {
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
	o := p.nextReadOutcome()
	switch {
	case o.rejectErr != nil:
		return &store.UnavailableError{Op: op, Err: o.rejectErr}
	case o.dropped:
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
	o := p.nextWriteOutcome()
	uncertain := &store.UncertainError{Op: op, Err: ErrLost}
	switch {
	case o.rejectErr != nil:
		return &store.UnavailableError{Op: op, Err: o.rejectErr}
	case o.dropped:
		return uncertain
	case o.lateBy > 0:
		p.schedule(o.lateBy, applyLate)
		return uncertain
	}
	if o.duplicateAfter > 0 {
		p.schedule(o.duplicateAfter, applyLate)
	}
	p.withLock(apply)
	p.delay(ctx, Call{op, BeforeReply})
	if o.replyLost || ctx.Err() != nil {
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

func (p *Platform) nextReadOutcome() outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	return p.nextOutcome(&p.readLimit, p.faults.ReadsPerSecond)
}

func (p *Platform) nextWriteOutcome() outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Writes++
	o := p.nextOutcome(&p.writeLimit, p.faults.WritesPerSecond)
	if o.rejectErr != nil || o.dropped {
		return o
	}
	if p.opts.After != nil {
		o.lateBy = p.randomDelay(p.faults.LateWrites)
		o.duplicateAfter = p.randomDelay(p.faults.DuplicateWrites)
	}
	o.replyLost = p.chance(p.faults.LostReplies)
	if o.replyLost {
		p.stats.Lost++
	}
	return o
}

// nextOutcome draws the faults that apply to both reads and writes.
func (p *Platform) nextOutcome(b *tokenBucket, perSecond float64) outcome {
	var o outcome
	switch {
	case p.faults.Outage:
		o.rejectErr = ErrOutage
	case !b.take(p.opts.Now(), perSecond):
		o.rejectErr = ErrRateLimited
	case p.chance(p.faults.DroppedRequests):
		o.dropped = true
		p.stats.Lost++
	}
	if o.rejectErr != nil {
		p.stats.Refused++
	}
	return o
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
