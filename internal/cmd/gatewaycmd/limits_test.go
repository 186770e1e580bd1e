package gatewaycmd

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestStartTellsLimits guards against a process that ends for want of memory, threads or descriptors, whose limits
// nobody knows.
func TestStartTellsLimits(t *testing.T) {
	p := newProcess(t, freeAddresses(t))
	p.addSettings("capacity: {memory_mb: 300}")
	p.start()
	p.awaitLine("starting", "memory by settings 300 MiB, address space none")
	var files unix.Rlimit
	require.NoError(t, unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_NOFILE, nil, &files))
	p.awaitLine("starting", fmt.Sprintf("open files %d", files.Cur))
}
