package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// sendTo sends a request to each of some upstreams, and returns the leases.
func (d *dialed) sendTo(t *testing.T, upstreams int) []*Lease {
	t.Helper()
	leases := []*Lease{}
	tried := []string{}
	for range upstreams {
		lease, err := d.Pick(PickRequest{Pool: "p", Tried: tried})
		require.NoError(t, err)
		require.NoError(t, lease.CheckBeforeSend())
		tried = append(tried, lease.ID)
		leases = append(leases, lease)
	}
	return leases
}

// TestSilentPools guards against taking a pool for silent, or for responding, by other attempts than those of the span.
func TestSilentPools(t *testing.T) {
	t.Run("enough attempts at several upstreams got no response for a while", func(t *testing.T) {
		d := newDialed(6)
		leases := d.sendTo(t, minSilentAttempts)
		d.now += maxUpstreamSilenceMs
		assert.Empty(t, d.SilentPools(), "too early")
		d.now += 2 * attemptBucketMs
		want := map[string][]SilentPool{
			"p": {{Pool: "p", FromMs: d.now - 1000, ToMs: maxUpstreamSilenceMs, Attempts: minSilentAttempts}},
		}
		assert.Equal(t, want, d.SilentPools())
		started, answered := d.AttemptsBetween(namekey.Of("p"), want["p"][0].FromMs, want["p"][0].ToMs)
		assert.Equal(t, []int{minSilentAttempts, 0}, []int{started, answered})
		leases[0].RecordAnswered()
		_, answered = d.AttemptsBetween(namekey.Of("p"), want["p"][0].FromMs, want["p"][0].ToMs)
		assert.Equal(t, 1, answered)
		assert.Empty(t, d.SilentPools())
	})
	t.Run("attempts at one upstream of several show nothing", func(t *testing.T) {
		d := newDialed(2)
		for range minSilentAttempts {
			lease, err := d.Pick(PickRequest{Pool: "p", Tried: []string{"u0"}})
			require.NoError(t, err)
			require.NoError(t, lease.CheckBeforeSend())
		}
		d.now += clock.Second
		assert.Empty(t, d.SilentPools())
	})
	t.Run("attempts before a response show nothing", func(t *testing.T) {
		d := newDialed(6)
		d.sendTo(t, minSilentAttempts)
		d.now += attemptBucketMs
		d.sendTo(t, 1)[0].RecordContact()
		d.now += clock.Second
		assert.Empty(t, d.SilentPools())
	})
	t.Run("a stalled pool is unreachable until it responds", func(t *testing.T) {
		d := newDialed(6)
		leases := d.sendTo(t, minSilentAttempts)
		left := 0
		leases[0].OnPartition(func() { left++ })
		d.now += clock.Second
		d.SetStalled("p")
		assert.Equal(t, 1, left, "requests that may be retried leave it")
		assert.Equal(t, []string{"p"}, d.Unreachable())
		_, err := d.Pick(PickRequest{Pool: "p"})
		require.ErrorIs(t, err, ErrPartitioned)
		assert.Len(t, d.StalledTargets("p"), maxStalledProbes)
		assert.Empty(t, d.SilentPools(), "it is known to be stalled")
		d.SetResponding("p")
		assert.Empty(t, d.Unreachable())
		assert.Empty(t, d.SilentPools(), "the attempts from before show nothing")
	})
	t.Run("a late response ends the stall", func(t *testing.T) {
		d := newDialed(6)
		leases := d.sendTo(t, 1)
		d.SetStalled("p")
		assert.Len(t, d.StalledPools(), 1)
		d.now++
		leases[0].RecordContact()
		assert.Empty(t, d.StalledPools())
	})
	t.Run("attempts before a suspension of this process show nothing", func(t *testing.T) {
		d := newDialed(6)
		d.sendTo(t, minSilentAttempts)
		d.now += clock.Second
		d.ForgetSilence()
		assert.Empty(t, d.SilentPools())
	})
	t.Run("attempts are forgotten", func(t *testing.T) {
		d := newDialed(6)
		d.sendTo(t, minSilentAttempts)
		d.now += clock.Millis(attemptBuckets+1) * attemptBucketMs
		assert.Empty(t, d.SilentPools())
	})
}

// TestSilentMembers guards against requests that wait at an upstream which responds to nothing, and against leaving out
// one that is only slow.
func TestSilentMembers(t *testing.T) {
	// silent sends requests to u0, which responds to none, and to the others, which respond if othersRespond is set.
	silent := func(t *testing.T, othersRespond bool) *dialed {
		t.Helper()
		d := newDialed(6)
		for range 2 * minAnsweredByOthers {
			for _, lease := range d.sendTo(t, 6) {
				if lease.ID != "u0" && othersRespond {
					lease.RecordAnswered()
				}
				lease.Release(Neutral)
			}
			d.now += attemptBucketMs
		}
		return d
	}
	ids := func(list []SilentMember) []string {
		names := []string{}
		for _, s := range list {
			names = append(names, s.ID)
		}
		return names
	}
	t.Run("one that does not respond to a health check gets no requests until it does", func(t *testing.T) {
		d := silent(t, true)
		due := d.SilentMembers()
		require.Equal(t, []string{"u0"}, ids(due))
		assert.Empty(t, d.SilentMembers(), "one check at a time")
		assert.Contains(t, firstPicks(t, d), "u0", "it may be slow")
		assert.True(t, d.RecordHealthCheck(due[0], false))
		assert.NotContains(t, firstPicks(t, d), "u0")
		d.now += memberCheckIntervalMs
		assert.Empty(t, d.SilentMembers(), "the interval doubles")
		d.now += memberCheckIntervalMs
		due = d.SilentMembers()
		require.Equal(t, []string{"u0"}, ids(due))
		assert.False(t, d.RecordHealthCheck(due[0], false))
		assert.True(t, d.RecordHealthCheck(due[0], true))
		assert.Contains(t, firstPicks(t, d), "u0")
	})
	t.Run("one that responds late is checked soon", func(t *testing.T) {
		d := silent(t, true)
		late := d.sendTo(t, 6)
		for range 3 {
			d.now += 10 * memberCheckIntervalMs
			assert.Len(t, d.SilentMembers(), 1)
			d.RecordHealthCheck(SilentMember{member: d.byID["u0"]}, false)
		}
		d.now += memberCheckIntervalMs
		require.Empty(t, d.SilentMembers())
		for _, lease := range late {
			lease.RecordAnswered()
		}
		assert.Equal(t, []string{"u0"}, ids(d.SilentMembers()))
		assert.NotContains(t, firstPicks(t, d), "u0")
	})
	t.Run("one that responds to the health check stays", func(t *testing.T) {
		d := silent(t, true)
		assert.False(t, d.RecordHealthCheck(d.SilentMembers()[0], true))
		assert.Contains(t, firstPicks(t, d), "u0")
		assert.Empty(t, d.SilentMembers())
	})
	t.Run("none is checked for attempts before a suspension of this process", func(t *testing.T) {
		d := silent(t, true)
		d.ForgetSilence()
		assert.Empty(t, d.SilentMembers())
	})
	t.Run("no upstream of a pool that is slow is checked", func(t *testing.T) {
		assert.Empty(t, silent(t, false).SilentMembers())
	})
}

// firstPicks returns the upstreams that requests are sent to while all have the same load.
func firstPicks(t *testing.T, d *dialed) []string {
	t.Helper()
	picked := []string{}
	leases := []*Lease{}
	for range 6 {
		lease, err := d.Pick(PickRequest{Pool: "p"})
		require.NoError(t, err)
		picked = append(picked, lease.ID)
		leases = append(leases, lease)
	}
	for _, lease := range leases {
		lease.Release(Neutral)
	}
	return picked
}

// BenchmarkSilenceChecks measures the checks that a box makes ten times a second.
func BenchmarkSilenceChecks(b *testing.B) {
	d := newDialed(10_000)
	for range 40 {
		for range 100 {
			lease, err := d.Pick(PickRequest{Pool: "p"})
			require.NoError(b, err)
			require.NoError(b, lease.CheckBeforeSend())
			lease.RecordAnswered()
			lease.Release(Succeeded)
		}
		d.now += attemptBucketMs
	}
	for b.Loop() {
		d.SilentPools()
		d.SilentMembers()
	}
}
