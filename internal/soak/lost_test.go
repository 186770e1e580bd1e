package soak

import (
	"io"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/platform/standin"
)

const (
	keptRule    = "no lost request on a kept connection"
	plannedRule = "no lost request beside planned work"
)

func never(time.Time, time.Time) bool { return false }

// lostRequest returns a request that was sent whole on a kept connection, passed on, and cut 500 ms later. A server was
// still at work on it.
func lostRequest(h *history, id string, sent time.Time) *standin.Outcome {
	h.recordKey("k", "t")
	h.works[id] = []*work{{server: "s", from: sent, to: sent.Add(500 * time.Millisecond), linkDisturbed: never}}
	return &standin.Outcome{
		Call: standin.Call{ID: id, Kind: standin.Safe, Key: "k", DeadlineMs: 6000}, Box: "b",
		Sent: sent, Written: sent, Ended: sent.Add(500 * time.Millisecond), Kept: true, Err: io.EOF.Error(),
	}
}

// TestFindsRequestLostBesidePlannedWork guards against stops, reloads and configurations that cut requests.
func TestFindsRequestLostBesidePlannedWork(t *testing.T) {
	const ms = time.Millisecond
	start := time.Now()
	for _, c := range []struct {
		name  string
		found int
		// stopped is how long before the request its box got SIGTERM, or 0 if it did not.
		stopped time.Duration
		change  func(h *history, o *standin.Outcome)
	}{
		{"a request that was passed on before SIGTERM", 1, -100 * ms, nil},
		{"a request that was passed on after SIGTERM", 1, 2 * time.Second, nil},
		{"a stream that was cut", 1, 100 * ms, func(_ *history, o *standin.Outcome) { o.Status = http.StatusOK }},
		{"a request of no planned work", 0, 0, nil},
		{"a request after the stop", 0, stopSpan, nil},
		{"a stop of another box", 0, 100 * ms, func(_ *history, o *standin.Outcome) { o.Box = "other" }},
		{"a request that was not passed on but read", 1, 100 * ms, func(h *history, _ *standin.Outcome) { clear(h.works) }},
		{"a close that crossed the request", 0, 100 * ms, func(h *history, o *standin.Outcome) {
			clear(h.works)
			o.Ended = o.Written.Add(lossSlack)
		}},
		{"a request that was not sent whole", 0, 100 * ms, func(_ *history, o *standin.Outcome) { o.Written = time.Time{} }},
		{"a complete response", 0, 100 * ms, func(_ *history, o *standin.Outcome) {
			o.Complete, o.Status = true, http.StatusBadGateway
		}},
		{"a server that broke off", 0, 100 * ms, func(h *history, o *standin.Outcome) { h.works[o.ID][0].brokeOff = true }},
		{"a server whose link was disturbed", 0, 100 * ms, func(h *history, o *standin.Outcome) {
			h.works[o.ID][0].linkDisturbed = func(_, to time.Time) bool { return to.Equal(o.Ended) }
		}},
		{"a server that broke off before another refused to go on", 0, 100 * ms, func(h *history, o *standin.Outcome) {
			o.Status = http.StatusOK
			h.works[o.ID] = append([]*work{{brokeOff: true}}, h.works[o.ID]...)
		}},
		{"a client that left", 0, 100 * ms, func(_ *history, o *standin.Outcome) { o.Err = "context canceled" }},
		{"a deadline that was reached", 0, 100 * ms, func(_ *history, o *standin.Outcome) { o.DeadlineMs = 500 }},
		{"a route's timeout that was reached", 0, 100 * ms, func(_ *history, o *standin.Outcome) {
			o.Ended = o.Sent.Add(standin.RouteTimeoutMs*ms - ms)
		}},
		{"a cut just before the route's timeout", 1, 500 * ms, func(_ *history, o *standin.Outcome) {
			o.Ended = o.Sent.Add(standin.RouteTimeoutMs*ms - 2*ms)
		}},
		{"a server at work until the end of the grace period", 0, 2900 * ms, func(h *history, o *standin.Outcome) {
			h.works[o.ID][0].to = time.Time{}
			o.Ended = o.Sent.Add(1000 * ms)
		}},
		{"another server that had ended its work", 0, 2900 * ms, func(h *history, o *standin.Outcome) {
			h.works[o.ID] = append([]*work{{from: o.Sent, linkDisturbed: never}}, h.works[o.ID]...)
			o.Ended = o.Sent.Add(1000 * ms)
		}},
		{"a SIGHUP beside such a server", 0, 2900 * ms, func(h *history, o *standin.Outcome) {
			h.works[o.ID][0].to = time.Time{}
			h.reloads["b"] = []time.Time{o.Sent}
			o.Ended = o.Sent.Add(1000 * ms)
		}},
		{"a request that was sent late in the grace period", 1, 3100 * ms, func(h *history, o *standin.Outcome) {
			h.works[o.ID][0].to = time.Time{}
		}},
		{"a cut before the last part of the grace period", 1, 2000 * ms, func(h *history, o *standin.Outcome) {
			h.works[o.ID][0].to = time.Time{}
		}},
		{"a kill", 0, 100 * ms, func(h *history, o *standin.Outcome) { h.disturbances.begin(o.Box, o.Ended) }},
		{"a planned stop", 1, 100 * ms, func(h *history, o *standin.Outcome) {
			h.disturbances.begin(o.Box, o.Sent.Add(-100*ms)).planned = true
		}},
		{"a cut after SIGHUP", 1, 0, func(h *history, o *standin.Outcome) { h.reloads["b"] = []time.Time{o.Sent} }},
		{"a request sent long after SIGHUP", 0, 0, func(h *history, o *standin.Outcome) {
			h.reloads["b"] = []time.Time{o.Sent.Add(-configSpan - ms)}
		}},
		{"a cut beside a configuration", 1, 0, func(h *history, o *standin.Outcome) {
			h.configs[allBoxes] = []*interval{{from: o.Sent, to: o.Sent}}
		}},
		{"a cut long after a configuration", 0, 0, func(h *history, o *standin.Outcome) {
			h.configs[allBoxes] = []*interval{{to: o.Ended.Add(-configSpan - configSlack - ms)}}
		}},
		{"a box that cuts as often otherwise", 0, 0, func(h *history, o *standin.Outcome) {
			h.configs[allBoxes] = []*interval{{from: o.Sent, to: o.Sent}}
			h.recordOutcome(*lostRequest(h, "2", o.Sent.Add(-time.Minute)))
		}},
		{"a request that had used its time beside a configuration", 0, 0, func(h *history, o *standin.Outcome) {
			h.configs[allBoxes] = []*interval{{from: o.Sent, to: o.Sent}}
			o.Ended = o.Sent.Add(standin.RouteTimeoutMs * ms * usedTimeParts / 10)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory()
			o := lostRequest(h, "1", start)
			if c.stopped != 0 {
				h.stops["b"] = []time.Time{start.Add(-c.stopped)}
			}
			if c.change != nil {
				c.change(h, o)
			}
			h.recordOutcome(*o)
			found := h.check()
			if assert.Len(t, found, c.found) && c.found > 0 {
				assert.Equal(t, plannedRule, found[0].Guarantee)
			}
		})
	}
}

// TestFindsRequestsLostOnKeptConnections guards against boxes that drop requests while nothing disturbs them.
func TestFindsRequestsLostOnKeptConnections(t *testing.T) {
	start := time.Now()
	for _, c := range []struct {
		name  string
		found int
		count int
		// change changes the first request.
		change func(h *history, o *standin.Outcome)
	}{
		{"as many as may be", 0, maxLostOnKept, nil},
		{"one more", 1, maxLostOnKept + 1, nil},
		{"a new connection", 0, maxLostOnKept + 1, func(_ *history, o *standin.Outcome) { o.Kept = false }},
		{"a response that was cut", 0, maxLostOnKept + 1, func(_ *history, o *standin.Outcome) { o.Status = 200 }},
		{"a request that was not passed on", 0, maxLostOnKept + 1, func(h *history, o *standin.Outcome) { delete(h.works, o.ID) }},
		{"a server that broke off", 0, maxLostOnKept + 1, func(h *history, o *standin.Outcome) { h.works[o.ID][0].brokeOff = true }},
		{"another box", 0, maxLostOnKept + 1, func(_ *history, o *standin.Outcome) { o.Box = "other" }},
		{"a disturbed box", 0, maxLostOnKept + 1, func(h *history, o *standin.Outcome) {
			h.disturbances.begin(o.Box, o.Sent.Add(-time.Second))
		}},
		{"a partitioned box", 0, maxLostOnKept + 1, func(h *history, o *standin.Outcome) {
			h.partitions = append(h.partitions, &partitionOf{boxes: []string{o.Box}, interval: interval{from: o.Sent}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory()
			for i := range c.count {
				o := lostRequest(h, strconv.Itoa(i), start)
				if i == 0 && c.change != nil {
					c.change(h, o)
				}
				h.recordOutcome(*o)
			}
			found := h.check()
			if assert.Len(t, found, c.found) && c.found > 0 {
				assert.Equal(t, keptRule, found[0].Guarantee)
			}
		})
	}
}

// TestRecordsPlannedSignals guards against a repeated SIGTERM that counts as a stop of its own.
func TestRecordsPlannedSignals(t *testing.T) {
	h := newHistory()
	p := startScript(t, "trap '' TERM HUP; echo"+waitForSignal)
	p.onPlanned = func(s syscall.Signal) { h.recordPlanned("b", s) }
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGCONT} {
		require.NoError(t, p.signal(s))
	}
	assert.Len(t, h.stops["b"], 1)
	assert.Len(t, h.reloads["b"], 1)
}
