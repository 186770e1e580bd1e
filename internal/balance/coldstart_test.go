package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/evacuation"
	"dooryard.example/dooryard/internal/registry"
)

// coldFleet is a number of boxes that each see the same cold upstreams and share nothing.
type coldFleet struct {
	boxes  []*fixture
	random *rand.Rand
	// arrivedMs holds when requests arrived, by upstream.
	arrivedMs map[string][]clock.Millis
	refused   int
}

const testColdMs = 3 * clock.Second

// testCold is the cold start of the tests' pool, and testTolerance how far it may be exceeded: 19 requests a second.
var (
	testCold      = ColdStart{RequestsPerSecond: 9.6, DurationMs: testColdMs}
	testTolerance = ColdTolerance{Factor: 1.5, Slack: 5}
)

const testColdLimit = 19

func newColdFleet(t *testing.T, seed uint64, boxes, upstreams int, known ...int) *coldFleet {
	t.Helper()
	c := &coldFleet{random: rand.New(rand.NewPCG(seed, seed)), arrivedMs: map[string][]clock.Millis{}}
	for i := range boxes {
		f := newFixture(t, 0)
		f.settings.Box, f.settings.ColdTolerance = fmt.Sprint("box", i), testTolerance
		f.random = c.random.IntN
		f.now = clock.Millis(c.random.Int64N(1_000_000))
		f.SetColdStarts(map[string]ColdStart{"p": testCold})
		f.SetFleetSize(append(known, boxes)[0])
		c.boxes = append(c.boxes, f)
	}
	c.setUpstreams(upstreams, func(int) clock.Millis { return testColdMs })
	return c
}

// setUpstreams sets the upstreams at all boxes; coldMs returns how much longer each is cold.
func (c *coldFleet) setUpstreams(count int, coldMs func(i int) clock.Millis) {
	for _, f := range c.boxes {
		f.list = nil
		for i := range count {
			f.list = append(f.list, registry.Upstream{
				ID: fmt.Sprint("u", i), Pool: "p", Address: fmt.Sprint("127.0.0.1:", i+1), FailureDomain: "d0", Slots: 64,
				ColdMs: coldMs(i),
			})
		}
		f.SetUpstreams(f.list)
	}
}

// play sends requests to random boxes at a rate, from sessions of equal weight. A request arrives up to the delay of
// opening a connection later than it was picked.
func (c *coldFleet) play(t *testing.T, fromMs, span clock.Millis, perSecond int) {
	t.Helper()
	carry := 0
	for ms := range span {
		for carry += perSecond; carry >= 1000; carry -= 1000 {
			f := c.boxes[c.random.IntN(len(c.boxes))]
			l, err := f.Pick(sticky(fmt.Sprint("s", c.random.IntN(500))))
			if err != nil {
				require.ErrorIs(t, err, ErrAllCold)
				c.refused++
				continue
			}
			arrived := fromMs + ms + clock.Millis(c.random.Int64N(int64(coldSendDelayMs)))
			c.arrivedMs[l.ID] = append(c.arrivedMs[l.ID], arrived)
			l.Release(Succeeded)
		}
		for _, f := range c.boxes {
			f.now++
		}
	}
}

// busiestSecond returns the largest number of requests that one upstream received within a second, until an instant.
func (c *coldFleet) busiestSecond(untilMs clock.Millis) int {
	busiest := 0
	for _, list := range c.arrivedMs {
		slices.Sort(list)
		first := 0
		for i, at := range list {
			for list[first] <= at-clock.Second {
				first++
			}
			if at < untilMs {
				busiest = max(busiest, i-first+1)
			}
		}
	}
	return busiest
}

// TestColdPool plays a surge on a pool that is cold as a whole, as after a loss of power. It guards against upstreams
// that fall over because many boxes, none of which knows what the others send, use them at once.
func TestColdPool(t *testing.T) {
	for _, boxes := range []int{1, 3, 6, 9, 10, 26, 78, 150, 400} {
		t.Run(fmt.Sprintf("%d boxes stay within the rate of each upstream", boxes), func(t *testing.T) {
			for seed := range uint64(4) {
				c := newColdFleet(t, seed, boxes, 5)
				c.play(t, 0, testColdMs, 2000)
				assert.LessOrEqual(t, c.busiestSecond(testColdMs), testColdLimit, "seed %d", seed)
				assert.NotEmpty(t, c.arrivedMs, "some requests are served")
				assert.Positive(t, c.refused)
			}
		})
	}
	t.Run("a fleet assumed to be larger sends less", func(t *testing.T) {
		c := newColdFleet(t, 1, 26, 5, 78)
		c.play(t, 0, testColdMs, 2000)
		assert.LessOrEqual(t, c.busiestSecond(testColdMs), testColdLimit/2)
	})
	t.Run("boxes that know only three quarters of the others stay within the rate", func(t *testing.T) {
		for seed := range uint64(4) {
			c := newColdFleet(t, seed, 78, 5, 60)
			c.play(t, 0, testColdMs, 2000)
			assert.LessOrEqual(t, c.busiestSecond(testColdMs), testColdLimit)
		}
	})
}

// TestColdAmongWarm plays a rollout: a third of the pool is cold. Callers must not be refused for it.
func TestColdAmongWarm(t *testing.T) {
	c := newColdFleet(t, 1, 78, 0)
	c.setUpstreams(90, func(i int) clock.Millis {
		if i%3 == 0 {
			return testColdMs
		}
		return 0
	})
	c.play(t, 0, testColdMs, 450)
	assert.Zero(t, c.refused)
	for id, list := range c.arrivedMs {
		assert.LessOrEqual(t, len(list), 60, "requests at %s in %d ms", id, testColdMs)
	}
	t.Run("they serve their sessions once they are warm", func(t *testing.T) {
		cold := len(c.arrivedMs["u0"]) + len(c.arrivedMs["u3"]) + len(c.arrivedMs["u6"])
		c.play(t, testColdMs, testColdMs, 450)
		warm := len(c.arrivedMs["u0"]) + len(c.arrivedMs["u3"]) + len(c.arrivedMs["u6"]) - cold
		assert.Greater(t, warm, 3*max(1, cold))
	})
}

// TestColdStart guards against a cold time that is forgotten or that never ends.
func TestColdStart(t *testing.T) {
	newCold := func(t *testing.T, count int, coldMs clock.Millis) *fixture {
		t.Helper()
		f := newFixture(t, count)
		f.settings.Box = "box"
		f.SetColdStarts(map[string]ColdStart{"p": testCold})
		f.SetFleetSize(78)
		for i := range f.list {
			f.list[i].ColdMs = coldMs
		}
		f.SetUpstreams(f.list)
		return f
	}
	// sends returns how many of 50 requests, one each 10 ms, are sent.
	sends := func(f *fixture) (count int) {
		for range 50 {
			if l, err := f.Pick(sticky("s")); err == nil {
				l.Release(Succeeded)
				count++
			}
			f.now += 10
		}
		return count
	}
	t.Run("a warm upstream gets all requests", func(t *testing.T) {
		assert.Equal(t, 50, sends(newCold(t, 1, 0)))
	})
	t.Run("a cold one gets one at most", func(t *testing.T) {
		assert.LessOrEqual(t, sends(newCold(t, 1, testColdMs)), 1)
	})
	t.Run("it is warm when its time is over", func(t *testing.T) {
		f := newCold(t, 1, testColdMs)
		f.now += testColdMs
		assert.Equal(t, 50, sends(f))
	})
	t.Run("an upstream may turn cold at any moment", func(t *testing.T) {
		f := newCold(t, 1, 0)
		f.list[0].ColdMs = testColdMs
		f.SetUpstreams(f.list)
		assert.LessOrEqual(t, sends(f), 1)
	})
	t.Run("a pool without a rate is not limited", func(t *testing.T) {
		f := newCold(t, 1, testColdMs)
		f.SetColdStarts(nil)
		assert.Equal(t, 50, sends(f))
	})
	t.Run("a refused caller is told to return when the upstream takes a request, at the latest when it is warm", func(t *testing.T) {
		f := newCold(t, 1, testColdMs)
		for {
			_, err := f.Pick(sticky("s"))
			if err != nil {
				require.ErrorIs(t, err, ErrAllCold)
				break
			}
		}
		delay := f.RetryAfterMs("p", 0)
		assert.LessOrEqual(t, delay, testColdMs+maxCompletionGapMs)
		f.now += delay
		_, err := f.Pick(sticky("s"))
		require.NoError(t, err)
	})
	t.Run("upstreams of an evacuated failure domain count as cold when it is taken back", func(t *testing.T) {
		f := newCold(t, 1, 0)
		f.SetEvacuations([]evacuation.Evacuation{{FailureDomain: "d0"}})
		f.SetEvacuations(nil)
		assert.LessOrEqual(t, sends(f), 1)
		f.SetUpstreams(f.list)
		assert.LessOrEqual(t, sends(f), 1, "after a change of another upstream")
		f.now += testColdMs
		assert.Equal(t, 50, sends(f))
	})
}
