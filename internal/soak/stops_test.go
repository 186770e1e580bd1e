package soak

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestStopsThatWaitForAProcessor guards against a machine without a free processor that passes for a stop that hangs, and
// against a hang or a busy loop that passes for one that waits.
func TestStopsThatWaitForAProcessor(t *testing.T) {
	const bound, ms = shutdownGraceS*time.Second + stopSlack, time.Millisecond
	for _, c := range []struct {
		name    string
		stop    runningStop
		overdue bool
	}{
		{"in time", runningStop{lasts: bound}, false},
		{"a hang", runningStop{lasts: bound + ms}, true},
		{"a wait", runningStop{lasts: bound + time.Second, waited: time.Second}, false},
		{"a hang after a wait", runningStop{lasts: bound + time.Second + ms, waited: time.Second}, true},
		{"a busy loop", runningStop{lasts: bound + time.Second, waited: time.Second, ran: ms}, true},
		{"a wait that has not ended", runningStop{lasts: bound + ms, starves: true}, false},
		{"one that never ends", runningStop{lasts: maxStopWait + ms, waited: maxStopWait, starves: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.overdue, c.stop.overdue()) })
	}
}

// TestStarvedProcess guards against a process that runs, or sleeps, and counts as one without a processor.
func TestStarvedProcess(t *testing.T) {
	before := threadTimes{ready: map[string]string{"1": "5 1 1"}, ran: 1}
	for _, c := range []struct {
		name    string
		now     threadTimes
		starved bool
	}{
		{"a thread that has not run", threadTimes{ready: map[string]string{"1": "5 1 1"}, ran: 1}, true},
		{"another one has run", threadTimes{ready: map[string]string{"1": "5 1 1", "2": "9 1 1"}, ran: 2}, false},
		{"it has run", threadTimes{ready: map[string]string{"1": "6 1 2"}, ran: 1}, false},
		{"it sleeps", threadTimes{ran: 1}, false},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.starved, c.now.starvedSince(before)) })
	}
	for begin := processorTime(os.Getpid()); processorTime(os.Getpid()) == begin; {
		// It runs until the kernel counts it.
	}
}
