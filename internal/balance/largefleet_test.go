package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/occupancy"
	"dooryard.example/dooryard/internal/prompt"
)

// Hundreds of boxes see about five requests a second each before hundreds of engines, and in a
// fleet of that size they told each other no loads. At the start 182 of 5,267 requests
// within 5 s went to engines over twice the mean and three, where 3 in 100 are allowed, and the
// first two seconds had a 99th percentile of 1.2 s. Lines of the boxes show the cause: of some 340 such picks 330
// were at engines that the box took for idle, 54 engines of 240 got them all, and a third of
// them went to four: those with more sessions than others, and slow ones, while prompts are
// read for the first time.

// kind is a kind of request before the large fleet.
type kind struct {
	perS, sessions, tokens int
	// streamMs is how long an engine of the usual speed streams the answer when it runs alone.
	streamMs float64
}

var kinds = []kind{
	{perS: 526, sessions: 1790, tokens: 8620, streamMs: 240},
	{perS: 367, sessions: 1247, tokens: 2041, streamMs: 120},
	{perS: 279, sessions: 947, tokens: 603, streamMs: 1400},
}

const (
	// tokensPerMs is how fast an engine reads.
	tokensPerMs = 42.6
	// sequenceCostPercent is how much each running request slows the others.
	sequenceCostPercent = 6
	// speedSpread is the standard deviation of the logarithm of engines' speeds: the fastest
	// twentieth streams three times as fast as the slowest.
	speedSpread = 0.33
	perSecond   = 1000
)

// engineModel is an engine that reads prompts one after the other, and some faster than others.
type engineModel struct {
	speed     float64
	readUntil clock.Millis
	keeps     map[string]bool
}

// largeFleet is a surge's boxes before engines that begin cold.
type largeFleet struct {
	*surge
	models map[string]*engineModel
	// answers are heads of answers that come at an instant.
	answers map[clock.Millis][]*Lease
	// ledger stands for all owners' ledgers.
	ledger *occupancy.Ledger
	asked  uint32
}

func newLargeFleet(boxes, engines int) *largeFleet {
	f := &largeFleet{
		surge: newSurge(boxes, engines), models: map[string]*engineModel{}, answers: map[clock.Millis][]*Lease{},
	}
	f.ledger = occupancy.New(func() clock.Millis { return f.now })
	f.random = rand.New(rand.NewPCG(3, 4))
	for _, u := range f.engines {
		f.models[u.ID] = &engineModel{speed: math.Exp(speedSpread * f.random.NormFloat64()), keeps: map[string]bool{}}
	}
	return f
}

// send lets a box send a request, and returns whether it went to an engine over the set multiple.
func (f *largeFleet) send(t *testing.T, k kind, session string) (over bool) {
	t.Helper()
	lease, err := f.boxes[f.random.IntN(len(f.boxes))].PickPlace(Ask{
		Pool: "p", Sticky: true, Prompt: prompt.Prompt{{ID: session, Tokens: k.tokens}, {ID: "own", Tokens: 300}},
	}, f.takePlace)
	require.NoError(t, err)
	over = f.holds[lease.ID]*len(f.engines) > 2*f.running+3*len(f.engines)
	f.holds[lease.ID]++
	f.running++
	e := f.models[lease.ID]
	tokens := 300.0
	if !e.keeps[session] {
		tokens += float64(k.tokens)
		e.keeps[session] = true
	}
	e.readUntil = max(e.readUntil, f.now) + clock.Millis(tokens/tokensPerMs/e.speed)
	f.answers[e.readUntil] = append(f.answers[e.readUntil], lease)
	slowed := 1 + float64(sequenceCostPercent*f.holds[lease.ID])/percent
	ends := e.readUntil + 1 + clock.Millis(k.streamMs*slowed/e.speed)
	f.ends[ends] = append(f.ends[ends], lease)
	return over
}

// settle lets the answers of this instant begin and end.
func (f *largeFleet) settle() {
	for _, lease := range f.answers[f.now] {
		lease.Answered()
		lease.Report(f.holds[lease.ID])
	}
	delete(f.answers, f.now)
	for _, lease := range f.ends[f.now] {
		f.holds[lease.ID]--
		f.running--
		lease.Release(Succeeded)
	}
	delete(f.ends, f.now)
}

// lostPercent is how many of the words between boxes and owners are lost.
const lostPercent = 2

// takePlace asks for a place as a box does.
func (f *largeFleet) takePlace(lease *Lease, bound int) Place {
	lost := func() bool { return f.random.IntN(percent) < lostPercent }
	f.asked++
	h := occupancy.Holder{Number: f.asked}
	release := func() {
		if !lost() {
			f.ledger.Release(h)
		}
	}
	if lost() {
		return Place{Granted: true, Release: release}
	}
	granted := f.ledger.Take(h, lease.Key(), bound)
	return Place{Granted: granted || lost(), Release: release}
}

// hearRunning lets each box hear once a second about how much all run.
func (f *largeFleet) hearRunning() {
	for i, m := range f.boxes {
		if int(f.now)%perSecond == i*perSecond/len(f.boxes) {
			m.SetRunning(map[namekey.Key]int{namekey.Of("p"): f.roughly(f.running)})
		}
	}
}

// roughly is a number as boxes that hear of a few others know it.
func (f *largeFleet) roughly(count int) int {
	return int(float64(count) * (0.85 + 0.3*f.random.Float64()))
}

// play returns the part of the requests that went to engines over the set multiple, by second.
func (f *largeFleet) play(t *testing.T, seconds int) []float64 {
	t.Helper()
	parts := []float64{}
	for range seconds {
		over, all := 0, 0
		for end := f.now + perSecond; f.now < end; f.now++ {
			f.hearRunning()
			f.settle()
			for i, k := range kinds {
				for range k.arrivals(f.random) {
					all++
					if f.send(t, k, fmt.Sprint(i, "-", f.random.IntN(k.sessions))) {
						over++
					}
				}
			}
		}
		parts = append(parts, float64(over)/float64(all))
	}
	return parts
}

// arrivals is how many requests come within a millisecond.
func (k kind) arrivals(random *rand.Rand) int {
	count := 0
	for range 4 {
		if random.IntN(4*perSecond) < k.perS {
			count++
		}
	}
	return count
}

func mean(parts []float64) float64 {
	sum := 0.0
	for _, one := range parts {
		sum += one
	}
	return sum / float64(len(parts))
}

// TestStartOfLargeFleet has hundreds of boxes and cold engines get their usual load at once. In no
// five seconds may more than 3 in 100 requests go to engines over the set multiple.
func TestStartOfLargeFleet(t *testing.T) {
	f := newLargeFleet(295, 240)
	parts := f.play(t, 8)
	t.Log(parts)
	for i := range 4 {
		assert.LessOrEqual(t, mean(parts[i:i+5]), 0.03, "from second %d", i)
	}
}
