package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// looksAt are the failure domains that are due for a look.
func looksAt(f *fixture) []string {
	names := []string{}
	for _, look := range f.Looks(false) {
		names = append(names, look.FailureDomain)
	}
	return names
}

func TestLooks(t *testing.T) {
	// busy hears each domain but one each 5 ms for a while.
	busy := func(f *fixture, span clock.Millis, silent string) {
		for end := f.now + span; f.now < end; f.now += 5 {
			for _, name := range []string{"d0", "d1", "d2"} {
				if name != silent {
					f.HeardFrom(name)
				}
			}
		}
	}
	t.Run("a busy domain is looked at once it is silent for a tenth of a second", func(t *testing.T) {
		f := newFixture(t, 6)
		busy(f, 2000, "")
		busy(f, leastSilenceMs-5, "d1")
		assert.Empty(t, looksAt(f))
		busy(f, 10, "d1")
		assert.Equal(t, []string{"d1"}, looksAt(f))
		assert.Empty(t, looksAt(f), "one look at a time")
	})
	t.Run("a domain that is seldom heard gets a round of datagrams", func(t *testing.T) {
		f := newFixture(t, 6)
		f.HeardFrom("d1")
		f.now += mostSilenceMs
		assert.Empty(t, looksAt(f))
		f.now++
		assert.Contains(t, looksAt(f), "d1")
	})
	t.Run("a domain that opens connections and says nothing is left alone for a while", func(t *testing.T) {
		f := newFixture(t, 6)
		f.now += 2 * mostSilenceMs
		f.Looked("d1", true)
		f.now += calmMs - 1
		assert.NotContains(t, looksAt(f), "d1")
		f.now++
		assert.Contains(t, looksAt(f), "d1")
	})
	t.Run("but at once when it falls silent after it was heard again", func(t *testing.T) {
		f := newFixture(t, 6)
		f.now += 2 * mostSilenceMs
		f.Looked("d1", true)
		f.now += lookAgainMs
		f.HeardFrom("d1")
		f.now += mostSilenceMs + 1
		assert.Contains(t, looksAt(f), "d1")
	})
	t.Run("silence after this box stood still says nothing", func(t *testing.T) {
		f := newFixture(t, 6)
		busy(f, 100, "")
		f.now += 5000
		assert.Empty(t, f.Looks(true))
		assert.Empty(t, f.Looks(false))
	})
	t.Run("upstreams behind a cut get nothing until a connection opens", func(t *testing.T) {
		f := newFixture(t, 6)
		require.True(t, f.Looked("d0", false))
		require.False(t, f.Looked("d0", false), "no news")
		for range 20 {
			assert.NotEqual(t, "d0", f.pick(t, Ask{Pool: "p"}).FailureDomain)
		}
		f.now += lookAgainMs
		assert.Contains(t, looksAt(f), "d0")
		require.True(t, f.Looked("d0", true))
		assert.Equal(t, "d0", f.pick(t, Ask{Pool: "p"}).FailureDomain)
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
