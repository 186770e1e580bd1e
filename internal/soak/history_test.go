package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/platform/standin"
)

// sound is a ledger with one request that went well.
func sound(kind string) (*ledger, *standin.Outcome, *standin.Run) {
	l := newLedger()
	l.noteKey("k", "t")
	o := &standin.Outcome{
		Call: standin.Call{ID: "1", Kind: kind, Key: "k", DeadlineMs: 1000}, Sent: time.Now(), Status: http.StatusOK,
		Whole: true, Answer: standin.Body("1"), Seal: "seal-1", Echo: "1",
	}
	return l, o, &standin.Run{RequestID: "1", Server: "s", Kind: kind, Tenant: "t", DeadlineMs: 900}
}

func assertFinds(t *testing.T, l *ledger, promise string) {
	t.Helper()
	found := l.check()
	if assert.NotEmpty(t, found) {
		assert.Equal(t, promise, found[0].Promise)
	}
}

// TestCheck breaks each promise once, as a router with that fault would.
func TestCheck(t *testing.T) {
	t.Run("finds nothing where nothing is wrong", func(t *testing.T) {
		l, o, run := sound(standin.Unsafe)
		l.noteRun(*run)
		l.noteOutcome(*o)
		assert.Empty(t, l.check())
	})
	for _, c := range []struct {
		name    string
		promise string
		kind    string
		spoil   func(l *ledger, o *standin.Outcome, run *standin.Run)
	}{
		{"a doubled send", "at most one run", standin.Unsafe, func(l *ledger, _ *standin.Outcome, run *standin.Run) {
			l.noteRun(*run)
		}},
		{"a false 503", "not run is true", standin.Stream, func(_ *ledger, o *standin.Outcome, _ *standin.Run) {
			o.Status = http.StatusServiceUnavailable
		}},
		{
			"an answer to another request", "whole answer to its own request", standin.Safe,
			func(_ *ledger, o *standin.Outcome, _ *standin.Run) { o.Answer = standin.Body("2") },
		},
		{
			"a cut stream passed off as whole", "whole answer to its own request", standin.Stream,
			func(_ *ledger, o *standin.Outcome, _ *standin.Run) { o.Answer = standin.Event("1", 1) },
		},
		{
			"a success without a run", "whole answer to its own request", standin.Safe,
			func(l *ledger, _ *standin.Outcome, run *standin.Run) { run.RequestID = "2"; _ = l },
		},
		{"a key that is gone", "revocation", standin.Safe, func(l *ledger, o *standin.Outcome, _ *standin.Run) {
			l.noteRevoked("k")
			o.Sent = time.Now().Add(2 * RevokeMs * time.Millisecond)
		}},
		{
			"another tenant", "tenant of the key", standin.Safe,
			func(_ *ledger, _ *standin.Outcome, run *standin.Run) { run.Tenant = "forged" },
		},
		{
			"a key that was passed on", "headers are the system's", standin.Safe,
			func(_ *ledger, _ *standin.Outcome, run *standin.Run) { run.Key = true },
		},
		{
			"a longer deadline", "deadline", standin.Safe,
			func(_ *ledger, _ *standin.Outcome, run *standin.Run) { run.DeadlineMs = 1001 },
		},
		{
			"work for a server that leaves", "no new work after leaving", standin.Safe,
			func(l *ledger, _ *standin.Outcome, run *standin.Run) {
				leaves(l, run, leaveSpan+lateSlack+time.Millisecond)
			},
		},
	} {
		t.Run("finds "+c.name, func(t *testing.T) {
			l, o, run := sound(c.kind)
			c.spoil(l, o, run)
			l.noteRun(*run)
			l.noteOutcome(*o)
			assertFinds(t, l, c.promise)
		})
	}
}

// leaves has a run begin some time after its server said that it leaves.
func leaves(l *ledger, run *standin.Run, after time.Duration) {
	l.timed = true
	l.left[run.Server] = time.Now().Add(-after)
	run.Began = time.Now()
}

func TestLeavingBoundHoldsForCalmBoxes(t *testing.T) {
	const late = leaveSpan + time.Second
	for _, c := range []struct {
		name string
		// struck is what was disturbed, and how long before the run that ended.
		struck string
		before time.Duration
		found  int
	}{
		{"a calm box", "other", 0, 1},
		{"a box that is disturbed", "b", 0, 0},
		{"a box that was disturbed until the server left", "b", late, 0},
		{"a box that was disturbed long before", "b", late + contactSpan + time.Second, 1},
		{"a fleet that is disturbed", everywhere, 0, 0},
		{"a server that is disturbed", "s", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, o, run := sound(standin.Safe)
			o.Box = "b"
			leaves(l, run, late)
			s := l.touch.begin(c.struck, run.Began.Add(-c.before-time.Second))
			s.to = run.Began.Add(-c.before)
			l.noteRun(*run)
			l.noteOutcome(*o)
			assert.Len(t, l.check(), c.found)
		})
	}
	t.Run("is not checked where the machine may be slow", func(t *testing.T) {
		l, o, run := sound(standin.Safe)
		leaves(l, run, late)
		l.timed = false
		l.noteRun(*run)
		l.noteOutcome(*o)
		assert.Empty(t, l.check())
	})
}
