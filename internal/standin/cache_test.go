package standin

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCacheEvents(t *testing.T) {
	events := cacheEvents{}
	for i := range 20 {
		events.add(uint64(i), true, 100)
	}
	t.Run("are delayed", func(t *testing.T) {
		assert.Empty(t, events.from(0, 99))
	})
	t.Run("have gaps", func(t *testing.T) {
		assert.Len(t, events.from(0, 100), 18)
	})
}

func TestPrefixCache(t *testing.T) {
	cache := newPrefixCache(4*blockTokens, func(uint64, bool) {})
	t.Run("finds the longest cached prefix", func(t *testing.T) {
		assert.Zero(t, cache.use([]uint64{1, 2}))
		assert.Equal(t, 2*blockTokens, cache.use([]uint64{1, 2, 3}))
	})
	t.Run("evicts the least recently used blocks", func(t *testing.T) {
		cache.use([]uint64{7, 8, 9})
		assert.Zero(t, cache.use([]uint64{1, 2}))
	})
}
