package soak

import (
	"os"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLongestWaitIsThatOfOneThread(t *testing.T) {
	before := map[string]time.Duration{"1": 5 * time.Second, "2": time.Second}
	after := map[string]time.Duration{"1": 6 * time.Second, "2": 4 * time.Second, "3": 2 * time.Second}
	assert.Equal(t, 3*time.Second, longestWait(before, after))
	assert.Contains(t, threadWaits(os.Getpid()), strconv.Itoa(os.Getpid()), "the first thread of this process")
}

// TestStatesOfThreadsTellAHangFromALackOfProcessors guards against findings that don't tell which of them it was.
func TestStatesOfThreadsTellAHangFromALackOfProcessors(t *testing.T) {
	p := startScript(t, "echo; sleep 600\n")
	assert.Regexp(t, "^1 [RSD]$", threadStates(p.command.Process.Pid))
	assert.False(t, hasExited(p.command.Process.Pid))
	require.NoError(t, p.kill())
	assert.Empty(t, threadStates(p.command.Process.Pid))
}

// TestExitedProcessDoesNotOutliveItsGrace guards against a finding because the end of a process is collected late.
func TestExitedProcessDoesNotOutliveItsGrace(t *testing.T) {
	command := exec.Command("true")
	require.NoError(t, command.Start())
	assert.Eventually(t, func() bool { return threadStates(command.Process.Pid) == "1 Z" }, time.Minute, time.Millisecond)
	assert.True(t, hasExited(command.Process.Pid))
	require.NoError(t, command.Wait())
	assert.True(t, hasExited(command.Process.Pid))
}
