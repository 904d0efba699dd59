package routing

import "time"

// Load pattern: some requests with long prompts and outputs fill the memory of an engine
// while it has slots left, and then its requests wait or are started again. The memory that
// the running requests hold at their end is estimated from those of this router and, for
// those of other routers, from the mean.

// endTokens returns the tokens that a request holds at its end, 0 if not known.
func (r *Request) endTokens() int {
	if r.PromptTokens == 0 {
		return 0
	}
	return r.PromptTokens + r.ExpectedOutput
}

// unreadTokens returns the prompt tokens that a worker has to read that has the shared
// parts cached, 0 if not known.
func (r *Request) unreadTokens() int {
	tokens := r.PromptTokens
	for _, p := range r.SharedParts {
		tokens -= p.Tokens
	}
	return max(tokens, 0)
}

// recordTokens counts the tokens of a request that is sent to a worker.
func (p *pool) recordTokens(c *Choice, r *Request) {
	if r.PromptTokens == 0 {
		return
	}
	c.attempt.tokens = r.endTokens()
	c.Worker.tokens += c.attempt.tokens
	moveMean(&p.meanTokens, c.attempt.tokens)
	if c.attempt.unread = r.unreadTokens(); c.attempt.unread > 0 {
		c.Worker.unread += c.attempt.unread
		c.Worker.unreadCount++
		moveMean(&p.meanUnread, c.attempt.unread)
	}
}

func moveMean(mean *float64, sample int) {
	if *mean == 0 {
		*mean = float64(sample)
	}
	*mean += (float64(sample) - *mean) / durationDivisor
}

// work estimates the work on a worker in requests of the mean size. Requests of this
// router that the worker still has to read count by their tokens. A slow worker has more
// work by as much as it is slower.
func (p *pool) work(w *Worker, now time.Time) float64 {
	load := p.estimatedLoad(w, now)
	if w.unreadCount > 0 {
		load += float64(w.unread)/p.meanUnread - float64(w.unreadCount)
	}
	return load * w.slowness(now)
}

// hasMemory reports whether a worker probably has the memory for a request in addition to
// its running ones. It is true where the memory or the request's tokens are not known.
func (p *pool) hasMemory(w *Worker, r *Request, now time.Time) bool {
	tokens := r.endTokens()
	if p.config.KVCapacity == 0 || tokens == 0 {
		return true
	}
	others := max(p.estimatedLoad(w, now)-float64(w.inFlight), 0)
	return float64(w.tokens+tokens)+others*p.meanTokens <= float64(p.config.KVCapacity)
}
