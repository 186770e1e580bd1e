package lease

import (
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
	c := clock.New(clock.WithNow(func() clock.Millis { return now }))
	k := NewKeeper("lease", "a", logstream.Log{}, func() bool { return wants }, c, zap.NewNop())
	offset := int64(0)
	read := func(action Action) {
		t.Helper()
		data, err := json.Marshal(Record{Action: action, Holder: "a", DurationMs: DurationMs, RequestedMs: now})
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
