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

// looksAt are the failure domains that are due for a look.
func looksAt(f *fixture) []string {
	names := []string{}
	for _, look := range f.Looks(asked, false) {
		names = append(names, look.FailureDomain)
	}
	return names
}

func TestLooks(t *testing.T) {
	t.Run("a domain that answers is looked at once it is silent for a tenth of a second", func(t *testing.T) {
		f := newFixture(t, 6)
		for range answeringCount {
			l := f.pick(t, Ask{Pool: "p"})
			require.Equal(t, "d0", l.FailureDomain)
			l.Answered()
		}
		f.now += answeringSilenceMs
		assert.Empty(t, looksAt(f))
		f.now++
		assert.Equal(t, []string{"d0"}, looksAt(f))
		assert.Empty(t, looksAt(f), "one look at a time")
	})
	t.Run("not once its answers have ended", func(t *testing.T) {
		f := newFixture(t, 6)
		for range answeringCount {
			l := f.pick(t, Ask{Pool: "p"})
			l.Answered()
			l.Release(Succeeded)
		}
		f.now += answeringSilenceMs + 1
		assert.Empty(t, looksAt(f))
	})
	t.Run("one whose boxes are asked gets a round of datagrams", func(t *testing.T) {
		f := newFixture(t, 6)
		f.HeardFrom("d1")
		f.now += askEachMs + askSilenceMs
		assert.Empty(t, looksAt(f))
		f.now++
		assert.Contains(t, looksAt(f), "d1")
	})
	t.Run("one whose boxes are not asked may be silent", func(t *testing.T) {
		f := newFixture(t, 6)
		f.HeardFrom("d1")
		f.now += 10 * askEachMs
		assert.Empty(t, f.Looks(nil, false))
	})
	t.Run("a domain that opens connections and says nothing is left alone for a while", func(t *testing.T) {
		f := newFixture(t, 6)
		f.now += 2 * askEachMs
		f.Looked("d1", true)
		f.now += calmMs - 1
		assert.NotContains(t, looksAt(f), "d1")
		f.now++
		assert.Contains(t, looksAt(f), "d1")
	})
	t.Run("but at once when it falls silent after it was heard again", func(t *testing.T) {
		f := newFixture(t, 6)
		f.now += 2 * askEachMs
		f.Looked("d1", true)
		f.now += lookAgainMs
		f.HeardFrom("d1")
		f.now += askEachMs + askSilenceMs + 1
		assert.Contains(t, looksAt(f), "d1")
	})
	t.Run("silence after this box stood still says nothing", func(t *testing.T) {
		f := newFixture(t, 6)
		f.now += 5000
		assert.Empty(t, f.Looks(asked, true))
		assert.Empty(t, f.Looks(asked, false))
	})
	t.Run("upstreams behind a cut get nothing until a connection opens", func(t *testing.T) {
		f := newFixture(t, 6)
		_, news := f.Looked("d0", false)
		require.True(t, news)
		_, news = f.Looked("d0", false)
		require.False(t, news)
		for range 20 {
			assert.NotEqual(t, "d0", f.pick(t, Ask{Pool: "p"}).FailureDomain)
		}
		f.now += lookAgainMs
		assert.Contains(t, looksAt(f), "d0")
		away, news := f.Looked("d0", true)
		require.True(t, news)
		assert.Equal(t, lookAgainMs, away)
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
		f.Looked("d0", false)
		f.Looked("d0", true)
		f.Looked("d0", false)
		assert.Equal(t, []string{"running"}, heard)
	})
	t.Run("when all are behind cuts, there is no upstream", func(t *testing.T) {
		f := newFixture(t, 6)
		for _, name := range []string{"d0", "d1", "d2"} {
			f.Looked(name, false)
		}
		_, err := f.Pick(Ask{Pool: "p"})
		require.ErrorIs(t, err, ErrNoUpstream)
	})
	t.Run("two upstreams that can't be reached put the way in question, and cut nothing", func(t *testing.T) {
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
		assert.Equal(t, []string{"d0"}, looksAt(f))
		assert.Equal(t, "u6", f.pick(t, Ask{Pool: "p"}).ID)
	})
}
