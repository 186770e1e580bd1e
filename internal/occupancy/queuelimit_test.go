package occupancy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// TestQueueLimit guards against permits for requests that must be late, and against refusing those that can be in time.
func TestQueueLimit(t *testing.T) {
	const slots = 4
	upstream := namekey.Of("u")
	now := clock.Millis(1000)
	number := uint32(0)
	newLedger := func() *Ledger { return New(func() clock.Millis { return now }) }
	acquire := func(l *Ledger, within clock.Millis) (PermitID, bool) {
		number++
		id := PermitID{Box: "box", Number: number}
		return id, l.AcquireWithin(id, upstream, slots, within)
	}
	// learn makes the ledger know a service time.
	learn := func(l *Ledger, service clock.Millis) {
		for range 200 {
			id, _ := acquire(l, 10_000)
			now += service
			l.Release(id, true)
		}
	}
	// fill acquires permits until one is refused, and returns their number. No slot has been free for a while.
	fill := func(l *Ledger, within clock.Millis) (count int) {
		for count = range 1001 {
			if count == slots {
				now += within
			}
			if _, ok := acquire(l, within); !ok {
				break
			}
		}
		return count
	}
	t.Run("the queue is as long as its last request can wait", func(t *testing.T) {
		l := newLedger()
		learn(l, 20)
		// 140 ms less 3 x 20 ms leave 80 ms, in which four slots end 16 requests.
		assert.Equal(t, slots+16, fill(l, 140))
	})
	t.Run("a request that is late gets a free slot", func(t *testing.T) {
		l := newLedger()
		learn(l, 20)
		assert.Equal(t, slots, fill(l, 1))
	})
	t.Run("nothing is refused in a short burst", func(t *testing.T) {
		l := newLedger()
		learn(l, 20)
		for range 100 {
			_, ok := acquire(l, 140)
			assert.True(t, ok)
		}
		now += 140
		_, ok := acquire(l, 140)
		assert.False(t, ok, "the queue stands")
	})
	t.Run("nothing is refused while the service time is unknown", func(t *testing.T) {
		assert.Equal(t, 1000, fill(newLedger(), 1))
	})
	t.Run("it follows an upstream that becomes slow while requests wait", func(t *testing.T) {
		l := newLedger()
		learn(l, 20)
		queue := []PermitID{}
		for range 2 * slots {
			id, _ := acquire(l, 10_000)
			queue = append(queue, id)
		}
		for range 200 {
			// Four slots with a service time of 100 ms end a request each 25 ms.
			now += 25
			l.Release(queue[0], true)
			id, _ := acquire(l, 10_000)
			queue = append(queue[1:], id)
		}
		assert.InDelta(t, 100, l.upstreams[upstream].serviceMs, 5)
	})
	t.Run("requests that failed say nothing of the service time", func(t *testing.T) {
		l := newLedger()
		learn(l, 20)
		for range 200 {
			id, _ := acquire(l, 140)
			l.Release(id, false)
		}
		assert.InDelta(t, 20, l.upstreams[upstream].serviceMs, 1)
	})
	t.Run("a lost release takes capacity only for a short time", func(t *testing.T) {
		l := newLedger()
		learn(l, 20)
		fill(l, 140)
		now += queuedTTLFactor * 140
		l.Expire()
		assert.Zero(t, l.InUse(upstream))
	})
	t.Run("upstreams that are no longer used are forgotten", func(t *testing.T) {
		l := newLedger()
		learn(l, 20)
		now += idleTTLMs
		l.Expire()
		assert.Empty(t, l.upstreams)
	})
}
