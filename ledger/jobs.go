package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// job brings the row of a claim to its final state.
type job struct {
	claim   Claim
	rec     record
	object  []byte // to be stored before the row; nil when done
	version int64  // of the row that is replaced; 0 for absent or not known
	abandon bool   // counted in Ledger.abandoned
}

type jobState int

const (
	jobDone       jobState = iota
	jobSuperseded          // the row belongs to another attempt
	jobAgain               // the row has a newer version of the same claim
	jobLater               // the platform does not answer
)

// next tells from the result of the job's write how to go on.
func (j *job) next(res writeResult) jobState {
	switch res.kind {
	case writeApplied:
		return jobDone
	case writeFailed:
		return jobLater
	}
	if res.row.Version == 0 { // a sweep deleted the row
		j.version = 0
		return jobAgain
	}
	rec, err := decode(res.row.Value)
	switch {
	case err != nil || rec.Attempt != j.claim.Attempt:
		return jobSuperseded
	case rec.State == rowClaimed:
		j.version = res.row.Version
		return jobAgain
	case rec.State == j.rec.State:
		return jobDone // an earlier try took effect
	}
	return jobSuperseded
}

// settleNow carries out a job; when ctx ends first the job goes on in the
// background.
func (l *Ledger) settleNow(ctx context.Context, j *job) error {
	wait := firstRetry
	for {
		state, err := l.try(ctx, j)
		switch state {
		case jobDone:
			return nil
		case jobSuperseded:
			return &SupersededError{Attempt: j.claim.Attempt}
		case jobAgain:
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

func (l *Ledger) try(ctx context.Context, j *job) (jobState, error) {
	if err := l.store(ctx, j); err != nil {
		return jobLater, err
	}
	w := l.newWrite(j.claim, j.version, j.rec)
	if err := l.submit(ctx, w); err != nil {
		return jobLater, err
	}
	res := <-w.done
	return j.next(res), res.err
}

// store puts the job's object. Objects are named by their content, so a put
// may be repeated.
func (l *Ledger) store(ctx context.Context, j *job) error {
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

// background adds a job for the worker goroutine, which runs while there are
// jobs.
func (l *Ledger) background(j *job) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.working && !l.spawnLocked(l.work) {
		return false
	}
	l.working = true
	l.jobs = append(l.jobs, j)
	return true
}

// work tries all jobs together until none is left or the ledger ends.
func (l *Ledger) work() {
	wait := firstRetry
	for {
		jobs, ok := l.takeJobs()
		if !ok {
			return
		}
		left := l.tryAll(jobs)
		l.mu.Lock()
		l.jobs = append(left, l.jobs...)
		l.mu.Unlock()
		if len(left) == 0 {
			wait = firstRetry
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
	l.working = len(jobs) > 0
	return jobs, l.working
}

// tryAll writes the rows of all jobs with as few commits as possible and
// returns the jobs that are not done.
func (l *Ledger) tryAll(jobs []*job) (left []*job) {
	for len(jobs) > 0 {
		var ready []*job
		for _, j := range jobs {
			if l.store(l.ctx, j) != nil {
				left = append(left, j)
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
			switch j.next(<-writes[i].done) {
			case jobLater:
				left = append(left, j)
			case jobAgain:
				jobs = append(jobs, j)
			default:
				l.ended(j)
			}
		}
	}
	return left
}

func (l *Ledger) ended(j *job) {
	if !j.abandon {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abandoned--
}
