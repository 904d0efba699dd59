package bench

import (
	"container/list"
	"time"
)

// engine is a fake model engine: a prefix cache with limited memory, least
// recently used chats evicted first, and slots that each generate a token every
// tokenTime.
type engine struct {
	id      string
	open    bool
	running int // slots granted or requests sent, by the way under test
	queue   []*request
	cached  map[string]*list.Element
	order   *list.List // of cachedChat, most recent first
	tokens  int64
}

type cachedChat struct {
	chat   string
	tokens int64
}

func newEngine(id string) *engine {
	return &engine{id: id, open: true, cached: map[string]*list.Element{}, order: list.New()}
}

// prefix returns the tokens of a chat that the cache holds.
func (e *engine) prefix(chat string) int64 {
	element := e.cached[chat]
	if element == nil {
		return 0
	}
	return element.Value.(cachedChat).tokens
}

// keep stores a chat's tokens and evicts the least recently used ones.
func (e *engine) keep(chat string, tokens int64) {
	if element := e.cached[chat]; element != nil {
		e.tokens -= element.Value.(cachedChat).tokens
		e.order.Remove(element)
	}
	e.cached[chat] = e.order.PushFront(cachedChat{chat, tokens})
	e.tokens += tokens
	for e.tokens > cacheTokens {
		oldest := e.order.Back()
		gone := oldest.Value.(cachedChat)
		e.order.Remove(oldest)
		delete(e.cached, gone.chat)
		e.tokens -= gone.tokens
	}
}

// start books the prompt and returns the tokens found in the cache and the
// time until the request ends.
func (e *engine) start(a *arrival) (hit int64, busy time.Duration) {
	hit = min(e.prefix(a.chat), a.reusable)
	e.keep(a.chat, a.prompt)
	prefill := time.Duration(float64(a.prompt-hit) / prefillPerSec * float64(time.Second))
	return hit, prefill + serviceTime(a.output)
}

// end books the answer.
func (e *engine) end(a *arrival) { e.keep(a.chat, a.prompt+a.output) }
