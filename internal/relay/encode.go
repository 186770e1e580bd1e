package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/klauspost/compress/gzip"

	"dooryard.example/dooryard/internal/evacuation"
	"dooryard.example/dooryard/internal/position"
)

// maxCachedReplies limits the encoded replies in the cache. They are used for boxes that are one
// or two changes behind.
const maxCachedReplies = 4

// cacheKey identifies a cached reply by the version and position of the requester and of this box.
// It does not contain the store era, so a cached reply may carry an older era.
type cacheKey struct {
	version, ownVersion   int64
	position, ownPosition position.Position
	evacuations           evacuation.Summary
}

// replyCache encodes replies and caches the newest ones. After a change all boxes of a failure
// domain send the same request within about ten milliseconds, possibly to a box with a fifth of a
// core and 10 Mbit/s. Without the cache and the compression, which makes a reply ten times smaller,
// the last of 18 boxes received a state with 250 routes only after 1.2 to 1.6 s.
type replyCache struct {
	mu      sync.Mutex
	order   []cacheKey
	entries map[cacheKey][]byte
}

// encode returns a reply as compressed JSON, from the cache if possible.
func (c *replyCache) encode(key cacheKey, reply Reply) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if data, known := c.entries[key]; known {
		return data, nil
	}
	data, err := compressReply(reply)
	if err != nil {
		return nil, err
	}
	if c.entries == nil {
		c.entries = map[cacheKey][]byte{}
	}
	if len(c.order) == maxCachedReplies {
		delete(c.entries, c.order[0])
		c.order = c.order[1:]
	}
	c.order = append(c.order, key)
	c.entries[key] = data
	return data, nil
}

func compressReply(reply Reply) ([]byte, error) {
	plain, err := json.Marshal(reply)
	if err != nil {
		return nil, fmt.Errorf("encode reply: %w", err)
	}
	var out bytes.Buffer
	// Stateless compression needs a third of the memory of the other levels and keeps no window
	// afterwards.
	w, err := gzip.NewWriterLevel(&out, gzip.StatelessCompression)
	if err != nil {
		return nil, fmt.Errorf("compress reply: %w", err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("compress reply: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress reply: %w", err)
	}
	return out.Bytes(), nil
}
