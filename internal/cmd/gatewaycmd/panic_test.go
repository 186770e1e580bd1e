package gatewaycmd

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestPanicIsLoggedAndTheProcessStops guards against processes that end at once and without a line when a part panics.
func TestPanicIsLoggedAndTheProcessStops(t *testing.T) {
	t.Setenv(envPanic, "1")
	p := newProcess(t, freeAddresses(t)).start()
	p.awaitLine("part panicked", "broken store")
	p.awaitLine("part lost", "store")
	p.awaitLine("stopped", "")
	assert.Equal(t, 1, p.awaitEnd())
	assert.NotContains(t, p.stderr.String(), "goroutine")
}
