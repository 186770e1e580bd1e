package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/registry"
)

// These tests guard against overloaded engines during a surge. In a large deployment one
// organisation sent nine times its usual load, and two in five requests of a kind used the same
// session: 267 of 5,802 requests within 5 s went to engines above the configured multiple of the
// mean, where 3% are allowed (290 of 5,792 with an older version). The 87 boxes exchange loads
// every 1.25 s on average, so each sends the session to the engine that ranks first for it until it
// learns of the others' requests. Nine boxes, which exchange loads every 0.25 s, keep the bound.
// The logs show some twenty engines that held 15 to 22 requests while boxes estimated 6 to 11, and
// most of these engines rank first for the sessions of those requests: the cause is unreported
// load, not a single session.

// simulation is a fleet of boxes in front of engines, in which boxes exchange loads in turns.
type simulation struct {
	now        clock.Millis
	random     *rand.Rand
	boxes      []*Manager
	engines    []registry.Upstream
	engineLoad map[string]int
	running    int
	// reported holds the loads that each box last received from each other one.
	reported    [][]map[string]int
	completions map[clock.Millis][]*Lease
}

func newSimulation(boxes, engines int) *simulation {
	s := &simulation{
		now: 1000, random: rand.New(rand.NewPCG(1, 2)), engineLoad: map[string]int{},
		engines: testUpstreams("engine-", engines, 48), completions: map[clock.Millis][]*Lease{},
	}
	for range boxes {
		s.boxes = append(s.boxes, newTestManager(&s.now, s.random.IntN, s.engines, Settings{
			FailureDomain: "d0", BoundPercent: 180, PanicPercent: 85,
		}))
		s.reported = append(s.reported, make([]map[string]int, boxes))
	}
	return s
}

// exchangeLoads delivers to each box the loads of some others, of each about once per cycle.
func (s *simulation) exchangeLoads(cycleMs clock.Millis) {
	for i, m := range s.boxes {
		others := map[string]int{}
		for j := range s.boxes {
			if i != j && s.random.IntN(int(cycleMs/250)) == 0 {
				s.reported[i][j] = s.inFlight(j)
			}
			for id, count := range s.reported[i][j] {
				others[id] += count
			}
		}
		m.setOthersByID(others)
	}
}

func (s *simulation) inFlight(box int) map[string]int {
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
		member.othersInFlight = others[id]
	}
}

// run sends requests for a while and returns the fraction that went to engines above the configured
// multiple of the mean.
func (s *simulation) run(t *testing.T, cycleMs, lengthMs clock.Millis) float64 {
	t.Helper()
	const streamMs, hotPercent = 1500, 12
	overBound, total := 0, 0
	for end := s.now + lengthMs; s.now < end; s.now++ {
		if s.now%250 == 0 {
			s.exchangeLoads(cycleMs)
		}
		for _, lease := range s.completions[s.now] {
			s.engineLoad[lease.ID]--
			s.running--
			lease.RecordLoad(s.engineLoad[lease.ID])
			lease.Release(Succeeded)
		}
		delete(s.completions, s.now)
		session := fmt.Sprint("s", s.random.IntN(4000))
		if s.random.IntN(percent) < hotPercent {
			session = "hot"
		}
		lease, err := s.boxes[s.random.IntN(len(s.boxes))].Pick(PickRequest{
			Pool: "p", Sticky: true, Prompt: prompt.Prompt{{ID: session, Tokens: 2000}, {ID: "own", Tokens: 10}},
		})
		require.NoError(t, err)
		total++
		if s.engineLoad[lease.ID]*len(s.engines) > 2*s.running+3*len(s.engines) {
			overBound++
		}
		s.engineLoad[lease.ID]++
		s.running++
		s.completions[s.now+streamMs] = append(s.completions[s.now+streamMs], lease)
	}
	return float64(overBound) / float64(total)
}

func TestSurgeSmallFleet(t *testing.T) {
	s := newSimulation(9, 40)
	s.run(t, 250, 3*clock.Second)
	assert.LessOrEqual(t, s.run(t, 250, 5*clock.Second), 0.03)
}

func TestSurgeLargeFleet(t *testing.T) {
	s := newSimulation(87, 100)
	s.run(t, 1250, 3*clock.Second)
	assert.LessOrEqual(t, s.run(t, 1250, 5*clock.Second), 0.03)
}
