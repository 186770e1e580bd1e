package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/health"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/upstream"
)

// On a large deployment, while one organisation sent nine times its usual and two in five
// requests of a kind were about one thing, 267 of 5,802 requests within 5 s went to engines
// that held more than the set multiple of the mean, where 3 in 100 are allowed. 87 boxes hear
// each other's loads each 1.25 s on average, so each sends the one session to the engine that
// comes first for it until it hears of the others. The code of the landing before does the
// same (290 of 5,792). With nine boxes, who hear each other each 0.25 s, it keeps the bound.
// Lines of that day show some twenty engines that held 15 to 22 requests while boxes took them
// for 6 to 11, most of them the first of their sessions: what isn't heard of yet, not one session.

// surge is many boxes before engines, with loads that boxes hear of each other in turns.
type surge struct {
	now     clock.Millis
	random  *rand.Rand
	boxes   []*Manager
	engines []registry.Upstream
	holds   map[string]int
	running int
	// told is what each box last heard of each other one.
	told [][]map[string]int
	ends map[clock.Millis][]*Lease
}

func newSurge(boxes, engines int) *surge {
	s := &surge{
		now: 1000, random: rand.New(rand.NewPCG(1, 2)), holds: map[string]int{}, ends: map[clock.Millis][]*Lease{},
	}
	steady := func() clock.Millis { return s.now }
	for i := range engines {
		s.engines = append(s.engines, registry.Upstream{
			ID: fmt.Sprint("engine-", i), Pool: "p", Address: fmt.Sprint("127.0.0.1:", i+1), FailureDomain: "d", Slots: 48,
		})
	}
	for range boxes {
		m := New(
			Settings{FailureDomain: "d", BoundPercent: 180, PanicPercent: 85, Health: health.Limits{BaseMs: 1000, MaxMs: 8000}},
			steady, func(address string) *upstream.Client { return upstream.New(address, steady) }, s.random.IntN,
		)
		m.SetUpstreams(s.engines)
		s.boxes = append(s.boxes, m)
		s.told = append(s.told, make([]map[string]int, boxes))
	}
	return s
}

// hear lets each box hear of some others, each of all once in a cycle.
func (s *surge) hear(cycleMs clock.Millis) {
	for i, m := range s.boxes {
		others := map[string]int{}
		for j := range s.boxes {
			if i != j && s.random.IntN(int(cycleMs/250)) == 0 {
				s.told[i][j] = s.inFlight(j)
			}
			for id, count := range s.told[i][j] {
				others[id] += count
			}
		}
		m.setOthersByID(others)
	}
}

func (s *surge) inFlight(box int) map[string]int {
	counts := map[string]int{}
	for id, member := range s.boxes[box].byID {
		if member.inFlight > 0 {
			counts[id] = member.inFlight
		}
	}
	return counts
}

func (m *Manager) setOthersByID(others map[string]int) {
	for id, member := range m.byID {
		member.others = others[id]
	}
}

// play sends requests for a while and returns the part of them that went to engines over the
// set multiple of the mean.
func (s *surge) play(t *testing.T, cycleMs, lengthMs clock.Millis) float64 {
	t.Helper()
	const streamMs, hotPercent = 1500, 12
	over, all := 0, 0
	for end := s.now + lengthMs; s.now < end; s.now++ {
		if s.now%250 == 0 {
			s.hear(cycleMs)
		}
		for _, lease := range s.ends[s.now] {
			s.holds[lease.ID]--
			s.running--
			lease.Report(s.holds[lease.ID])
			lease.Release(Succeeded)
		}
		delete(s.ends, s.now)
		session := fmt.Sprint("s", s.random.IntN(4000))
		if s.random.IntN(percent) < hotPercent {
			session = "hot"
		}
		lease, err := s.boxes[s.random.IntN(len(s.boxes))].Pick(Ask{
			Pool: "p", Sticky: true, Prompt: prompt.Prompt{{ID: session, Tokens: 2000}, {ID: "own", Tokens: 10}},
		})
		require.NoError(t, err)
		all++
		if s.holds[lease.ID]*len(s.engines) > 2*s.running+3*len(s.engines) {
			over++
		}
		s.holds[lease.ID]++
		s.running++
		s.ends[s.now+streamMs] = append(s.ends[s.now+streamMs], lease)
	}
	return float64(over) / float64(all)
}

func TestSurgeSmallFleet(t *testing.T) {
	s := newSurge(9, 40)
	s.play(t, 250, 3*clock.Second)
	assert.LessOrEqual(t, s.play(t, 250, 5*clock.Second), 0.03)
}

func TestSurgeLargeFleet(t *testing.T) {
	s := newSurge(87, 100)
	s.play(t, 1250, 3*clock.Second)
	assert.LessOrEqual(t, s.play(t, 1250, 5*clock.Second), 0.03)
}
