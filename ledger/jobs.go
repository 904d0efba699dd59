package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// job writes the final state of a claim to its row.
type job struct {
	claim   Claim
	rec     record
	object  []byte // stored before the row; nil if there is none or it is stored
	version int64  // version of the row that is replaced; 0 if absent or not known
	abandon bool   // the job is counted in Ledger.abandoned
}

type jobState int

const (
	jobDone       jobState = iota
	jobSuperseded          // the row belongs to another attempt
	jobRetryNow            // the row has a newer version of the same claim
	jobRetryLater          // the platform did not apply the write
)

// stateAfter returns the job's state after the result of its write.
func (j *job) stateAfter(res writeResult) jobState {
	switch res.kind {
	case writeApplied:
		return jobDone
	case writeFailed:
		return jobRetryLater
	}
	if res.row.Version == 0 { // a sweep deleted the row
		j.version = 0
		return jobRetryNow
	}
	rec, err := decode(res.row.Value)
	switch {
	case err != nil || rec.Attempt != j.claim.Attempt:
		return jobSuperseded
	case rec.State == rowClaimed:
		j.version = res.row.Version
		return jobRetryNow
	case rec.State == j.rec.State:
		return jobDone // an earlier write took effect
	}
	return jobSuperseded
}

// runJob runs a job to its end. If ctx ends first, the job continues in the
// background.
func (l *Ledger) runJob(ctx context.Context, j *job) error {
	wait := minRetryDelay
	for {
		state, err := l.tryJob(ctx, j)
		switch state {
		case jobDone:
			return nil
		case jobSuperseded:
			return &SupersededError{Attempt: j.claim.Attempt}
		case jobRetryNow:
			continue
		}
		if ctx.Err() != nil || !l.pause(ctx, &wait) {
			if !l.background(j) {
				err = errors.Join(errClosed, err)
			}
			return &PendingError{Err: err}
		}
	}
}

func (l *Ledger) tryJob(ctx context.Context, j *job) (jobState, error) {
	if err := l.storeObject(ctx, j); err != nil {
		return jobRetryLater, err
	}
	w := l.newWrite(j.claim, j.version, j.rec)
	if err := l.submit(ctx, w); err != nil {
		return jobRetryLater, err
	}
	res := <-w.done
	return j.stateAfter(res), res.err
}

// storeObject stores the job's object. Objects are named by the digest of their
// content, so storing one again is harmless.
func (l *Ledger) storeObject(ctx context.Context, j *job) error {
	if j.object == nil {
		return nil
	}
	sum := sha256.Sum256(j.object)
	if err := l.objects.Put(ctx, hex.EncodeToString(sum[:]), j.object); err != nil {
		return err
	}
	j.object = nil
	return nil
}

// background queues a job for the background goroutine, which runs while there
// are jobs. It reports false if the ledger has stopped.
func (l *Ledger) background(j *job) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.jobsRunning && !l.spawnLocked(l.runJobs) {
		return false
	}
	l.jobsRunning = true
	l.jobs = append(l.jobs, j)
	return true
}

// runJobs runs all jobs together, with backoff, until none is left or the
// ledger is closed.
func (l *Ledger) runJobs() {
	wait := minRetryDelay
	for {
		jobs, ok := l.takeJobs()
		if !ok {
			return
		}
		remaining := l.tryJobs(jobs)
		l.mu.Lock()
		l.jobs = append(remaining, l.jobs...)
		l.mu.Unlock()
		if len(remaining) == 0 {
			wait = minRetryDelay
			continue
		}
		if !l.pause(l.ctx, &wait) {
			return
		}
	}
}

func (l *Ledger) takeJobs() ([]*job, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	jobs := l.jobs
	l.jobs = nil
	l.jobsRunning = len(jobs) > 0
	return jobs, l.jobsRunning
}

// tryJobs writes the rows of all jobs with as few commits as possible and
// returns the jobs that are not done.
func (l *Ledger) tryJobs(jobs []*job) (remaining []*job) {
	for len(jobs) > 0 {
		var ready []*job
		for _, j := range jobs {
			if l.storeObject(l.ctx, j) != nil {
				remaining = append(remaining, j)
				continue
			}
			ready = append(ready, j)
		}
		writes := make([]*write, len(ready))
		for i, j := range ready {
			writes[i] = l.newWrite(j.claim, j.version, j.rec)
		}
		l.commitAll(writes)
		jobs = nil
		for i, j := range ready {
			switch j.stateAfter(<-writes[i].done) {
			case jobRetryLater:
				remaining = append(remaining, j)
			case jobRetryNow:
				jobs = append(jobs, j)
			default:
				l.finishJob(j)
			}
		}
	}
	return remaining
}

func (l *Ledger) finishJob(j *job) {
	if !j.abandon {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abandoned--
}
