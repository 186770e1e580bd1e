package upstream

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

// TestWitnessesAreForgotten guards against memory that grows with the addresses of upstreams that are gone, and against a
// Witness that doesn't learn since each response has its own.
func TestWitnessesAreForgotten(t *testing.T) {
	now := clock.Millis(1)
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	w := NewWitnesses(refuse, func() clock.Millis { return now })
	first := w.At("a")
	first.underWay, first.begunMs = 1, now
	now += 2 * forgetWitnessMs
	assert.Same(t, first, w.At("a"), "its response is under way")
	first.Finish()
	w.At("b")
	assert.NotContains(t, w.byAddress, "a")
}
