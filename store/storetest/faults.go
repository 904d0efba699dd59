package storetest

import (
	"context"
	"time"

	"github.com/auburnlead/auburnlead/store"
)

// fate is what the faults do to one operation.
type fate struct {
	refused   error
	dropped   bool
	lost      bool
	late      time.Duration // above 0: takes effect so long after the reply was given up
	duplicate time.Duration // above 0: arrives again so long after it took effect
}

// bucket is a token bucket with a burst of one second.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) take(now time.Time, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	burst := max(perSecond, 1)
	if b.at.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+now.Sub(b.at).Seconds()*perSecond)
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// read carries out an operation without effect.
func (p *Platform) read(ctx context.Context, op string, effect func()) error {
	p.delay(ctx, Call{op, BeforeEffect})
	f := p.drawRead()
	switch {
	case f.refused != nil:
		return &store.UnavailableError{Op: op, Err: f.refused}
	case f.dropped:
		return &store.UnavailableError{Op: op, Err: ErrLost}
	case ctx.Err() != nil:
		return &store.UnavailableError{Op: op, Err: ctx.Err()}
	}
	p.locked(effect)
	p.delay(ctx, Call{op, BeforeReply})
	if err := ctx.Err(); err != nil {
		return &store.UnavailableError{Op: op, Err: err}
	}
	return nil
}

// write carries out an operation whose effect can come after the reply was
// given up, or twice; later is the effect without a reply.
func (p *Platform) write(ctx context.Context, op string, effect, later func()) error {
	if err := ctx.Err(); err != nil {
		return &store.UnavailableError{Op: op, Err: err}
	}
	p.delay(ctx, Call{op, BeforeEffect})
	f := p.drawWrite()
	uncertain := &store.UncertainError{Op: op, Err: ErrLost}
	switch {
	case f.refused != nil:
		return &store.UnavailableError{Op: op, Err: f.refused}
	case f.dropped:
		return uncertain
	case f.late > 0:
		p.later(f.late, later)
		return uncertain
	}
	if f.duplicate > 0 {
		p.later(f.duplicate, later)
	}
	p.locked(effect)
	p.delay(ctx, Call{op, BeforeReply})
	if f.lost || ctx.Err() != nil {
		return uncertain
	}
	return nil
}

func (p *Platform) delay(ctx context.Context, c Call) {
	if hook := p.Faults().Delay; hook != nil {
		hook(ctx, c)
	}
}

func (p *Platform) locked(effect func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	effect()
}

// later schedules the effect of a write.
func (p *Platform) later(d time.Duration, effect func()) {
	p.o.After(d, func() { p.locked(effect) })
}

func (p *Platform) drawRead() fate {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	return p.draw(&p.reads, p.faults.ReadsPerSecond)
}

func (p *Platform) drawWrite() fate {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Writes++
	f := p.draw(&p.writes, p.faults.WritesPerSecond)
	if f.refused != nil || f.dropped {
		return f
	}
	if p.o.After != nil {
		f.late = p.lateness(p.faults.LateWrites)
		f.duplicate = p.lateness(p.faults.DuplicateWrites)
	}
	f.lost = p.chance(p.faults.LostReplies)
	if f.lost {
		p.stats.Lost++
	}
	return f
}

// draw decides what reads and writes have in common.
func (p *Platform) draw(b *bucket, perSecond float64) fate {
	var f fate
	switch {
	case p.faults.Outage:
		f.refused = ErrOutage
	case !b.take(p.o.Now(), perSecond):
		f.refused = ErrRateLimited
	case p.chance(p.faults.DroppedRequests):
		f.dropped = true
		p.stats.Lost++
	}
	if f.refused != nil {
		p.stats.Refused++
	}
	return f
}

func (p *Platform) lateness(share float64) time.Duration {
	if !p.chance(share) {
		return 0
	}
	p.stats.Late++
	return time.Duration(1 + p.rand.Int64N(int64(p.faults.LateBy)))
}

func (p *Platform) chance(share float64) bool { return share > 0 && p.rand.Float64() < share }
