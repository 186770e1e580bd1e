package standin

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
)

// blockTokens is the number of tokens in one cached block.
const blockTokens = 16

// prefixCache caches prompt prefixes as blocks of tokens. It holds a limited number of
// tokens and evicts the least recently used blocks first.
type prefixCache struct {
	capacity int
	blocks   map[uint64]*list.Element
	lru      *list.List
	events   func(prefix uint64, stored bool)
}

func newPrefixCache(capacityTokens int, events func(prefix uint64, stored bool)) *prefixCache {
	return &prefixCache{
		capacity: capacityTokens / blockTokens, blocks: map[uint64]*list.Element{},
		lru: list.New(), events: events,
	}
}

// prefixHashes returns the hashes of a prompt's blocks and its number of tokens. Each hash
// covers its block and all blocks before it.
func prefixHashes(prompt string) (hashes []uint64, tokens int) {
	words := strings.Fields(prompt)
	running := uint64(0)
	for start := 0; start+blockTokens <= len(words); start += blockTokens {
		block := strings.Join(words[start:start+blockTokens], " ")
		running = xxhash.Sum64String(block) ^ (running*prefixHashMultiplier + 1)
		hashes = append(hashes, running)
	}
	return hashes, len(words)
}

const prefixHashMultiplier = 0x9e3779b97f4a7c15

// use returns how many leading tokens of a prompt were cached, and caches the whole prompt.
func (c *prefixCache) use(hashes []uint64) (cachedTokens int) {
	warm := true
	for _, hash := range hashes {
		element, found := c.blocks[hash]
		warm = warm && found
		if warm {
			cachedTokens += blockTokens
		}
		if found {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[hash] = c.lru.PushFront(hash)
		c.events(hash, true)
	}
	c.evict()
	return cachedTokens
}

func (c *prefixCache) evict() {
	for c.lru.Len() > c.capacity {
		oldest := c.lru.Back()
		hash, _ := oldest.Value.(uint64)
		c.lru.Remove(oldest)
		delete(c.blocks, hash)
		c.events(hash, false)
	}
}

// cacheEvents is the engine's list of cache events. Readers get events late and with gaps:
// every tenth event is dropped together with its sequence number.
type cacheEvents struct {
	sequence int64
	events   []timedEvent
}

type timedEvent struct {
	engine.CacheEvent
	atMs clock.Millis
}

const (
	maxCacheEvents = 10_000
	gapEvery       = 10
)

func (c *cacheEvents) add(prefix uint64, stored bool, now clock.Millis) {
	c.sequence++
	if c.sequence%gapEvery == 0 {
		return
	}
	event := engine.CacheEvent{Sequence: c.sequence, Prefix: prefix, Stored: stored, Tokens: blockTokens}
	c.events = append(c.events, timedEvent{CacheEvent: event, atMs: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// from returns the events with at least the given sequence number that were recorded no
// later than the time visible.
func (c *cacheEvents) from(sequence int64, visible clock.Millis) []engine.CacheEvent {
	found := []engine.CacheEvent{}
	for _, event := range c.events {
		if event.Sequence >= sequence && event.atMs <= visible {
			found = append(found, event.CacheEvent)
		}
	}
	return found
}
