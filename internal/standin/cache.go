package standin

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
)

// blockTokens is how many tokens one cached block holds.
const blockTokens = 16

// prefixCache remembers prompt prefixes, in blocks of tokens, within a limited
// number of tokens; the least recently used blocks go first.
type prefixCache struct {
	capacity int
	blocks   map[uint64]*list.Element
	recent   *list.List
	events   func(prefix uint64, stored bool)
}

func newPrefixCache(capacityTokens int, events func(prefix uint64, stored bool)) *prefixCache {
	return &prefixCache{
		capacity: capacityTokens / blockTokens, blocks: map[uint64]*list.Element{},
		recent: list.New(), events: events,
	}
}

// chain returns the hashes of a prompt's blocks; each depends on all before it.
func chain(prompt string) (hashes []uint64, tokens int) {
	words := strings.Fields(prompt)
	running := uint64(0)
	for start := 0; start+blockTokens <= len(words); start += blockTokens {
		block := strings.Join(words[start:start+blockTokens], " ")
		running = xxhash.Sum64String(block) ^ (running*prefixFactor + 1)
		hashes = append(hashes, running)
	}
	return hashes, len(words)
}

const prefixFactor = 0x9e3779b97f4a7c15

// use returns how many tokens of a prompt were warm and makes all of it warm.
func (c *prefixCache) use(hashes []uint64) (cachedTokens int) {
	warm := true
	for _, hash := range hashes {
		element, found := c.blocks[hash]
		warm = warm && found
		if warm {
			cachedTokens += blockTokens
		}
		if found {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[hash] = c.recent.PushFront(hash)
		c.events(hash, true)
	}
	c.evict()
	return cachedTokens
}

func (c *prefixCache) evict() {
	for c.recent.Len() > c.capacity {
		oldest := c.recent.Back()
		hash, _ := oldest.Value.(uint64)
		c.recent.Remove(oldest)
		delete(c.blocks, hash)
		c.events(hash, false)
	}
}

// cacheEvents is the engine's list of cache events, late and with gaps: of every
// few events one is left out, its sequence number included.
type cacheEvents struct {
	sequence int64
	events   []datedEvent
}

type datedEvent struct {
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
	c.events = append(c.events, datedEvent{CacheEvent: event, atMs: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// from returns the events from a sequence number on that were there at an instant.
func (c *cacheEvents) from(sequence int64, visible clock.Millis) []engine.CacheEvent {
	found := []engine.CacheEvent{}
	for _, event := range c.events {
		if event.Sequence >= sequence && event.atMs <= visible {
			found = append(found, event.CacheEvent)
		}
	}
	return found
}
