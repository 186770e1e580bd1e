package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// askEachMs is how often some box of each domain is asked.
const askEachMs clock.Millis = 250

var asked = map[string]clock.Millis{"d0": askEachMs, "d1": askEachMs, "d2": askEachMs}

// probed are the failure domains that are due for a probe.
func probed(f *fixture) []string {
	names := []string{}
	for _, probe := range f.Probes(asked, false) {
		names = append(names, probe.FailureDomain)
	}
	return names
}

func TestLooks(t *testing.T) {
	t.Run("a domain that answers is probed once it is silent for a tenth of a second", func(t *testing.T) {
		f := newFixture(t, 6)
		for range answeringCount {
			l := f.pick(t, Ask{Pool: "p"})
			require.Equal(t, "d0", l.FailureDomain)
			l.Answered()
		}
		f.now += answeringSilenceMs
		assert.Empty(t, probed(f))
		f.now++
		assert.Equal(t, []string{"d0"}, probed(f))
		assert.Empty(t, probed(f), "one probe at a time")
	})
	t.Run("not once its answers have ended", func(t *testing.T) {
		f := newFixture(t, 6)
		for range answeringCount {
			l := f.pick(t, Ask{Pool: "p"})
			l.Answered()
			l.Release(Succeeded)
		}
		f.now += answeringSilenceMs + 1
		assert.Empty(t, probed(f))
	})
	t.Run("one whose boxes are asked gets a round of datagrams", func(t *testing.T) {
		f := newFixture(t, 6)
		f.HeardFrom("d1")
		f.now += askEachMs + askSilenceMs
		assert.Empty(t, probed(f))
		f.now++
		assert.Contains(t, probed(f), "d1")
	})
	t.Run("one whose boxes are not asked may be silent", func(t *testing.T) {
		f := newFixture(t, 6)
		f.HeardFrom("d1")
		f.now += 10 * askEachMs
		assert.Empty(t, f.Probes(nil, false))
	})
	t.Run("a domain that opens connections and says nothing is left alone for a while", func(t *testing.T) {
		f := newFixture(t, 6)
		f.now += 2 * askEachMs
		f.Probed("d1", true)
		f.now += calmMs - 1
		assert.NotContains(t, probed(f), "d1")
		f.now++
		assert.Contains(t, probed(f), "d1")
	})
	t.Run("but at once when it falls silent after it was heard again", func(t *testing.T) {
		f := newFixture(t, 6)
		f.now += 2 * askEachMs
		f.Probed("d1", true)
		f.now += probeAgainMs
		f.HeardFrom("d1")
		f.now += askEachMs + askSilenceMs + 1
		assert.Contains(t, probed(f), "d1")
	})
	t.Run("silence after this box stood still says nothing", func(t *testing.T) {
		f := newFixture(t, 6)
		f.now += 5000
		assert.Empty(t, f.Probes(asked, true))
		assert.Empty(t, f.Probes(asked, false))
	})
	t.Run("upstreams behind a cut get nothing until a connection opens", func(t *testing.T) {
		f := newFixture(t, 6)
		_, news := f.Probed("d0", false)
		require.True(t, news)
		_, news = f.Probed("d0", false)
		require.False(t, news)
		for range 20 {
			assert.NotEqual(t, "d0", f.pick(t, Ask{Pool: "p"}).FailureDomain)
		}
		f.now += probeAgainMs
		assert.Contains(t, probed(f), "d0")
		away, news := f.Probed("d0", true)
		require.True(t, news)
		assert.Equal(t, probeAgainMs, away)
		assert.Equal(t, "d0", f.pick(t, Ask{Pool: "p"}).FailureDomain)
	})
	t.Run("requests behind a cut hear of it once, and none that has ended", func(t *testing.T) {
		f := newFixture(t, 6)
		heard := []string{}
		for _, name := range []string{"running", "ended"} {
			l := f.pick(t, Ask{Pool: "p"})
			require.Equal(t, "d0", l.FailureDomain)
			l.OnCut(func() { heard = append(heard, name) })
			if name == "ended" {
				l.Release(Succeeded)
			}
		}
		f.Probed("d0", false)
		f.Probed("d0", true)
		f.Probed("d0", false)
		assert.Equal(t, []string{"running"}, heard)
	})
	t.Run("when all are behind cuts, there is no upstream", func(t *testing.T) {
		f := newFixture(t, 6)
		for _, name := range []string{"d0", "d1", "d2"} {
			f.Probed(name, false)
		}
		_, err := f.Pick(Ask{Pool: "p"})
		require.ErrorIs(t, err, ErrNoUpstream)
	})
	t.Run("two upstreams that can't be reached put the path in question, and cut nothing", func(t *testing.T) {
		f := newFixture(t, 9)
		for _, id := range []string{"u0", "u3"} {
			tried := []string{}
			for _, u := range f.list {
				if u.ID != id {
					tried = append(tried, u.ID)
				}
			}
			f.pick(t, Ask{Pool: "p", Tried: tried}).Release(Unreachable)
		}
		assert.Equal(t, []string{"d0"}, probed(f))
		assert.Equal(t, "u6", f.pick(t, Ask{Pool: "p"}).ID)
	})
}
