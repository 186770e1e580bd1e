package soak

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startScript starts a shell script as a box and waits until it has written its first line.
func startScript(t *testing.T, script string) *process {
	t.Helper()
	// A shell can't trap signals that it inherits as ignored. Those that this process receives are not.
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP, syscall.SIGINT)
	t.Cleanup(func() { signal.Stop(received) })
	program := filepath.Join(t.TempDir(), "program")
	require.NoError(t, os.WriteFile(program, []byte("#!/bin/sh\n"+script), 0o700)) //nolint:gosec // It runs.
	p, err := newProcess(program, t.TempDir(), "box", "")
	require.NoError(t, err)
	require.NoError(t, p.start())
	t.Cleanup(func() { assert.NoError(t, p.kill()) })
	require.Eventually(t, func() bool {
		written, err := os.ReadFile(p.log)
		return err == nil && len(written) > 0
	}, time.Minute, time.Millisecond)
	return p
}

const waitForSignal = "\nwhile true; do sleep 0.01; done\n"

// TestFindsEndsThatNobodyAskedFor guards against a soak that passes although its boxes fail.
func TestFindsEndsThatNobodyAskedFor(t *testing.T) {
	for _, c := range []struct {
		name, script, finds string
		signal              syscall.Signal
	}{
		{"a process that exits by itself", "echo\n", "not asked for: exit status 0", 0},
		{"a process that fails to start", "echo in use; exit 1\n", "not asked for: exit status 1", 0},
		{
			"a signal that should not end it", "trap 'trap - HUP; kill -HUP $$' HUP; echo" + waitForSignal,
			"not asked for: signal: hangup", syscall.SIGHUP,
		},
		{"a signal before a handler is installed", "echo" + waitForSignal, "", syscall.SIGHUP},
		{
			"a status after SIGTERM", "trap 'exit 66' TERM; echo" + waitForSignal, "SIGTERM: exit status 66",
			syscall.SIGTERM,
		},
		{
			"an end by SIGTERM itself", "trap 'trap - TERM; kill -TERM $$' TERM; echo" + waitForSignal,
			"SIGTERM: signal: terminated", syscall.SIGTERM,
		},
		{"an orderly stop", "trap 'exit 0' TERM; echo" + waitForSignal, "", syscall.SIGTERM},
		{"a kill", "echo" + waitForSignal, "", syscall.SIGKILL},
		{"a panic", "echo 'panic: boom'\n" + waitForSignal, "panic: boom", syscall.SIGKILL},
		{"a fatal error", "echo 'fatal error: all goroutines'\n" + waitForSignal, "fatal error: all", syscall.SIGKILL},
		{"a thread too many", "echo 'runtime/cgo: pthread_create failed'\n" + waitForSignal, "runtime/cgo: pt", syscall.SIGKILL},
		{"a data race", "echo 'WARNING: DATA RACE'\n" + waitForSignal, "WARNING: DATA RACE", syscall.SIGKILL},
		{"a word in a log line", "echo '{\"msg\": \"panic: no\"}'\n" + waitForSignal, "", syscall.SIGKILL},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startScript(t, c.script)
			if c.signal != 0 {
				require.NoError(t, p.signal(c.signal))
			}
			<-p.exited
			if c.finds == "" {
				assert.Empty(t, p.findings())
				return
			}
			if found := p.findings(); assert.Len(t, found, 1) {
				assert.Contains(t, found[0], c.finds)
			}
		})
	}
}

// TestFindsSignalThatIsNeverHandled guards against programs that install no handlers at all.
func TestFindsSignalThatIsNeverHandled(t *testing.T) {
	p := startScript(t, "echo"+waitForSignal)
	p.started = time.Now().Add(-earlySpan)
	require.NoError(t, p.signal(syscall.SIGHUP))
	<-p.exited
	assert.Len(t, p.findings(), 1)
}

// TestFindsProcessThatOutlivesItsGrace guards against stops that end only by SIGKILL.
func TestFindsProcessThatOutlivesItsGrace(t *testing.T) {
	for _, c := range []struct {
		name   string
		paused bool
		found  int
	}{{"a process that ignores SIGTERM", false, 1}, {"a process that was paused", true, 0}} {
		t.Run(c.name, func(t *testing.T) {
			p := startScript(t, "trap '' TERM; echo"+waitForSignal)
			require.NoError(t, p.signal(syscall.SIGTERM))
			if c.paused {
				require.NoError(t, p.signal(syscall.SIGSTOP))
			}
			p.asked.terminated = time.Now().Add(-shutdownGraceS*time.Second - stopSlack)
			require.NoError(t, p.awaitStop())
			assert.False(t, p.running())
			assert.Len(t, p.findings(), c.found)
		})
	}
}

// TestPauseDuringTheLastWaitIsExcused guards against a finding about a process that is paused while its end is awaited.
func TestPauseDuringTheLastWaitIsExcused(t *testing.T) {
	p := startScript(t, "trap '' TERM; echo"+waitForSignal)
	require.NoError(t, p.signal(syscall.SIGTERM))
	p.asked.terminated = time.Now().Add(time.Second - shutdownGraceS*time.Second - stopSlack)
	ended := make(chan error)
	go func() { ended <- p.awaitStop() }()
	<-time.After(100 * time.Millisecond)
	require.NoError(t, p.signal(syscall.SIGSTOP))
	require.NoError(t, p.signal(syscall.SIGCONT))
	require.NoError(t, <-ended)
	assert.Empty(t, p.findings())
}

// TestEarlySignalExcusesNoLaterEnd guards against an end long after a signal at the start that counts as caused by it.
func TestEarlySignalExcusesNoLaterEnd(t *testing.T) {
	sent := time.Now()
	for _, c := range []struct {
		name  string
		after time.Duration
		found bool
	}{{"at once", time.Millisecond, false}, {"later", earlySpan, true}} {
		t.Run(c.name, func(t *testing.T) {
			e := exit{
				at: sent.Add(c.after), signal: syscall.SIGTERM,
				asked: askedEnd{terminated: sent, early: []earlySignal{{syscall.SIGTERM, sent}}},
			}
			assert.Equal(t, c.found, e.faulty())
		})
	}
}

// TestOutputTellsFailures guards against runs that pass though their boxes have panicked.
func TestOutputTellsFailures(t *testing.T) {
	for _, line := range []string{
		"panic: broken", "fatal error: concurrent map writes", "runtime/cgo: pthread_create failed: Resource temporarily unavailable",
		"WARNING: DATA RACE", `{"level":"warn","msg":"part panicked","box":"box-0"}`, `{"level":"warn","msg":"part lost"}`,
		`{"level":"warn","msg":"handler panicked"}`,
	} {
		assert.True(t, tellsFailure(line), line)
	}
	assert.False(t, tellsFailure(`{"level":"warn","msg":"stopped","error":"panic: no"}`))
}
