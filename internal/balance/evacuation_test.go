package balance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/evacuation"
	"dooryard.example/dooryard/internal/namekey"
)

// evacuated returns evacuations that started ageMs ago.
func evacuated(ageMs clock.Millis, domains ...string) []evacuation.Evacuation {
	list := []evacuation.Evacuation{}
	for _, domain := range domains {
		list = append(list, evacuation.Evacuation{FailureDomain: domain, AgeMs: ageMs})
	}
	return list
}

// TestEvacuations guards against work for an evacuated failure domain by any way on which requests are sent.
func TestEvacuations(t *testing.T) {
	t.Run("no session is sent there", func(t *testing.T) {
		f := newFixture(t, 12)
		f.SetEvacuations(evacuated(0, "d0", "d1"))
		for i := range 100 {
			l := f.pick(t, sticky(string(rune('a'+i))))
			assert.Equal(t, "d2", l.FailureDomain)
		}
	})
	t.Run("neither is a request that was picked before and is not sent yet", func(t *testing.T) {
		f := newFixture(t, 1)
		l := f.pick(t, sticky("s"))
		f.SetEvacuations(evacuated(0, "d0"))
		require.ErrorIs(t, l.CheckBeforeSend(), ErrEvacuated)
	})
	t.Run("an upstream that is new to the list is evacuated, too", func(t *testing.T) {
		f := newFixture(t, 0)
		f.SetEvacuations(evacuated(0, "d0"))
		f.SetUpstreams(newFixture(t, 1).list)
		_, err := f.Pick(sticky("s"))
		require.ErrorIs(t, err, ErrAllEvacuated)
		assert.GreaterOrEqual(t, f.RetryAfterMs("p", 0), evacuationRetryMs)
	})
	t.Run("ejected engines elsewhere don't bring it back", func(t *testing.T) {
		f := newFixture(t, 6)
		for _, member := range f.byID {
			if member.FailureDomain != "d0" {
				member.setHealth(member.health.WithUnreachable(f.now, f.settings.Health), f.now)
			}
		}
		f.SetEvacuations(evacuated(0, "d0"))
		l := f.pick(t, sticky("s"))
		assert.NotEqual(t, "d0", l.FailureDomain)
	})
	t.Run("engines fetch cached parts from there for half of the time in which it must take effect", func(t *testing.T) {
		for ageMs, fetches := range map[clock.Millis]bool{0: true, 999: true, 1000: false, -1: false} {
			f := newFixture(t, 2)
			f.settings.EvacuationMs = 2000
			request := sticky("s")
			request.Transfers = true
			first := f.pick(t, request)
			first.RecordResponseStart()
			first.Release(Succeeded)
			f.SetEvacuations(evacuated(ageMs, first.FailureDomain))
			assert.Equal(t, fetches, f.pick(t, request).FetchFrom == first.Address, "evacuated %d ms ago", ageMs)
		}
	})
	t.Run("the path to it is not probed", func(t *testing.T) {
		f := newFixture(t, 3)
		f.pathTo("d0")
		f.now += 10_000
		require.NotEmpty(t, f.Probes(map[string]clock.Millis{"d0": 250}, false))
		g := newFixture(t, 3)
		g.pathTo("d0")
		g.SetEvacuations(evacuated(0, "d0"))
		g.now += 10_000
		assert.Empty(t, g.Probes(map[string]clock.Millis{"d0": 250}, false))
	})
}

// TestBoundDuringEvacuation guards against engines above the multiple of their pool's mean load while a part of the
// pool is idle because it is evacuated.
func TestBoundDuringEvacuation(t *testing.T) {
	f := newFixture(t, 12)
	f.settings.BoundPercent = 180
	f.SetEvacuations(evacuated(0, "d0"))
	for i := range 120 {
		f.pick(t, sticky(string(rune('a'+i%3))))
	}
	total := 0
	for _, member := range f.byID {
		total += member.inFlight
	}
	// The mean of all twelve engines counts, rounded up.
	limit := (total*f.settings.BoundPercent+12*percent-1)/(12*percent) + boundSlack
	mean := (total + 7) / 8
	for _, member := range f.byID {
		assert.LessOrEqual(t, member.inFlight, max(limit, mean+1), "requests at %s in %s", member.ID, member.FailureDomain)
	}
}

// TestBoundWithOldReportsOfEvacuatedEngines guards against a bound that is raised by requests that have ended at
// evacuated engines, of which reports of other boxes still tell.
func TestBoundWithOldReportsOfEvacuatedEngines(t *testing.T) {
	f := newFixture(t, 12)
	f.settings.BoundPercent = 180
	f.SetEnginePermits(true)
	f.SetEvacuations(evacuated(-1, "d0"))
	bound := func() int { return f.pick(t, sticky("s")).bound }
	for i := range 80 {
		f.pick(t, sticky(fmt.Sprint(i)))
	}
	before := bound()
	reports := map[namekey.Key]int{}
	for _, member := range f.byID {
		if member.evacuated {
			reports[member.key] = 10
		}
	}
	f.SetOthersInFlight(reports)
	assert.Equal(t, before, bound())
}

// TestBoundWhenMostIsEvacuated guards against moving sessions away from their engines to keep a bound that can't be kept.
func TestBoundWhenMostIsEvacuated(t *testing.T) {
	f := newFixture(t, 12)
	f.settings.BoundPercent = 180
	bound := func(candidates, excluded int) int {
		return f.bound(poolLoad{candidates: candidates, running: 120, excluded: excluded})
	}
	assert.Equal(t, bound(4, 0), bound(4, 8), "two of three failure domains are evacuated")
	assert.Less(t, bound(8, 4), bound(8, 0), "one of three is")
	assert.Greater(t, bound(8, 1), 120/8)
}

// TestReserve guards against requests for an evacuated failure domain that the other engines can hold, and against any
// that may arrive after the evacuation must have taken effect.
func TestReserve(t *testing.T) {
	const loaded = 120
	// mostEvacuated returns a fixture whose engines outside of d0 are evacuated, those of d2 as given.
	mostEvacuated := func(t *testing.T, d2 evacuation.Evacuation) *fixture {
		t.Helper()
		f := newFixture(t, 12)
		f.settings.EvacuationMs = 1000 + reserveMarginMs
		f.SetEvacuations(append(evacuated(-1, "d1"), d2))
		return f
	}
	// domains sends requests, and returns how many went to each failure domain.
	domains := func(t *testing.T, f *fixture, requests int) map[string]int {
		t.Helper()
		counts := map[string]int{}
		for i := range requests {
			counts[f.pick(t, sticky(fmt.Sprint(i))).FailureDomain]++
		}
		return counts
	}
	t.Run("its engines take what the others can't hold", func(t *testing.T) {
		counts := domains(t, mostEvacuated(t, evacuated(0, "d2")[0]), loaded)
		assert.Positive(t, counts["d2"])
		assert.Greater(t, counts["d0"], counts["d2"])
		assert.Zero(t, counts["d1"], "no box saw when its evacuation began")
	})
	t.Run("nothing if the others can hold the load", func(t *testing.T) {
		f := newFixture(t, 12)
		f.settings.EvacuationMs, f.settings.BoundPercent = 2000, 180
		f.SetEvacuations(evacuated(0, "d2"))
		assert.Zero(t, domains(t, f, loaded)["d2"])
	})
	t.Run("nothing right before the evacuation must have taken effect", func(t *testing.T) {
		assert.Zero(t, domains(t, mostEvacuated(t, evacuated(1000, "d2")[0]), loaded)["d2"])
	})
	t.Run("nothing if they are draining, backing off or were tried", func(t *testing.T) {
		f := mostEvacuated(t, evacuated(0, "d2")[0])
		request := sticky("s")
		f.byID["u2"].drainingEntry = true
		f.byID["u5"].backOff(f.now, f.now+1000, "r")
		request.Tried = []string{"u8", "u11"}
		for range loaded {
			assert.Equal(t, "d0", f.pick(t, request).FailureDomain)
		}
	})
	t.Run("a request that was picked in time is sent in time", func(t *testing.T) {
		f := mostEvacuated(t, evacuated(0, "d2")[0])
		var lease *Lease
		for i := 0; lease == nil || lease.FailureDomain != "d2"; i++ {
			lease = f.pick(t, sticky(fmt.Sprint(i)))
		}
		require.NoError(t, lease.CheckBeforeSend())
		f.now += 1000
		require.ErrorIs(t, lease.CheckBeforeSend(), ErrEvacuated)
	})
}
