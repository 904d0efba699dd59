package core

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/fx"
)

// backgroundWorkers bounds the background jobs that run at one time.
const backgroundWorkers = 16

// BackgroundPool is the worker pool for periodic and one-off background jobs.
type BackgroundPool struct {
	jobs   chan func(context.Context)
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewBackgroundPool returns a pool that runs between the start and the stop of lc.
// The pool stops after the parts that depend on it.
func NewBackgroundPool(lc fx.Lifecycle) *BackgroundPool {
	b := &BackgroundPool{jobs: make(chan func(context.Context), 1024)}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { b.start(); return nil },
		OnStop:  func(context.Context) error { b.stop(); return nil },
	})
	return b
}

func (b *BackgroundPool) start() {
	for range backgroundWorkers {
		b.wg.Add(1)
		go b.work()
	}
}

func (b *BackgroundPool) stop() {
	b.cancel()
	b.wg.Wait()
}

func (b *BackgroundPool) work() {
	defer b.wg.Done()
	for {
		select {
		case <-b.ctx.Done():
			return
		case job := <-b.jobs:
			job(b.ctx)
		}
	}
}

// Submit queues a job and reports whether there was room. A job must respect
// its context, which ends when the router stops.
func (b *BackgroundPool) Submit(job func(context.Context)) bool {
	select {
	case b.jobs <- job:
		return true
	default:
		return false
	}
}

// Every runs a job each period, give or take jitter (a share of the period,
// 0 to 1), until the router stops. A run is left out while the previous one
// has not ended.
func (b *BackgroundPool) Every(period time.Duration, jitter float64, job func(context.Context)) {
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		done := make(chan struct{}, 1)
		done <- struct{}{}
		for {
			wait := time.Duration(float64(period) * (1 + jitter*(2*rand.Float64()-1)))
			select {
			case <-b.ctx.Done():
				return
			case <-time.After(wait):
			}
			select {
			case <-done:
				if !b.Submit(func(ctx context.Context) { job(ctx); done <- struct{}{} }) {
					done <- struct{}{}
				}
			default:
			}
		}
	}()
}
