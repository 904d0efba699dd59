package engine

import (
	"container/list"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// tokenChars is the number of characters that count as one token.
const tokenChars = 4

// maxCacheEvents bounds the cache events that are kept for readers.
const maxCacheEvents = 4096

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (m Message) tokens() int { return len(m.Content)/tokenChars + 1 }

// Prefix is one cached prefix of a chat: all messages up to one of them.
type Prefix struct {
	ID     string `json:"prefix"`
	Tokens int    `json:"tokens"` // of its last message
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

// prefixes returns the prefixes of a chat, the shortest first.
func prefixes(model string, messages []Message) []Prefix {
	chain := make([]Prefix, 0, len(messages))
	id := model
	for _, m := range messages {
		id = strconv.FormatUint(xxhash.Sum64String(id+"\x00"+m.Role+"\x00"+m.Content), 16)
		chain = append(chain, Prefix{id, m.tokens()})
	}
	return chain
}

// cache is a prefix cache that evicts what was used longest ago. The engine's
// lock protects it.
type cache struct {
	limit  int // tokens
	used   int // tokens
	recent *list.List
	byID   map[string]*list.Element // value: Prefix
	next   uint64                   // sequence of the next event
	events []CacheEvent
}

func newCache(limit int) *cache {
	return &cache{limit: limit, recent: list.New(), byID: map[string]*list.Element{}, next: 1}
}

// cached counts the tokens of the longest cached prefix.
func (c *cache) cached(chain []Prefix) int {
	tokens := 0
	for _, p := range c.known(chain) {
		tokens += p.Tokens
	}
	return tokens
}

// known returns the part of the chain that is cached without a gap.
func (c *cache) known(chain []Prefix) []Prefix {
	for i, p := range chain {
		if c.byID[p.ID] == nil {
			return chain[:i]
		}
	}
	return chain
}

// store adds a chain. The shortest prefix is marked as used last, since longer
// ones are of no use without it.
func (c *cache) store(chain []Prefix) {
	for i := len(chain) - 1; i >= 0; i-- {
		p := chain[i]
		if el := c.byID[p.ID]; el != nil {
			c.recent.MoveToFront(el)
			continue
		}
		c.byID[p.ID] = c.recent.PushFront(p)
		c.used += p.Tokens
		c.record(eventStored, p)
	}
	for c.used > c.limit && c.recent.Len() > 0 {
		p := c.recent.Remove(c.recent.Back()).(Prefix)
		delete(c.byID, p.ID)
		c.used -= p.Tokens
		c.record(eventEvicted, p)
	}
}

func (c *cache) record(kind string, p Prefix) {
	c.events = append(c.events, CacheEvent{c.next, kind, p.ID, p.Tokens})
	c.next++
	if len(c.events) > 2*maxCacheEvents {
		c.events = append([]CacheEvent(nil), c.events[len(c.events)-maxCacheEvents:]...)
	}
}

// since returns the events after a sequence number, and whether earlier ones
// are missing in between.
func (c *cache) since(after uint64) ([]CacheEvent, bool) {
	first := c.next - uint64(len(c.events))
	if after+1 < first {
		return append([]CacheEvent(nil), c.events...), true
	}
	if after+1 >= c.next {
		return nil, after >= c.next
	}
	return append([]CacheEvent(nil), c.events[after+1-first:]...), false
}
