package routebench

import (
	"container/list"

	"dooryard.example/dooryard/internal/route"
)

// sessionCache remembers the prompts of the most recently used sessions.
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

// newSessionCache holds the longest prompts of this many sessions.
func newSessionCache(sessions int) *sessionCache {
	return &sessionCache{
		limit: float64(sessions * turnTokens * turns), byKey: map[route.Key]*list.Element{}, recent: list.New(),
	}
}

// warm returns how many tokens of a session are held.
func (c *sessionCache) warm(key route.Key) float64 {
	if element, found := c.byKey[key]; found {
		held, _ := element.Value.(*cachedSession)
		return held.tokens
	}
	return 0
}

// use returns how many tokens were warm and makes the whole prompt warm.
func (c *sessionCache) use(key route.Key, tokens float64) float64 {
	was := c.warm(key)
	if element, found := c.byKey[key]; found {
		held, _ := element.Value.(*cachedSession)
		held.tokens = tokens
		c.recent.MoveToFront(element)
	} else {
		c.byKey[key] = c.recent.PushFront(&cachedSession{key: key, tokens: tokens})
	}
	c.tokens += tokens - was
	c.evict()
	return was
}

func (c *sessionCache) evict() {
	for c.tokens > c.limit {
		oldest := c.recent.Back()
		held, _ := oldest.Value.(*cachedSession)
		c.recent.Remove(oldest)
		delete(c.byKey, held.key)
		c.tokens -= held.tokens
	}
}

func (c *sessionCache) clear() {
	c.tokens = 0
	clear(c.byKey)
	c.recent.Init()
}
