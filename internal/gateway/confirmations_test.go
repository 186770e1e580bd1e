package gateway

import (
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/position"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/pkg/config"
)

// newBoxWithClock returns a box that does not run.
func newBoxWithClock(t *testing.T, monotonic func() clock.Millis) *Box {
	t.Helper()
	adapter := Adapter{Dialect: dialect(), Source: func(clock.Clock, func() config.Gateway) Source { return Source{} }}
	b, err := New(config.Gateway{Box: "a"}, adapter, io.Discard, WithClock(clock.New(clock.WithMonotonic(monotonic))))
	require.NoError(t, err)
	b.registry.OnChange(func([]registry.Change) {})
	return b
}

// upstreamAt returns a change of one upstream at a position.
func upstreamAt(at position.Position) []registry.Change {
	u := registry.Upstream{ID: "u", Pool: "p", Address: "127.0.0.1:1", SoftwareVersion: "v1"}
	return []registry.Change{{Upstream: u, Position: at}}
}

// TestSummaryWhileReadIsApplied guards against a summary that gives an older state the confirmation of a newer one.
func TestSummaryWhileReadIsApplied(t *testing.T) {
	const nowMs clock.Millis = 20_000
	onRead := func() {}
	b := newBoxWithClock(t, func() clock.Millis {
		call := onRead
		onRead = func() {}
		call()
		return nowMs
	})
	adopt := func(version int64, confirmedMs clock.Millis) {
		state, err := routing.New(routing.Content{Version: version})
		require.NoError(t, err)
		b.routingState.Adopt(state, 0)
		b.routingState.Confirm(routing.Confirmation{Version: version, AtMs: confirmedMs})
		b.registry.Apply(upstreamAt(position.At(0, version)))
		b.registry.Confirm(position.At(0, version), confirmedMs)
	}
	adopt(5, 10_000)
	onRead = func() { adopt(6, 19_000) }
	summary := b.stateSummary()
	require.Equal(t, position.At(0, 5), summary.Position)
	assert.Equal(t, clock.Millis(10_000), summary.UpstreamsAgeMs)
	assert.GreaterOrEqual(t, summary.AgeMs, clock.Millis(10_000))
	assert.Equal(t, position.At(0, 6), b.registry.Position(), "the read was applied meanwhile")
}

// TestReadConfirmsItsPosition guards against a read that confirms what came from elsewhere while it waited.
func TestReadConfirmsItsPosition(t *testing.T) {
	b := newBoxWithClock(t, func() clock.Millis { return 20_000 })
	sink := b.sink
	b.registry.ApplySnapshot(upstreamAt(position.At(1, 5)), position.At(1, 5), 0)
	restored := position.At(2, 3)
	b.registry.Merge(registry.Update{Position: restored, Complete: true, Changes: upstreamAt(restored)})
	sink.upstreams(nil, position.At(1, 5), 19_950)
	assert.Zero(t, b.registry.ConfirmedMs(), "a read of the earlier era")
	sink.upstreams(nil, restored, 19_960)
	assert.Equal(t, clock.Millis(19_960), b.registry.ConfirmedMs())
	sink.upstreams(nil, position.At(2, 4), 19_970)
	assert.Equal(t, clock.Millis(19_970), b.registry.ConfirmedMs(), "a record that describes no upstream")
}

// TestVersionBeforeList guards against a list that is in use before a version is known that came and went within a read.
func TestVersionBeforeList(t *testing.T) {
	b := newBoxWithClock(t, func() clock.Millis { return 20_000 })
	sole := []bool{}
	b.registry.OnChange(func(applied []registry.Change) {
		b.applyUpstreams(applied)
		_, _, found := b.origins.versions.Sole("p")
		sole = append(sole, found)
	})
	b.registry.Apply(upstreamAt(position.At(0, 1)))
	newer := upstreamAt(position.At(0, 2))
	newer[0].Upstream.ID, newer[0].Upstream.SoftwareVersion = "n", "v2"
	gone := registry.Change{Upstream: registry.Upstream{ID: "n"}, Removed: true, Position: position.At(0, 3)}
	b.registry.Apply(append(newer, gone))
	assert.Equal(t, []bool{true, false}, sole)
}
