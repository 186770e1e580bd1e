package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// heartbeatMs is the interval at which some box of each domain is pinged.
const heartbeatMs clock.Millis = 250

var heartbeats = map[string]clock.Millis{"d0": heartbeatMs, "d1": heartbeatMs, "d2": heartbeatMs}

// dueProbes returns the failure domains that are due for a probe.
func dueProbes(f *fixture) []string {
	names := []string{}
	for _, probe := range f.Probes(heartbeats, false) {
		names = append(names, probe.FailureDomain)
	}
	return names
}

func TestProbes(t *testing.T) {
	t.Run("a domain that sends responses is probed after a silence of a tenth of a second", func(t *testing.T) {
		f := newFixture(t, 6)
		for range minResponding {
			l := f.pick(t, PickRequest{Pool: "p"})
			require.Equal(t, "d0", l.FailureDomain)
			l.RecordResponseStart()
		}
		f.now += maxResponseSilenceMs
		assert.Empty(t, dueProbes(f))
		f.now++
		assert.Equal(t, []string{"d0"}, dueProbes(f))
		assert.Empty(t, dueProbes(f), "one probe at a time")
	})
	t.Run("a domain is not probed once its responses have ended", func(t *testing.T) {
		f := newFixture(t, 6)
		for range minResponding {
			l := f.pick(t, PickRequest{Pool: "p"})
			l.RecordResponseStart()
			l.Release(Succeeded)
		}
		f.now += maxResponseSilenceMs + 1
		assert.Empty(t, dueProbes(f))
	})
	t.Run("a domain with heartbeats is probed when it is silent for longer than the heartbeat interval and a grace", func(t *testing.T) {
		f := newFixture(t, 6)
		f.RecordContact("d1")
		f.now += heartbeatMs + heartbeatGraceMs
		assert.Empty(t, dueProbes(f))
		f.now++
		assert.Contains(t, dueProbes(f), "d1")
	})
	t.Run("a domain without heartbeats may be silent", func(t *testing.T) {
		f := newFixture(t, 6)
		f.RecordContact("d1")
		f.now += 10 * heartbeatMs
		assert.Empty(t, f.Probes(nil, false))
	})
	t.Run("a domain that opens connections and sends nothing is probed less often", func(t *testing.T) {
		f := newFixture(t, 6)
		f.now += 2 * heartbeatMs
		f.RecordProbe("d1", true)
		f.now += quietProbeIntervalMs - 1
		assert.NotContains(t, dueProbes(f), "d1")
		f.now++
		assert.Contains(t, dueProbes(f), "d1")
	})
	t.Run("a domain that falls silent after a new contact is probed without waiting for the quiet interval", func(t *testing.T) {
		f := newFixture(t, 6)
		f.now += 2 * heartbeatMs
		f.RecordProbe("d1", true)
		f.now += probeIntervalMs
		f.RecordContact("d1")
		f.now += heartbeatMs + heartbeatGraceMs + 1
		assert.Contains(t, dueProbes(f), "d1")
	})
	t.Run("silence after a pause of this box is ignored", func(t *testing.T) {
		f := newFixture(t, 6)
		f.now += 5000
		assert.Empty(t, f.Probes(heartbeats, true))
		assert.Empty(t, f.Probes(heartbeats, false))
	})
	t.Run("upstreams behind a partition receive nothing until a connection opens", func(t *testing.T) {
		f := newFixture(t, 6)
		_, changed := f.RecordProbe("d0", false)
		require.True(t, changed)
		_, changed = f.RecordProbe("d0", false)
		require.False(t, changed)
		for range 20 {
			assert.NotEqual(t, "d0", f.pick(t, PickRequest{Pool: "p"}).FailureDomain)
		}
		f.now += probeIntervalMs
		assert.Contains(t, dueProbes(f), "d0")
		partition, changed := f.RecordProbe("d0", true)
		require.True(t, changed)
		assert.Equal(t, probeIntervalMs, partition)
		assert.Equal(t, "d0", f.pick(t, PickRequest{Pool: "p"}).FailureDomain)
	})
	t.Run("running requests behind a partition are notified once, ended ones never", func(t *testing.T) {
		f := newFixture(t, 6)
		notified := []string{}
		for _, name := range []string{"running", "ended"} {
			l := f.pick(t, PickRequest{Pool: "p"})
			require.Equal(t, "d0", l.FailureDomain)
			l.OnPartition(func() { notified = append(notified, name) })
			if name == "ended" {
				l.Release(Succeeded)
			}
		}
		f.RecordProbe("d0", false)
		f.RecordProbe("d0", true)
		f.RecordProbe("d0", false)
		assert.Equal(t, []string{"running"}, notified)
	})
	t.Run("when all domains are partitioned, there is no upstream", func(t *testing.T) {
		f := newFixture(t, 6)
		for _, name := range []string{"d0", "d1", "d2"} {
			f.RecordProbe(name, false)
		}
		_, err := f.Pick(PickRequest{Pool: "p"})
		require.ErrorIs(t, err, ErrNoUpstream)
	})
	t.Run("two unreachable upstreams request a probe but do not mark the path as partitioned", func(t *testing.T) {
		f := newFixture(t, 9)
		for _, id := range []string{"u0", "u3"} {
			tried := []string{}
			for _, u := range f.list {
				if u.ID != id {
					tried = append(tried, u.ID)
				}
			}
			f.pick(t, PickRequest{Pool: "p", Tried: tried}).Release(Unreachable)
		}
		assert.Equal(t, []string{"d0"}, dueProbes(f))
		assert.Equal(t, "u6", f.pick(t, PickRequest{Pool: "p"}).ID)
	})
}
