package routebench

import (
	"container/list"

	"dooryard.example/dooryard/internal/route"
)

// sessionCache is an LRU cache of session prompts. It models the prefix cache of an engine and is limited by the number
// of tokens.
type sessionCache struct {
	tokens float64
	limit  float64
	byKey  map[route.Key]*list.Element
	recent *list.List
}

type cachedSession struct {
	key    route.Key
	tokens float64
}

// newSessionCache returns a cache that can hold the longest prompts of the given number of sessions.
func newSessionCache(sessions int) *sessionCache {
	return &sessionCache{
		limit: float64(sessions * turnTokens * turns), byKey: map[route.Key]*list.Element{}, recent: list.New(),
	}
}

// cachedTokens returns the number of cached tokens of a session.
func (c *sessionCache) cachedTokens(key route.Key) float64 {
	if element, found := c.byKey[key]; found {
		entry, _ := element.Value.(*cachedSession)
		return entry.tokens
	}
	return 0
}

// use returns the number of tokens of a session that were cached, and then caches the whole prompt.
func (c *sessionCache) use(key route.Key, tokens float64) float64 {
	before := c.cachedTokens(key)
	if element, found := c.byKey[key]; found {
		entry, _ := element.Value.(*cachedSession)
		entry.tokens = tokens
		c.recent.MoveToFront(element)
	} else {
		c.byKey[key] = c.recent.PushFront(&cachedSession{key: key, tokens: tokens})
	}
	c.tokens += tokens - before
	c.evict()
	return before
}

func (c *sessionCache) evict() {
	for c.tokens > c.limit {
		oldest := c.recent.Back()
		entry, _ := oldest.Value.(*cachedSession)
		c.recent.Remove(oldest)
		delete(c.byKey, entry.key)
		c.tokens -= entry.tokens
	}
}

func (c *sessionCache) clear() {
	c.tokens = 0
	clear(c.byKey)
	c.recent.Init()
}
