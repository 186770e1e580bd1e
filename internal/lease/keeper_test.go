package lease

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/logstream"
)

// TestKeeperRelease guards against a box that acts under a lease again once it reads its own release, or a renewal that
// it appended before.
func TestKeeperRelease(t *testing.T) {
	now, wants := clock.Second, true
	c := clock.New(
		clock.WithNow(func() clock.Millis { return now }), clock.WithMonotonic(func() clock.Millis { return now }),
	)
	k := NewKeeper("lease", "a", logstream.Log{}, func() bool { return wants }, c, zap.NewNop())
	offset := int64(0)
	read := func(action Action) {
		t.Helper()
		data, err := json.Marshal(Record{Action: action, Holder: "a", DurationMs: DurationMs, RequestedMs: k.request()})
		require.NoError(t, err)
		now += clock.Second
		k.applyRecord(backing.Record{Offset: offset, TimeMs: now, Data: data})
		offset++
	}
	assertHeld := func(want bool) {
		t.Helper()
		_, held := k.Held()
		assert.Equal(t, want, held)
	}
	read(Acquire)
	assertHeld(true)
	read(Renew)
	assertHeld(true)
	wants = false
	action, due := k.due()
	require.True(t, due)
	require.Equal(t, Release, action)
	assertHeld(false)
	read(Renew)
	assertHeld(false)
	read(Release)
	assertHeld(false)
	wants = true
	read(Acquire)
	assertHeld(true)
}

// TestKeeperClockSteps guards against a box that acts under a lease which others take for ended, because the time of day
// was set back on it.
func TestKeeperClockSteps(t *testing.T) {
	for _, stepMs := range []clock.Millis{-10 * clock.Second, 0, 10 * clock.Second} {
		t.Run(stepMs.Duration().String(), func(t *testing.T) {
			nowMs, offsetMs, records := clock.Second, 100*clock.Second, []backing.Record{}
			c := clock.New(
				clock.WithNow(func() clock.Millis { return nowMs + offsetMs }),
				clock.WithMonotonic(func() clock.Millis { return nowMs }),
			)
			log := logstream.Log{Append: func(_ context.Context, _ string, data ...json.RawMessage) (int64, error) {
				records = append(records, backing.Record{Offset: int64(len(records)), TimeMs: nowMs, Data: data[0]})
				return 0, nil
			}}
			k := NewKeeper("lease", "a", log, func() bool { return true }, c, zap.NewNop())
			k.maintain(t.Context())
			require.Len(t, records, 1)
			k.applyRecord(records[0])
			acquiredMs := nowMs
			offsetMs += stepMs
			for ; nowMs < acquiredMs+2*DurationMs; nowMs += 100 {
				held, holds := k.Held()
				assert.Equal(t, nowMs < acquiredMs+DurationMs-clockMarginMs, holds, "%d ms after the request", nowMs-acquiredMs)
				if holds {
					assert.Equal(t, acquiredMs+DurationMs-clockMarginMs, held.UntilMs-offsetMs)
				}
			}
		})
	}
}
