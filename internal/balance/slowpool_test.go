package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// TestRespondsWithin guards against retries in a pool in which no upstream would respond sooner.
func TestRespondsWithin(t *testing.T) {
	const within = clock.Second
	send := func(d *dialed) *Lease {
		lease, err := d.Pick(PickRequest{Pool: "p"})
		require.NoError(t, err)
		require.NoError(t, lease.CheckBeforeSend())
		return lease
	}
	respond := func(d *dialed, after clock.Millis) {
		lease := send(d)
		d.now += after
		lease.RecordAnswered()
		lease.Release(Succeeded)
	}
	t.Run("an unused pool", func(t *testing.T) {
		assert.True(t, newDialed(3).RespondsWithin("p", within))
	})
	t.Run("responses come early", func(t *testing.T) {
		d := newDialed(3)
		for range 20 {
			respond(d, 50)
			send(d)
			respond(d, 50)
		}
		d.now += within / 2
		assert.True(t, d.RespondsWithin("p", within), "one upstream is silent")
	})
	t.Run("responses come late", func(t *testing.T) {
		d := newDialed(3)
		for range 60 {
			respond(d, 1200)
		}
		assert.False(t, d.RespondsWithin("p", within))
		assert.True(t, d.RespondsWithin("p", 4*within))
		d.now += firstByteTTLMs
		assert.True(t, d.RespondsWithin("p", within), "what was seen before says nothing now")
	})
	t.Run("most attempts have no response", func(t *testing.T) {
		d := newDialed(6)
		for range minSlowAttempts {
			send(d)
		}
		d.now += within
		assert.False(t, d.RespondsWithin("p", within))
	})
}
