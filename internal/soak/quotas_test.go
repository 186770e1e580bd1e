package soak

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func quotaFleet() *fleet { return &fleet{history: newHistory()} }

// TestQuotaLeavesNoProcessStopped guards against processes that stay stopped when their quota ends, and against quotas
// that pass for pauses.
func TestQuotaLeavesNoProcessStopped(t *testing.T) {
	f := quotaFleet()
	b := &box{name: "b", process: startScript(t, "trap 'exit 0' TERM; echo"+waitForSignal)}
	f.throttle(b, minShareMs*time.Millisecond, 1)
	assert.NotContains(t, threadStates(b.process.command.Process.Pid), "T")
	require.NoError(t, b.process.signal(syscall.SIGTERM))
	<-b.process.exited
	assert.Empty(t, b.process.findings())
	assert.False(t, b.process.exits[0].asked.paused)
	assert.Positive(t, f.history.disturbances["b"][0].share)
}

// TestQuotaEndsNoPause guards against a quota that resumes a process that another fault has paused.
func TestQuotaEndsNoPause(t *testing.T) {
	b := &box{name: "b", process: startScript(t, "echo"+waitForSignal)}
	require.NoError(t, b.process.signal(syscall.SIGSTOP))
	quotaFleet().throttle(b, minShareMs*time.Millisecond, 1)
	require.Eventually(t, func() bool {
		return threadStates(b.process.command.Process.Pid) == "1 T"
	}, time.Minute, time.Millisecond)
}

// TestFindsProcessThatOutlivesItsGraceUnderQuota guards against quotas that excuse late exits.
func TestFindsProcessThatOutlivesItsGraceUnderQuota(t *testing.T) {
	b := &box{name: "b", process: startScript(t, "trap '' TERM; echo"+waitForSignal)}
	require.NoError(t, b.process.signal(syscall.SIGTERM))
	b.process.asked.terminated = time.Now().Add(-shutdownGraceS*time.Second - stopSlack)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		quotaFleet().throttle(b, minShareMs*time.Millisecond, time.Hour)
	}()
	require.NoError(t, b.process.awaitStop())
	<-ended
	assert.Len(t, b.process.findings(), 1)
}

// TestLateResumeExcusesNoNextProcess guards against the end of a pause that counts as a pause of the next process.
func TestLateResumeExcusesNoNextProcess(t *testing.T) {
	asked := askedEnd{terminated: time.Now()}
	asked.record(syscall.SIGCONT, time.Now())
	assert.False(t, asked.paused)
}
