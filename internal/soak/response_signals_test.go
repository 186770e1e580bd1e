package soak

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/platform/standin"
)

// historyWithSignal returns a history of requests that a box sent to a server every 200 ms. signal
// sets the signal in the server's response to the first.
func historyWithSignal(count int, signal func(a *standin.Arrival)) *history {
	h := newHistory()
	began := time.Now()
	for i := range count {
		at := began.Add(time.Duration(i) * 200 * time.Millisecond)
		call := standin.Call{ID: fmt.Sprint("w", i), Kind: standin.Safe}
		a := standin.Arrival{RequestID: call.ID, Server: "s@1", At: at}
		if i == 0 {
			signal(&a)
		}
		h.recordArrival(a)
		h.recordOutcome(standin.Outcome{
			Call: call, Box: "b", Sent: at, Ended: at, Status: http.StatusServiceUnavailable, Complete: true,
		})
	}
	return h
}

// TestCheckSignals records requests as boxes would send them that ignore servers' signals.
func TestCheckSignals(t *testing.T) {
	const guarantee = "Retry-After is respected"
	backoff := func(a *standin.Arrival) { a.BackoffMs = 2000 }
	drains := func(a *standin.Arrival) { a.Draining = true }
	t.Run("finds three requests in a backoff period", func(t *testing.T) {
		// 1.0, 1.2 and 1.4 s after the refusal.
		assertFinds(t, historyWithSignal(8, backoff), guarantee)
	})
	t.Run("accepts two, and any directly after the refusal or after the backoff", func(t *testing.T) {
		assert.Empty(t, historyWithSignal(7, backoff).check())
		assert.Empty(t, historyWithSignal(20, func(a *standin.Arrival) { a.BackoffMs = 1300 }).check())
	})
	t.Run("does not apply to a disturbed box", func(t *testing.T) {
		h := historyWithSignal(8, backoff)
		h.disturbances.begin("b", time.Now())
		assert.Empty(t, h.check())
	})
	t.Run("does not apply if the server's link was disturbed", func(t *testing.T) {
		h := historyWithSignal(8, backoff)
		h.disturbances.begin("s", time.Now())
		assert.Empty(t, h.check())
	})
	t.Run("does not apply to a refusal whose client left, nor while the box was separated from the servers", func(t *testing.T) {
		h := historyWithSignal(8, backoff)
		h.outcomes[0].Err = context.Canceled.Error()
		assert.Empty(t, h.check())
		h = historyWithSignal(8, backoff)
		h.partitions = []*partitionOf{{boxes: []string{"b"}, interval: interval{from: time.Now()}}}
		assert.Empty(t, h.check())
	})
	t.Run("does not apply to a refusal of an attempt that the box had given up", func(t *testing.T) {
		h := historyWithSignal(8, backoff)
		h.arrivals[0].Abandoned = true
		assert.Empty(t, h.check())
		h = historyWithSignal(8, backoff)
		h.arrivals[7].Abandoned = true
		assertFinds(t, h, guarantee)
	})
	t.Run("does not count a request sent before the backoff that a link held back", func(t *testing.T) {
		h := historyWithSignal(8, backoff)
		h.arrivals[7].EarliestSend = h.arrivals[0].At
		assert.Empty(t, h.check())
		h.arrivals[7].EarliestSend = h.arrivals[7].At.Add(-100 * time.Millisecond)
		assertFinds(t, h, guarantee)
	})
	t.Run("finds a request sent too late after a Server-Leaving answer", func(t *testing.T) {
		assertFinds(t, historyWithSignal(13, drains), "no new work after a Server-Leaving answer")
		assert.Empty(t, historyWithSignal(12, drains).check())
	})
}
