package bench

import (
	"container/list"
	"time"
)

// engine is a fake model engine. It has a prefix cache with limited memory, which
// evicts the least recently used chats first. Each running request generates a
// token every tokenTime.
type engine struct {
	id      string
	open    bool
	running int // slots granted by a holder, or requests sent by a dispatcher
	queue   []*request
	cached  map[string]*list.Element
	recency *list.List // of cachedChat, most recently used first
	tokens  int64
}

type cachedChat struct {
	chat   string
	tokens int64
}

func newEngine(id string) *engine {
	return &engine{id: id, open: true, cached: map[string]*list.Element{}, recency: list.New()}
}

// prefix returns the number of cached tokens of a chat.
func (e *engine) prefix(chat string) int64 {
	element := e.cached[chat]
	if element == nil {
		return 0
	}
	return element.Value.(cachedChat).tokens
}

// store caches a chat's tokens and evicts the least recently used chats.
func (e *engine) store(chat string, tokens int64) {
	if element := e.cached[chat]; element != nil {
		e.tokens -= element.Value.(cachedChat).tokens
		e.recency.Remove(element)
	}
	e.cached[chat] = e.recency.PushFront(cachedChat{chat, tokens})
	e.tokens += tokens
	for e.tokens > cacheTokens {
		oldest := e.recency.Back()
		evicted := oldest.Value.(cachedChat)
		e.recency.Remove(oldest)
		delete(e.cached, evicted.chat)
		e.tokens -= evicted.tokens
	}
}

// start starts a request and caches its prompt. It returns the number of tokens
// found in the cache and the time until the request ends.
func (e *engine) start(a *arrival) (hit int64, busy time.Duration) {
	hit = min(e.prefix(a.chat), a.reusable)
	e.store(a.chat, a.prompt)
	prefill := time.Duration(float64(a.prompt-hit) / prefillPerSec * float64(time.Second))
	return hit, prefill + serviceTime(a.output)
}

// end ends a request and caches its response.
func (e *engine) end(a *arrival) { e.store(a.chat, a.prompt+a.output) }
