package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/pkg/config"
)

// TestUnreadBytesFitIntoMemory guards against processes that are killed for bytes that have arrived and were not read.
func TestUnreadBytesFitIntoMemory(t *testing.T) {
	for _, c := range []config.Capacity{
		{MemoryMb: 284, OpenFiles: 4100}, {MemoryMb: 256, OpenFiles: 4096}, {MemoryMb: 64, OpenFiles: 512},
	} {
		all := int64(unreadBytes(c)) * int64(maxConnections(c))
		assert.LessOrEqual(t, all, c.MemoryMb*mebibyte/unreadMemoryDivisor, "%+v", c)
	}
	assert.Equal(t, minUnreadBytes, unreadBytes(config.Capacity{MemoryMb: 16, OpenFiles: 60_000}))
	assert.Equal(t, maxUnreadBytes, unreadBytes(config.Capacity{MemoryMb: 64_000, OpenFiles: 4096}))
}
