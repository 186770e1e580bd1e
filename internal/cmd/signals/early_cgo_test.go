//go:build cgo

package signals

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// envProcess makes the test binary print the signals that it ignores once nobody receives any.
const envProcess = "DOORYARD_TEST_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(envProcess) == "" {
		os.Exit(m.Run())
	}
	// The runtime restores what it found at its start.
	signal.Reset(syscall.SIGHUP, syscall.SIGTERM)
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		panic(err)
	}
	for line := range strings.Lines(string(status)) {
		if mask, found := strings.CutPrefix(line, "SigIgn:"); found {
			fmt.Println(strings.TrimSpace(mask))
		}
	}
}

// TestTerminationWhileTheRuntimeStarts guards against starts that a SIGTERM ends by the signal, before any code of the program runs.
func TestTerminationWhileTheRuntimeStarts(t *testing.T) {
	read, write, err := os.Pipe()
	require.NoError(t, err)
	defer func() { _, _ = read.Close(), write.Close() }()
	fill(t, write)
	command := exec.CommandContext(t.Context(), os.Args[0])
	// The runtime reports the first package that it initializes, and blocks.
	command.Env = append(os.Environ(), envProcess+"=1", "GODEBUG=inittrace=1")
	command.Stderr = write
	require.NoError(t, command.Start())
	for !catches(t, command.Process.Pid, syscall.SIGURG) {
		runtime.Gosched()
	}
	require.NoError(t, command.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, command.Wait())
}

// fill writes to a pipe until it is full.
func fill(t *testing.T, pipe *os.File) {
	t.Helper()
	raw, err := pipe.SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		require.NoError(t, syscall.SetNonblock(int(fd), true))
		for err := error(nil); err == nil; {
			_, err = syscall.Write(int(fd), []byte{0})
		}
		require.NoError(t, syscall.SetNonblock(int(fd), false))
	}))
}

// catches reports whether a process has a handler for a signal.
func catches(t *testing.T, pid int, s syscall.Signal) bool {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(status), "SigCgt:")
	require.True(t, found)
	mask, err := strconv.ParseUint(strings.Fields(rest)[0], 16, 64)
	require.NoError(t, err)
	return mask>>(s-1)&1 == 1
}

func TestHangupBeforeTheRuntimeStartsDoesNotEndTheProcess(t *testing.T) {
	require.NotNil(t, Received, "a signal that this process ignored would be ignored by the other one as well")
	command := exec.CommandContext(t.Context(), os.Args[0])
	command.Env = append(os.Environ(), envProcess+"=1")
	out, err := command.Output()
	require.NoError(t, err)
	ignored, err := strconv.ParseUint(strings.TrimSpace(string(out)), 16, 64)
	require.NoError(t, err)
	isIgnored := func(s syscall.Signal) bool { return ignored>>(s-1)&1 == 1 }
	assert.True(t, isIgnored(syscall.SIGHUP), "hangup")
	assert.False(t, isIgnored(syscall.SIGTERM), "terminated")
}
