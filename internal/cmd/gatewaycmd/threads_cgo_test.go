//go:build cgo

// Without cgo nothing of the program runs before the Go runtime, which doesn't wait for threads.

package gatewaycmd

import (
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// withoutThreads makes the process start when its user can have no more threads.
func (p *process) withoutThreads() *process {
	asUser(p.t, p.command, "ulimit -S -u 1 2>/dev/null || ulimit -S -p 1; ")
	return p
}

func TestStartWaitsForThreads(t *testing.T) {
	p := newProcess(t, freeAddresses(t)).withProcessors(1).onManyProcessors().withoutThreads().start()
	require.Eventually(t, func() bool { return strings.Contains(p.stderr.String(), "threads can be created") }, eventTimeout, eventTimeout/1e5)
	assert.Contains(t, p.stderr.String(), "0 of 8 threads can be created, limit of the user's threads 1: retried")
	p.limitThreads(unix.RLIM_INFINITY)
	p.awaitLine("started", "")
}

// TestStopOfAStartThatWaitsForThreads guards against a process that SIGTERM ends by itself, since it came before the
// program handled signals.
func TestStopOfAStartThatWaitsForThreads(t *testing.T) {
	p := newProcess(t, freeAddresses(t)).withProcessors(1).onManyProcessors().withoutThreads().start()
	require.Eventually(t, func() bool { return strings.Contains(p.stderr.String(), "threads can be created") }, eventTimeout, eventTimeout/1e5)
	p.signal(syscall.SIGTERM)
	p.limitThreads(unix.RLIM_INFINITY)
	assert.Zero(t, p.awaitEnd(), p.stderr.String())
}

// TestBoxAwaitsAThread guards against a box that ends without a line as soon as it can't have another thread.
func TestBoxAwaitsAThread(t *testing.T) {
	begin := func(t *testing.T) *process {
		t.Helper()
		p := newProcess(t, freeAddresses(t)).withProcessors(1).onManyProcessors()
		p.command.Env = append(p.command.Env, envTakeThreads+"=1")
		p.start()
		p.awaitLine("started", "")
		p.limitThreads(1)
		p.awaitLine("threads missing", "none can be created, limit of the user's threads 1: retried for up to 3 s")
		return p
	}
	t.Run("that it gets", func(t *testing.T) {
		p := begin(t)
		p.limitThreads(unix.RLIM_INFINITY)
		p.awaitLine("threads missing", "one was created")
		p.load()
		p.signal(syscall.SIGTERM)
		assert.Zero(t, p.awaitEnd(), p.stderr.String())
	})
	t.Run("that it does not get", func(t *testing.T) {
		p := begin(t)
		p.awaitLine("threads missing", "the process ends")
		assert.NotZero(t, p.awaitEnd())
		assert.Contains(t, p.stderr.String(), "pthread_create failed")
	})
}
