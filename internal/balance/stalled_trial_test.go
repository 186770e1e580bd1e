package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// TestStalledTrial guards against sending more than one caller's request at a time to a stalled pool.
func TestStalledTrial(t *testing.T) {
	stalled := func() *dialed {
		d := newDialed(3)
		d.SetStalled("p")
		return d
	}
	pick := func(d *dialed, mayRetry bool) error {
		_, err := d.Pick(PickRequest{Pool: "p", MayRetry: mayRetry})
		return err
	}
	t.Run("none before it is due", func(t *testing.T) {
		d := stalled()
		d.now += stalledTrialIntervalMs - 1
		d.AllowStalledTrial("p")
		require.ErrorIs(t, pick(d, true), ErrPartitioned)
	})
	t.Run("one each interval", func(t *testing.T) {
		d := stalled()
		for range 3 {
			d.now += stalledTrialIntervalMs
			d.AllowStalledTrial("p")
			require.NoError(t, pick(d, true))
			d.AllowStalledTrial("p")
			require.ErrorIs(t, pick(d, true), ErrPartitioned)
		}
	})
	t.Run("one that can't be retried only if there is no other", func(t *testing.T) {
		d := stalled()
		d.now += stalledTrialIntervalMs
		d.AllowStalledTrial("p")
		require.ErrorIs(t, pick(d, false), ErrPartitioned)
		d.now += stalledTrialIntervalMs
		d.AllowStalledTrial("p")
		require.NoError(t, pick(d, false))
	})
	t.Run("a response ends the stall", func(t *testing.T) {
		d := stalled()
		d.now += stalledTrialIntervalMs
		d.AllowStalledTrial("p")
		lease, err := d.Pick(PickRequest{Pool: "p", MayRetry: true})
		require.NoError(t, err)
		d.now += clock.Millis(10)
		lease.RecordContact()
		assert.Empty(t, d.StalledPools())
		require.NoError(t, pick(d, false))
	})
}
