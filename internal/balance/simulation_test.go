package balance

import (
	"fmt"
	"math/rand/v2"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/health"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/upstream"
)

// testUpstreams returns upstreams of one pool in three failure domains.
func testUpstreams(prefix string, count, slots int) (list []registry.Upstream) {
	for i := range count {
		list = append(list, registry.Upstream{
			ID: fmt.Sprint(prefix, i), Pool: "p", Address: fmt.Sprint("127.0.0.1:", i+1),
			FailureDomain: fmt.Sprint("d", i%3), Slots: slots,
		})
	}
	return list
}

// newTestManager returns a manager on a simulated clock.
func newTestManager(now *clock.Millis, random func(int) int, list []registry.Upstream, settings Settings) *Manager {
	monotonic := func() clock.Millis { return *now }
	settings.Health = health.Limits{BaseMs: 1000, MaxMs: 8000}
	m := New(settings, monotonic, func(address string) *upstream.Client { return upstream.New(address, monotonic) }, random)
	m.SetUpstreams(list)
	return m
}

// eventSimulation plays events on the managers of several boxes, those of one instant in the order in which they were
// added.
type eventSimulation struct {
	now     clock.Millis
	events  map[clock.Millis][]func()
	pending int
	random  *rand.Rand
	boxes   []*Manager
}

func newEventSimulation(seed uint64, boxes int, list []registry.Upstream) *eventSimulation {
	s := &eventSimulation{now: 1000, events: map[clock.Millis][]func(){}, random: rand.New(rand.NewPCG(seed, seed))}
	for i := range boxes {
		s.boxes = append(s.boxes, newTestManager(&s.now, s.random.IntN, list, Settings{
			FailureDomain: fmt.Sprint("d", i%3), BoundPercent: 180, PanicPercent: 60,
		}))
	}
	return s
}

func (s *eventSimulation) at(ms clock.Millis, run func()) {
	s.events[ms] = append(s.events[ms], run)
	s.pending++
}

// playEvents plays all events, also those that are added in the meantime.
func (s *eventSimulation) playEvents() {
	for ; s.pending > 0; s.now++ {
		for ; len(s.events[s.now]) > 0; s.pending-- {
			run := s.events[s.now][0]
			s.events[s.now] = s.events[s.now][1:]
			run()
		}
		delete(s.events, s.now)
	}
}
