package soak

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFindsEndsOfOverlappingProcesses guards against a start that ends by itself, or an orderly stop that fails, and is
// not found since another process of the box runs.
func TestFindsEndsOfOverlappingProcesses(t *testing.T) {
	for _, c := range []struct {
		name, next, finds string
	}{
		{"a next process that does not wait", "exit 1", "not asked for: exit status 1"},
		{"a next process that fails when it is stopped", "trap 'exit 3' TERM; echo" + waitForSignal, "SIGTERM: exit status 3"},
		{"a next process that is stopped in order", "trap 'exit 0' TERM; echo" + waitForSignal, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			isFirst := "if ! mkdir \"$0.first\" 2>&-; then "
			p := startScript(t, isFirst+c.next+"\nfi\ntrap 'sleep 0.1; exit 0' TERM; echo"+waitForSignal)
			first := p.current()
			require.NoError(t, p.signal(syscall.SIGTERM))
			require.NoError(t, p.startBeside(first))
			assert.NotEqual(t, first.command.Process.Pid, p.command.Process.Pid)
			require.Eventually(t, func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return !p.running() || p.wrote
			}, time.Minute, time.Millisecond)
			require.NoError(t, p.signal(syscall.SIGTERM))
			require.NoError(t, p.awaitStopOf(first))
			require.NoError(t, p.awaitStop())
			assert.Len(t, p.exits, 2)
			if c.finds == "" {
				assert.Empty(t, p.findings())
			} else if found := p.findings(); assert.Len(t, found, 1) {
				assert.Contains(t, found[0], c.finds)
			}
		})
	}
}

// TestEveryOtherStartIsOfTheEarlierProgram guards against upgrades and rollbacks that replace a program by itself.
func TestEveryOtherStartIsOfTheEarlierProgram(t *testing.T) {
	p := startScript(t, "echo"+waitForSignal)
	p.earlierProgram = filepath.Join(t.TempDir(), "earlier")
	require.NoError(t, os.WriteFile(p.earlierProgram, []byte("#!/bin/sh\nexit 3\n"), 0o700)) //nolint:gosec // It runs.
	require.NoError(t, p.kill())
	require.NoError(t, p.start())
	<-p.exited
	require.NoError(t, p.start())
	found := p.findings()
	require.Len(t, found, 1)
	assert.Contains(t, found[0], "a process of the earlier program ended")
	assert.True(t, p.running())
}

// TestEarlierProcessesAreNotForgotten guards against processes that outlive their run, or stay paused, since another one
// was started meanwhile.
func TestEarlierProcessesAreNotForgotten(t *testing.T) {
	p := startScript(t, "echo"+waitForSignal)
	first := p.current()
	require.NoError(t, p.signal(syscall.SIGSTOP))
	require.NoError(t, p.startBeside(first))
	second := p.current()
	require.NoError(t, p.startBeside(first))
	assert.Same(t, second, p.current(), "a process that nobody would stop")
	require.NoError(t, p.signal(syscall.SIGCONT))
	assert.NotContains(t, threadStates(first.command.Process.Pid), "T")
	require.NoError(t, p.kill())
	assert.False(t, first.running())
	assert.Empty(t, p.findings())
}

// TestProcessEndedBeforeItReceivesSignalsServesNobody guards against refusals that count for a next process which the run
// itself has ended, and against other ends that excuse them.
func TestProcessEndedBeforeItReceivesSignalsServesNobody(t *testing.T) {
	for _, c := range []struct {
		name, next string
		signal     syscall.Signal
		late       bool
		serves     bool
	}{
		{"a signal before it can receive any", ":", syscall.SIGHUP, false, false},
		{"a signal that it should have received", ":", syscall.SIGHUP, true, true},
		{"a signal that it receives", "trap 'exit 3' HUP", syscall.SIGHUP, false, true},
		{"an end by itself", "exit 1", 0, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			isNext := "if [ ! -e \"$0.first\" ]; then : > \"$0.first\"; echo first; else\n"
			p := startScript(t, isNext+c.next+"\nfi"+waitForSignal)
			first := p.current()
			require.NoError(t, p.startBeside(first))
			next, later := p.current(), time.Now().Add(startSpan+time.Hour)
			assert.True(t, p.shouldServe(later), "until it has ended")
			if strings.HasPrefix(c.next, "trap") {
				require.Eventually(t, func() bool {
					return hasSignal(next.command.Process.Pid, c.signal, "SigCgt")
				}, time.Minute, time.Millisecond)
			}
			if c.late {
				p.mu.Lock()
				next.started = next.started.Add(-earlySpan)
				p.mu.Unlock()
			}
			if c.signal != 0 {
				require.NoError(t, p.signalTo(next, c.signal))
			}
			<-next.exited
			assert.Equal(t, c.serves, p.shouldServe(later))
			require.NoError(t, p.start())
			assert.False(t, p.shouldServe(p.started.Add(startSpan)))
			assert.True(t, p.shouldServe(p.started.Add(startSpan+time.Millisecond)), "the next start")
		})
	}
}

// TestFindsRefusedConnections guards against a next process that takes over late.
func TestFindsRefusedConnections(t *testing.T) {
	const ms = time.Millisecond
	bound := maxRefused + timingSlack
	start := time.Now()
	for _, c := range []struct {
		name    string
		refused time.Duration
		found   int
		change  func(h *history, r *refusal)
	}{
		{"a late process", bound + ms, 1, nil},
		{"one in time", bound, 0, nil},
		{"another release that keeps its ports", bound + stopSpan, 0, func(h *history, _ *refusal) { h.releases = true }},
		{"one that keeps them too long", bound + stopSpan + ms, 1, func(h *history, _ *refusal) { h.releases = true }},
		{"one that waited for a processor", bound + ms, 0, func(_ *history, r *refusal) { r.waited = ms }},
		{"planned work", bound + ms, 1, func(h *history, _ *refusal) {
			h.disturbances["b"] = []*interval{{from: start, planned: true}}
		}},
		{"a pause", bound + ms, 0, func(h *history, _ *refusal) { h.disturbances["b"] = []*interval{{from: start}} }},
		{"a store that fails", bound + ms, 0, func(h *history, _ *refusal) {
			h.disturbances[allBoxes] = []*interval{{from: start}}
		}},
		{"a quota", bound + ms, 0, func(h *history, _ *refusal) {
			h.disturbances["b"] = []*interval{{from: start, share: ms}}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory()
			serves := true
			p := prober{
				box: "b", serves: func(time.Time) bool { return serves }, times: func() threadTimes { return threadTimes{} },
				record: func(r refusal) {
					if c.change != nil {
						c.change(h, &r)
					}
					h.recordRefusal(r)
				},
			}
			p.observe(start, false)
			p.observe(start.Add(ms), false)
			p.observe(start.Add(c.refused), true)
			// Nobody is to serve from here on.
			serves = false
			p.observe(start.Add(c.refused+time.Second), false)
			p.observe(start.Add(c.refused+time.Hour), true)
			assert.Len(t, h.check(), c.found)
			assert.Equal(t, c.refused.Milliseconds(), h.lost.LongestRefusalMs)
		})
	}
}

// TestCountsWaitsThatHaveNotEnded guards against a machine without a free processor that passes for a late box.
func TestCountsWaitsThatHaveNotEnded(t *testing.T) {
	before := threadTimes{waits: map[string]time.Duration{"1": 1}, ready: map[string]string{"1": "5 1 1"}}
	for _, c := range []struct {
		name string
		now  threadTimes
		want time.Duration
	}{
		{"a wait that ended", threadTimes{waits: map[string]time.Duration{"1": 3}}, 2},
		{"a thread that has not run", threadTimes{ready: map[string]string{"1": "5 1 1"}}, time.Second},
		{"a thread that has run", threadTimes{ready: map[string]string{"1": "6 1 2"}}, 0},
		{"another thread", threadTimes{ready: map[string]string{"2": "5 1 1"}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, c.now.waitedSince(before, time.Second)) })
	}
}
