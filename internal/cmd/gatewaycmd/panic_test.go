package gatewaycmd

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPanicIsLoggedAndTheProcessStops guards against processes that end at once and without a line when a part panics.
func TestPanicIsLoggedAndTheProcessStops(t *testing.T) {
	t.Setenv(envPanic, panicOfPart)
	p := newProcess(t, freeAddresses(t)).start()
	p.awaitLine("part panicked", "broken store")
	p.awaitLine("part lost", "store")
	p.awaitLine("stopped", "")
	assert.Equal(t, 1, p.awaitEnd())
	assert.NotContains(t, p.stderr.String(), "goroutine")
}

// TestCrashIsInTheLog guards against processes that end without a trace where only standard output is kept.
func TestCrashIsInTheLog(t *testing.T) {
	const crashStatus = 2
	t.Setenv(envPanic, panicOfProcess)
	t.Run("with a reader", func(t *testing.T) {
		p := newProcess(t, freeAddresses(t)).start()
		assert.Equal(t, crashStatus, p.awaitEnd())
		assert.Contains(t, p.log(), "panic: broken process")
		assert.Contains(t, p.log(), "panicIfAsked")
		assert.Contains(t, p.stderr.String(), "panic: broken process")
	})
	t.Run("whose reader reads nothing", func(t *testing.T) {
		out, in, err := os.Pipe()
		require.NoError(t, err)
		defer func() { _, _ = out.Close(), in.Close() }()
		fillPipe(t, in)
		p := newProcess(t, freeAddresses(t))
		p.command.Stdout = in
		assert.Equal(t, crashStatus, p.start().awaitEnd())
		assert.Contains(t, p.stderr.String(), "panic: broken process")
	})
}
