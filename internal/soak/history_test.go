package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/platform/standin"
)

// successfulRequest returns a history that holds only the key of a successful request,
// and the outcome and the run of that request, which are still to be recorded.
func successfulRequest(kind string) (*history, *standin.Outcome, *standin.Run) {
	h := newHistory()
	h.recordKey("k", "t")
	o := &standin.Outcome{
		Call: standin.Call{ID: "1", Kind: kind, Key: "k", DeadlineMs: 1000}, Sent: time.Now(), Status: http.StatusOK,
		Complete: true, Answer: standin.Body("1"), Seal: "seal-1", Echo: "1",
	}
	return h, o, &standin.Run{RequestID: "1", Server: "s", Kind: kind, Tenant: "t", DeadlineMs: 900}
}

func assertFinds(t *testing.T, h *history, guarantee string) {
	t.Helper()
	found := h.check()
	if assert.NotEmpty(t, found) {
		assert.Equal(t, guarantee, found[0].Guarantee)
	}
}

// TestCheck violates each guarantee once, as a router with that fault would.
func TestCheck(t *testing.T) {
	t.Run("finds nothing in a correct history", func(t *testing.T) {
		h, o, run := successfulRequest(standin.Unsafe)
		h.recordRun(*run)
		h.recordOutcome(*o)
		assert.Empty(t, h.check())
	})
	for _, c := range []struct {
		name      string
		guarantee string
		kind      string
		corrupt   func(h *history, o *standin.Outcome, run *standin.Run)
	}{
		{"a doubled send", "at most one run", standin.Unsafe, func(h *history, _ *standin.Outcome, run *standin.Run) {
			h.recordRun(*run)
		}},
		{"a false 503", "no run after a not-run status", standin.Stream, func(_ *history, o *standin.Outcome, _ *standin.Run) {
			o.Status = http.StatusServiceUnavailable
		}},
		{
			"an answer to another request", "complete answer to its own request", standin.Safe,
			func(_ *history, o *standin.Outcome, _ *standin.Run) { o.Answer = standin.Body("2") },
		},
		{
			"a cut stream reported as complete", "complete answer to its own request", standin.Stream,
			func(_ *history, o *standin.Outcome, _ *standin.Run) { o.Answer = standin.Event("1", "v1", 1) },
		},
		{
			"a success without a run", "complete answer to its own request", standin.Safe,
			func(h *history, _ *standin.Outcome, run *standin.Run) { run.RequestID = "2"; _ = h },
		},
		{"a revoked key", "revocation", standin.Safe, func(h *history, o *standin.Outcome, _ *standin.Run) {
			h.recordRevocation("k")
			o.Sent = time.Now().Add(2 * RevocationBoundMs * time.Millisecond)
		}},
		{
			"another tenant", "tenant of the key", standin.Safe,
			func(_ *history, _ *standin.Outcome, run *standin.Run) { run.Tenant = "forged" },
		},
		{
			"a key that was forwarded", "no key or forged header reaches a server", standin.Safe,
			func(_ *history, _ *standin.Outcome, run *standin.Run) { run.Key = true },
		},
		{
			"a longer deadline", "deadline", standin.Safe,
			func(_ *history, _ *standin.Outcome, run *standin.Run) { run.DeadlineMs = 1001 },
		},
		{
			"work for a draining server", "no new work after draining entry", standin.Safe,
			func(h *history, _ *standin.Outcome, run *standin.Run) {
				startAfterDraining(h, run, maxPropagation+timingSlack+time.Millisecond)
			},
		},
	} {
		t.Run("finds "+c.name, func(t *testing.T) {
			h, o, run := successfulRequest(c.kind)
			c.corrupt(h, o, run)
			h.recordRun(*run)
			h.recordOutcome(*o)
			assertFinds(t, h, c.guarantee)
		})
	}
}

// startAfterDraining makes a run start the given time after its server's draining entry.
func startAfterDraining(h *history, run *standin.Run, after time.Duration) {
	h.timed = true
	h.draining[run.Server] = time.Now().Add(-after)
	run.StartedAt = time.Now()
}

func TestDrainBoundAppliesToUndisturbedBoxes(t *testing.T) {
	const late = maxPropagation + time.Second
	for _, c := range []struct {
		name string
		// disturbed is the name that was disturbed. before is how long before the run the
		// disturbance ended.
		disturbed string
		before    time.Duration
		found     int
	}{
		{"an undisturbed box", "other", 0, 1},
		{"a box that is disturbed", "b", 0, 0},
		{"a box that was disturbed until the draining entry", "b", late, 0},
		{"a box that was disturbed long before", "b", late + undisturbedSpan + time.Second, 1},
		{"a fleet that is disturbed", allBoxes, 0, 0},
		{"a server that is disturbed", "s", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, o, run := successfulRequest(standin.Safe)
			o.Box = "b"
			startAfterDraining(h, run, late)
			s := h.disturbances.begin(c.disturbed, run.StartedAt.Add(-c.before-time.Second))
			s.to = run.StartedAt.Add(-c.before)
			h.recordRun(*run)
			h.recordOutcome(*o)
			assert.Len(t, h.check(), c.found)
		})
	}
	t.Run("is not checked in runs without time bounds, whose machine may be slow", func(t *testing.T) {
		h, o, run := successfulRequest(standin.Safe)
		startAfterDraining(h, run, late)
		h.timed = false
		h.recordRun(*run)
		h.recordOutcome(*o)
		assert.Empty(t, h.check())
	})
}

// TestCheckEvacuation violates the bound of an evacuation once, as a faulty router would.
func TestCheckEvacuation(t *testing.T) {
	start := time.Now()
	check := func(ranAfter, endAfter time.Duration, disturbed bool) []violation {
		h := newHistory()
		h.timed = true
		h.recordZone("server", "zone")
		h.evacuations["zone"] = []*interval{{from: start, to: start.Add(endAfter)}}
		if disturbed {
			h.disturbances["box"] = []*interval{{from: start}}
		}
		h.recordKey("key", "tenant")
		h.recordRun(standin.Run{RequestID: "r", Server: "server", Tenant: "tenant", StartedAt: start.Add(ranAfter)})
		h.recordOutcome(standin.Outcome{Call: standin.Call{ID: "r", Key: "key", Kind: standin.Safe}, Box: "box"})
		return h.check()
	}
	t.Run("work after the bound is a violation", func(t *testing.T) {
		assert.Len(t, check(maxPropagation+2*timingSlack, time.Minute, false), 1)
	})
	t.Run("work within the bound is none", func(t *testing.T) {
		assert.Empty(t, check(maxPropagation, time.Minute, false))
	})
	t.Run("work after the end is none", func(t *testing.T) {
		assert.Empty(t, check(maxPropagation+2*timingSlack, maxPropagation, false))
	})
	t.Run("work of a disturbed box is none", func(t *testing.T) {
		assert.Empty(t, check(maxPropagation+2*timingSlack, time.Minute, true))
	})
}
