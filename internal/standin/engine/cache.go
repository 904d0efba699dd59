package engine

import (
	"container/list"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// charsPerToken is the number of characters that count as one token.
const charsPerToken = 4

// minCacheEvents is the number of newest cache events that are always kept for
// readers. Up to twice as many are kept, so that events are dropped in batches.
const minCacheEvents = 4096

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (m Message) tokens() int { return len(m.Content)/charsPerToken + 1 }

// Prefix is a prefix of a chat: all messages up to one of them.
type Prefix struct {
	ID     string `json:"prefix"`
	Tokens int    `json:"tokens"` // tokens of the last message only
}

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Seq    uint64 `json:"seq"` // from 1
	Type   string `json:"type"`
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`
}

// Types of cache events.
const (
	eventStored  = "stored"
	eventEvicted = "evicted"
)

// prefixes returns the chain of prefixes of a chat, shortest first. The ID of a
// prefix depends on the model and on all messages of the prefix.
func prefixes(model string, messages []Message) []Prefix {
	chain := make([]Prefix, 0, len(messages))
	id := model
	for _, m := range messages {
		id = strconv.FormatUint(xxhash.Sum64String(id+"\x00"+m.Role+"\x00"+m.Content), 16)
		chain = append(chain, Prefix{id, m.tokens()})
	}
	return chain
}

// cache is a prefix cache that evicts the least recently used prefixes. The
// engine's lock protects it.
type cache struct {
	maxTokens  int
	usedTokens int
	lru        *list.List               // of Prefix, most recently used first
	byID       map[string]*list.Element // elements of lru
	nextSeq    uint64                   // sequence number of the next event
	events     []CacheEvent             // newest events, in order
}

func newCache(maxTokens int) *cache {
	return &cache{maxTokens: maxTokens, lru: list.New(), byID: map[string]*list.Element{}, nextSeq: 1}
}

// cachedTokens returns the number of tokens in the longest cached prefix of a
// chain.
func (c *cache) cachedTokens(chain []Prefix) int {
	tokens := 0
	for _, p := range c.cachedPrefixes(chain) {
		tokens += p.Tokens
	}
	return tokens
}

// cachedPrefixes returns the prefixes of a chain before the first one that is not
// cached.
func (c *cache) cachedPrefixes(chain []Prefix) []Prefix {
	for i, p := range chain {
		if c.byID[p.ID] == nil {
			return chain[:i]
		}
	}
	return chain
}

// store adds a chain and evicts prefixes if the cache is full. The shortest prefix
// becomes the most recently used one, since longer ones are useless without it.
func (c *cache) store(chain []Prefix) {
	for i := len(chain) - 1; i >= 0; i-- {
		p := chain[i]
		if el := c.byID[p.ID]; el != nil {
			c.lru.MoveToFront(el)
			continue
		}
		c.byID[p.ID] = c.lru.PushFront(p)
		c.usedTokens += p.Tokens
		c.record(eventStored, p)
	}
	for c.usedTokens > c.maxTokens && c.lru.Len() > 0 {
		p := c.lru.Remove(c.lru.Back()).(Prefix)
		delete(c.byID, p.ID)
		c.usedTokens -= p.Tokens
		c.record(eventEvicted, p)
	}
}

// record adds an event and drops the oldest ones beyond twice minCacheEvents.
func (c *cache) record(kind string, p Prefix) {
	c.events = append(c.events, CacheEvent{c.nextSeq, kind, p.ID, p.Tokens})
	c.nextSeq++
	if len(c.events) > 2*minCacheEvents {
		c.events = append([]CacheEvent(nil), c.events[len(c.events)-minCacheEvents:]...)
	}
}

// eventsSince returns the events after a sequence number and whether some of them
// are missing, because they are no longer kept or the number is higher than that
// of the last event.
func (c *cache) eventsSince(after uint64) ([]CacheEvent, bool) {
	first := c.nextSeq - uint64(len(c.events))
	if after+1 < first {
		return append([]CacheEvent(nil), c.events...), true
	}
	if after+1 >= c.nextSeq {
		return nil, after >= c.nextSeq
	}
	return append([]CacheEvent(nil), c.events[after+1-first:]...), false
}
