package balance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

func TestPopularity(t *testing.T) {
	t.Run("a session in a part of the newest requests", func(t *testing.T) {
		p := newPopularity(0)
		for i := range 100 {
			p.note(map[bool]string{true: "hot", false: fmt.Sprint(i)}[i%4 == 0], 0)
		}
		assert.InDelta(t, 0.25, p.share("hot"), 0.001)
		assert.Zero(t, p.share("1"), "one request is no share")
		assert.Zero(t, p.share("unknown"))
	})
	t.Run("is forgotten when it is not asked for any more", func(t *testing.T) {
		p := newPopularity(0)
		for range 64 {
			p.note("hot", 0)
		}
		for now := clock.Millis(0); now < 20*clock.Second; now += 100 {
			p.note("other", now)
		}
		assert.Zero(t, p.share("hot"))
		assert.Len(t, p.counts, 1)
	})
	t.Run("takes bounded memory", func(t *testing.T) {
		p := newPopularity(0)
		for i := range 3 * maxPopular {
			p.note(fmt.Sprint(i), 0)
		}
		assert.LessOrEqual(t, len(p.counts), maxPopular)
	})
}

func TestSpread(t *testing.T) {
	// 12 engines with a mean of 10, none over 20, of which chance takes 4.
	spreadOf := func(share float64) int { return spread(share, 120, 12, 20) }
	assert.Equal(t, 1, spreadOf(0), "an ordinary session")
	assert.Equal(t, 1, spreadOf(0.05), "6 requests fit into one engine, or the next")
	assert.Equal(t, 3, spreadOf(0.1), "12 need three")
	assert.Equal(t, 12, spreadOf(0.9), "no more than there are")
	t.Run("each engine that a popular session needs gets some of it", func(t *testing.T) {
		f := newFixture(t, 12)
		draws := 0
		f.random = func(n int) int { draws++; return draws % n }
		taken := map[string]int{}
		for range 200 {
			taken[f.pick(t, sticky("hot")).ID]++
		}
		assert.Len(t, taken, 12)
	})
}

func TestUnheard(t *testing.T) {
	f := newFixture(t, 12)
	fresh := f.bound(240, 12)
	f.SetOthersAge(100)
	assert.Equal(t, fresh, f.bound(240, 12), "words of 0.1 s leave the bound as it is")
	f.SetOthersAge(reportLifeMs)
	assert.Equal(t, fresh-5, f.bound(240, 12), "old ones leave room: the root of 30")
	assert.GreaterOrEqual(t, f.bound(0, 12), 1, "an idle engine takes a request")
}
