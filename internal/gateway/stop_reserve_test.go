package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

// TestStopReserve guards against a process with little processor time that is killed before it has answered what
// outlasts the grace period, and against one that ends much too early.
func TestStopReserve(t *testing.T) {
	const graceMs = 8 * clock.Second
	for _, c := range []struct {
		name           string
		stallMs        clock.Millis
		minMs, maxMs   clock.Millis
		minLastWriteMs clock.Millis
	}{
		{"no stalls", 0, exitReserveMs, exitReserveMs, 100},
		{"stalls of 80 ms", 80, 3 * 80, graceMs / 12, 2 * 80},
		{"stalls of a second", 1000, exitReserveMs, graceMs / 12, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				b := f.box(1)
				for range 10 * stallPeriods {
					b.stalls.observe(b.stalls.last() + housekeepingIntervalMs + c.stallMs)
				}
				reserve := b.exitReserve()
				assert.GreaterOrEqual(f.t, reserve, c.minMs)
				assert.LessOrEqual(f.t, reserve, c.maxMs)
				assert.GreaterOrEqual(f.t, reserve*lastResponsesPercent/percent, c.minLastWriteMs)
			})
		})
	}
}

// TestStopCutsInLastPart guards against requests that are cut before the last part of a grace period, whatever it is and
// however long the process was stalled and however many requests run.
func TestStopCutsInLastPart(t *testing.T) {
	const manyRequests = 10_000
	for _, graceS := range []float64{2, 3, 4, 8, 30} {
		for _, stallMs := range []clock.Millis{0, 80, clock.Second, 5 * clock.Second} {
			t.Run(fmt.Sprintf("grace %v s, stall %d ms", graceS, stallMs), func(t *testing.T) {
				runWithFleet(t, func(f *fleet) {
					b := f.box(1, withGrace(graceS))
					f.advanceMonotonic(stallMs)
					now := b.clock.Monotonic()
					b.beginStop()
					b.stalls.usualMs.Add(int64(stallMs))
					assert.LessOrEqual(f.t, b.stopStart(), now)
					leastMs := shutdownGrace(b.Settings()) * (cutDivisor - 1) / cutDivisor
					assert.GreaterOrEqual(f.t, b.graceLeftMs(), leastMs)
					b.requests.Add(manyRequests)
					defer b.requests.Add(-manyRequests)
					b.supply.observe(stallMs)
					assert.GreaterOrEqual(f.t, b.graceLeftMs(), leastMs)
				})
			})
		}
	}
}

// slowListener returns connections whose first writes take a time each, one after the other.
type slowListener struct {
	net.Listener
	turn  chan struct{}
	write time.Duration
	ended <-chan struct{}
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &slowConn{Conn: conn, awaitTurn: sync.OnceFunc(l.awaitTurn)}, err
}

func (l slowListener) awaitTurn() {
	select {
	case l.turn <- struct{}{}:
		time.Sleep(l.write)
		<-l.turn
	case <-l.ended:
	}
}

type slowConn struct {
	net.Conn
	awaitTurn func()
}

// Write implements net.Conn.
func (c *slowConn) Write(data []byte) (int, error) {
	c.awaitTurn()
	return c.Conn.Write(data)
}

// TestStopAnswersAllThatOutlastGrace guards against requests without a response since more outlast the grace period
// than the process can answer in a fixed time.
func TestStopAnswersAllThatOutlastGrace(t *testing.T) {
	for _, c := range []struct {
		name     string
		requests int
		// stallMs is for how long the process gets no processor time before it would begin with the responses.
		stallMs clock.Millis
	}{
		{"in time", 1000, 0},
		{"after a stall", 900, 1200},
		{"after a stall that outlasts the grace period", 40, 3000},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) { assertAllAnswered(f, c.requests, c.stallMs) })
		})
	}
}

// assertAllAnswered stops a box while requests hang, and checks that all have a response at the end.
func assertAllAnswered(f *fleet, requests int, stallMs clock.Millis) {
	turn := make(chan struct{}, 1)
	f.wrapListener = func(l net.Listener) net.Listener {
		return slowListener{Listener: l, turn: turn, write: 200 * time.Microsecond, ended: f.t.Context().Done()}
	}
	f.upstreamWithSlots("u1", "d", requests, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	b := f.box(1, withGrace(6))
	answered := atomic.Int64{}
	b.stop()
	advance(f.t, 2500*time.Millisecond)
	for range requests {
		caller := b.connect(b.settings.CallersAddress)
		caller.write(requestText("/unsafe/", "X-Deadline: 60000\r\nContent-Length: 0\r\n"))
		go func() {
			if _, err := http.ReadResponse(caller.reader, nil); err == nil {
				answered.Add(1)
			}
		}()
	}
	advance(f.t, 2*time.Second)
	f.advanceMonotonic(stallMs)
	advance(f.t, 1500*time.Millisecond)
	b.assertStopped()
	assert.EqualValues(f.t, requests, answered.Load())
}
