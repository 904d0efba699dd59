package core

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/fx"
)

// backgroundWorkerCount is the maximum number of jobs that run concurrently.
const backgroundWorkerCount = 16

// BackgroundPool runs periodic and one-off background jobs on a fixed number of
// goroutines.
type BackgroundPool struct {
	jobs   chan func(context.Context)
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewBackgroundPool returns a pool that runs between the start and the stop of
// lc. The pool stops after the components that depend on it.
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
	for range backgroundWorkerCount {
		b.wg.Add(1)
		go b.runJobs()
	}
}

func (b *BackgroundPool) stop() {
	b.cancel()
	b.wg.Wait()
}

func (b *BackgroundPool) runJobs() {
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

// Submit queues a job. It returns false if the queue is full. A job must return
// when its context ends, which happens when the router stops.
func (b *BackgroundPool) Submit(job func(context.Context)) bool {
	select {
	case b.jobs <- job:
		return true
	default:
		return false
	}
}

// Every runs a job periodically until the router stops. Each interval is
// randomized by up to jitter, a fraction of period from 0 to 1, in both
// directions. A run is skipped if the previous one has not ended or the queue is
// full.
func (b *BackgroundPool) Every(period time.Duration, jitter float64, job func(context.Context)) {
	b.wg.Add(1)
	go func() {
		defer b.wg.Done()
		idle := make(chan struct{}, 1) // holds a token while no run is queued or running
		idle <- struct{}{}
		for {
			wait := time.Duration(float64(period) * (1 + jitter*(2*rand.Float64()-1)))
			select {
			case <-b.ctx.Done():
				return
			case <-time.After(wait):
			}
			select {
			case <-idle:
				if !b.Submit(func(ctx context.Context) { job(ctx); idle <- struct{}{} }) {
					idle <- struct{}{}
				}
			default:
			}
		}
	}()
}
