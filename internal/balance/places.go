package balance

import (
	"math"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// In a fleet of hundreds a box sees a sliver of the traffic, and boxes that told each other all
// loads would take more bytes than control may. There each engine has an owner, a box that counts
// what all boxes have there and is asked before a request is sent. This answers load that is
// uneven: engines that are slow, that have more sessions than others, or that read prompts for the
// first time.

// maxFull is how many engines may be full before a request goes to the next one whatever its load.
const maxFull = 4

// Place is an owner's answer.
type Place struct {
	// Granted is set unless the engine holds as much as it may.
	Granted bool
	// Release gives the place back; nil if there is none to give back.
	Release func()
}

// PickPlace picks as Pick does, and asks for a place at each engine until one is granted. TakePlace
// asks the owner of the lease's engine for one under a bound.
func (m *Manager) PickPlace(a Ask, takePlace func(lease *Lease, bound int) Place) (*Lease, error) {
	for {
		lease, err := m.Pick(a)
		if err != nil || lease.bound == 0 {
			return lease, err
		}
		bound := lease.bound
		if len(a.Full) >= maxFull {
			bound = math.MaxInt16
		}
		p := takePlace(lease, bound)
		if p.Granted {
			lease.place(p.Release)
			return lease, nil
		}
		lease.cancel()
		a.Full = append(a.Full, lease.ID)
	}
}

// place takes in that the lease has a place, given back by a call if that is not nil.
func (l *Lease) place(release func()) {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.onRelease = release
	l.notePrompt(l.manager.steady())
}

// cancel undoes a pick that got no place.
func (l *Lease) cancel() {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.released = true
	l.inFlight--
}

// SetRunning takes in how many requests all boxes together run, by pool. Nil means that
// each box tells its loads by upstream.
func (m *Manager) SetRunning(running map[namekey.Key]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running = running
}

// Running returns how many requests this box runs, by pool, without zeros.
func (m *Manager) Running() map[namekey.Key]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	sums := map[namekey.Key]int{}
	for pool, members := range m.pools {
		for _, member := range members {
			if member.inFlight > 0 {
				sums[namekey.Of(pool)] += member.inFlight
			}
		}
	}
	return sums
}

// total is the load of some members of a pool: what is known of each, or in a large fleet their
// part of all that boxes run.
func (m *Manager) total(pool string, members []*Member, now clock.Millis) int {
	known := 0
	for _, member := range members {
		known += member.load(now)
	}
	share := float64(len(members)) / float64(max(1, len(m.pools[pool])))
	return max(known, int(math.Round(share*float64(m.running[namekey.Of(pool)]))))
}
