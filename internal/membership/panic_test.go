package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestPanicKeepsNoLock guards against a box that falls silent after a panic, since its state stays locked.
func TestPanicKeepsNoLock(t *testing.T) {
	g := NewGossip(NewNode(Box{Name: "a", Domain: "d"}, 1), nil, WithFacts(func() Facts { panic("broken") }))
	assert.Panics(t, func() { g.tick(1) })
	assert.True(t, g.mu.TryLock())
}
