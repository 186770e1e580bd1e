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
	answerRule  = "a response to each whole request"
	callerRule  = "a response to callers of each kind"
)

// countViolations counts the violations of a guarantee.
func countViolations(h *history, guarantee string) int {
	count := 0
	for _, v := range h.check() {
		count += boolInt(v.Guarantee == guarantee)
	}
	return count
}

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
		{"a connection that only the link opened", 0, 100 * ms, func(h *history, o *standin.Outcome) {
			h.forwarded[o.Box] = func(address string) bool { return address != o.Local }
		}},
		{"a connection that the link passed on", 1, 100 * ms, func(h *history, o *standin.Outcome) {
			h.forwarded[o.Box] = func(address string) bool { return address == o.Local }
		}},
		{"a quota of processor time", 1, 100 * ms, func(h *history, o *standin.Outcome) {
			h.disturbances.begin(o.Box, o.Sent).share = ms
		}},
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
			assert.Equal(t, c.found, countViolations(h, plannedRule))
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
		{"a box under a quota", 1, maxLostOnKept + 1, func(h *history, o *standin.Outcome) {
			h.disturbances.begin(o.Box, o.Sent).share = time.Millisecond
		}},
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
			assert.Equal(t, c.found, countViolations(h, keptRule))
		})
	}
}

// killedBefore has a box killed 3 ms before it got a request, whose connection was opened, and whose link was disturbed,
// at times relative to the end of the box, 1 ms before the request, and to the request.
func killedBefore(opened, disturbed time.Duration) func(h *history, o *standin.Outcome) {
	return func(h *history, o *standin.Outcome) {
		killed, ended := o.Sent.Add(-3*time.Millisecond), o.Sent.Add(-time.Millisecond)
		openedAt, disturbedAt := ended.Add(opened), o.Sent.Add(disturbed)
		h.kills[o.Box], h.ends[o.Box] = []time.Time{killed}, []time.Time{ended}
		h.openedBy[o.Box] = func(address string, at time.Time) bool { return address == o.Local && openedAt.Before(at) }
		h.interfered[o.Box] = func(_ string, from, to time.Time) bool {
			return !disturbedAt.Before(from) && !disturbedAt.After(to)
		}
	}
}

// TestFindsWholeRequestWithoutResponse guards against boxes that close connections of which they read nothing.
func TestFindsWholeRequestWithoutResponse(t *testing.T) {
	const ms = time.Millisecond
	start := time.Now()
	for _, c := range []struct {
		name   string
		found  int
		change func(h *history, o *standin.Outcome)
	}{
		{"a request at any time", 1, nil},
		{"a new connection", 1, func(_ *history, o *standin.Outcome) { o.Kept = false }},
		{"a box under a quota", 1, func(h *history, o *standin.Outcome) {
			h.disturbances.begin(o.Box, o.Sent).share = ms
		}},
		{"a paused box", 1, func(h *history, o *standin.Outcome) { h.disturbances.begin(o.Box, o.Sent) }},
		{"a close that crossed the request", 0, func(_ *history, o *standin.Outcome) { o.Ended = o.Written.Add(lossSlack) }},
		{"a request that was not sent whole", 0, func(_ *history, o *standin.Outcome) { o.Written = time.Time{} }},
		{"a client that left", 0, func(_ *history, o *standin.Outcome) { o.Err = "context canceled" }},
		{"a route's timeout that was reached", 0, func(_ *history, o *standin.Outcome) {
			o.Ended = o.Sent.Add(standin.RouteTimeoutMs*ms - ms)
		}},
		{"a server that broke off", 0, func(h *history, o *standin.Outcome) { h.works[o.ID] = []*work{{brokeOff: true}} }},
		{"a box that was killed", 0, func(h *history, o *standin.Outcome) {
			h.kills[o.Box] = []time.Time{o.Sent.Add(-ms), o.Ended}
		}},
		{"a box that was killed and had not ended", 0, func(h *history, o *standin.Outcome) {
			h.kills[o.Box], h.ends[o.Box] = []time.Time{o.Sent.Add(-2 * ms)}, []time.Time{o.Sent.Add(-3 * ms), o.Sent}
		}},
		{"a box that was killed before", 1, func(h *history, o *standin.Outcome) {
			h.kills[o.Box] = []time.Time{o.Sent.Add(-ms)}
		}},
		{"a box that was killed before, on a connection whose end the link held up", 0, killedBefore(-2*ms, -2*ms)},
		{"a box that was killed before, on a connection that was opened since", 1, killedBefore(0, -2*ms)},
		{"a box that was killed before, with an undisturbed link", 1, killedBefore(-2*ms, -4*ms)},
		{"a port that the soak held", 0, func(h *history, o *standin.Outcome) {
			h.changedStarts[o.Box] = []*interval{{from: o.Sent, to: o.Sent.Add(ms)}}
		}},
		{"a link that closed the connection", 0, func(h *history, o *standin.Outcome) {
			h.interfered[o.Box] = func(address string, _, to time.Time) bool { return address == o.Local && to.Equal(o.Ended) }
		}},
		{"a server at work until the end of the grace period", 0, func(h *history, o *standin.Outcome) {
			h.stops[o.Box] = []time.Time{o.Ended.Add(-shutdownGraceS * time.Second)}
			o.Sent = o.Sent.Add(-time.Second)
			h.works[o.ID] = []*work{{from: o.Sent, linkDisturbed: never}}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory()
			o := lostRequest(h, "1", start)
			clear(h.works)
			if c.change != nil {
				c.change(h, o)
			}
			h.recordOutcome(*o)
			assert.Equal(t, c.found, countViolations(h, answerRule))
			assert.Equal(t, c.found, h.lost.Unanswered)
		})
	}
}

// TestFindsCallersWithoutResponses guards against boxes that never respond to one kind of caller.
func TestFindsCallersWithoutResponses(t *testing.T) {
	start := time.Now()
	stopped := func(ago time.Duration) func(h *history, _ *standin.Outcome) {
		return func(h *history, _ *standin.Outcome) { h.stops["b"] = []time.Time{start.Add(-ago)} }
	}
	for _, c := range []struct {
		name                         string
		found                        int
		caller                       string
		unanswered, answered, change int
		changed                      func(h *history, o *standin.Outcome)
	}{
		{"long bodies that can't be written", 1, callerBody, 4, 100, 0, nil},
		{"as many as may be", 0, callerBody, maxLostOnKept, 0, 0, nil},
		{"callers that rest", 0, callerRests, 4, 0, 0, nil},
		{"other callers", 0, "", 4, 0, 0, nil},
		{"half-closed connections in a stop", 1, callerHalf, 4, 11, 1, stopped(time.Second)},
		{"closes that cross some requests", 0, callerHalf, 4, 12, 1, stopped(time.Second)},
		{"connections that end with their streams", 1, callerNext, 4, 11, 1, stopped(announceSpan)},
		{"a new process", 1, callerNext, 4, 12, 1, func(h *history, _ *standin.Outcome) {
			h.stops["b"], h.ends["b"] = []time.Time{start.Add(-3)}, []time.Time{start.Add(-2)}
		}},
		{"a box that was killed", 0, callerBody, 4, 0, 1, func(h *history, o *standin.Outcome) {
			h.kills[o.Box] = []time.Time{o.Sent}
		}},
		{"servers that broke off", 0, callerHalf, 4, 0, 1, func(h *history, o *standin.Outcome) {
			h.works[o.ID] = []*work{{brokeOff: true}}
		}},
		{"responses cut in the midst", 1, string(standin.FormHTTP10), 4, 100, 4, func(_ *history, o *standin.Outcome) {
			o.Status = http.StatusOK
		}},
		{"responses that were cut", 1, callerHalf, 4, 0, 4, func(_ *history, o *standin.Outcome) { o.Status = http.StatusOK }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory()
			for i := range c.unanswered + c.answered {
				o := lostRequest(h, strconv.Itoa(i), start)
				delete(h.works, o.ID)
				o.Caller, o.Written, o.Complete = c.caller, time.Time{}, i >= c.unanswered
				if i < c.change {
					c.changed(h, o)
				}
				h.recordOutcome(*o)
			}
			assert.Equal(t, c.found, countViolations(h, callerRule))
		})
	}
}

// TestRecordsPlannedSignalsWhenTheyAreSent guards against a stop that seems to have begun long before its signal was
// sent, since what the soak reads of the process before takes long on a busy machine.
func TestRecordsPlannedSignalsWhenTheyAreSent(t *testing.T) {
	p := startScript(t, "trap '' TERM; echo"+waitForSignal)
	planned := false
	p.onPlanned = func(syscall.Signal) {
		planned = true
		assert.NotNil(t, p.asked.waited, "the process was read before")
	}
	require.NoError(t, p.signal(syscall.SIGTERM))
	assert.True(t, planned)
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
