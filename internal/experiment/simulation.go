package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/health"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/upstream"
)

// Sizes of the fleet and its load, in the proportions of a current small deployment.
const (
	domains           = 4
	boxesPerDomain    = 2
	enginesPerDomain  = 4
	sessions          = 160
	prefixes          = 4
	requestIntervalMs = 5
	lengthMs          = 30 * clock.Second
	prefixTokens      = 500
	sessionTokens     = 8000
	uniqueTokens      = 300
	slots             = 48
)

// Latencies, fault times and limits of the simulation.
const (
	tickMs             clock.Millis = 1
	exchangeIntervalMs clock.Millis = 250
	baseLatencyMs      clock.Millis = 50
	streamDurationMs   clock.Millis = 800
	prefillTokensPerMs              = 100
	fetchTokensPerMs                = 1000
	connectRefusedMs   clock.Millis = 3
	connectTimeoutMs   clock.Millis = 200
	objectiveMs        clock.Millis = 300
	detectionMs        clock.Millis = 300
	crashAtMs                       = 10 * clock.Second
	partitionAtMs                   = 18 * clock.Second
	partitionMs                     = 5 * clock.Second
	maxConnectAttempts              = 24
	maxAttempts                     = 2
	errorPercent                    = 5
	percent                         = 100
	boundPercent                    = 180
	panicPercent                    = 85
)

// engine is the true state of an engine. The map cached holds the prompt parts in its cache.
type engine struct {
	registry.Upstream
	up     bool
	cached map[string]bool
}

// box is a box with the balance.Manager that makes its decisions.
type box struct {
	domain string
	*balance.Manager
	// lastSent is the position up to which each other box has received this box's log of cached prompt parts.
	lastSent map[*box]int64
}

// completion is the scheduled end of a running request.
type completion struct {
	atMs  clock.Millis
	lease *balance.Lease
}

// simulation is one simulated run of the fleet with one mechanism disabled, or none.
type simulation struct {
	disabled Mechanism
	faults   []Fault
	random   *rand.Rand
	now      clock.Millis

	boxes   []*box
	engines []*engine
	// isolated is the failure domain that is cut off by a network partition, or "".
	isolated    string
	completions []completion
	// read holds the prompt parts that at least one engine has read.
	read map[string]bool

	requests, served, inTime, attempts int
	sharedTokens, reread, fetched      int
}

func newSimulation(disabled Mechanism, faults []Fault, seed uint64) *simulation {
	s := &simulation{
		disabled: disabled, faults: faults, random: rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // Seeded on purpose.
		now: clock.Second, read: map[string]bool{},
	}
	for i := range domains * enginesPerDomain {
		s.addEngine(i, i%domains)
	}
	for i := range domains * boxesPerDomain {
		s.addBox(fmt.Sprint("d", i%domains))
	}
	s.setUpstreams()
	return s
}

func (s *simulation) addEngine(number, domain int) {
	s.engines = append(s.engines, &engine{up: true, cached: map[string]bool{}, Upstream: registry.Upstream{
		ID: fmt.Sprint("engine-", number), Pool: "p", Address: fmt.Sprint("127.0.0.1:", number+1),
		FailureDomain: fmt.Sprint("d", domain), Slots: slots,
	}})
}

func (s *simulation) addBox(domain string) {
	monotonic := func() clock.Millis { return s.now }
	noDial := func(context.Context, string, string) (net.Conn, error) { return nil, upstream.ErrUnreachable }
	s.boxes = append(s.boxes, &box{domain: domain, lastSent: map[*box]int64{}, Manager: balance.New(balance.Settings{
		FailureDomain: domain, BoundPercent: boundPercent, PanicPercent: panicPercent,
		Health: health.Limits{BaseMs: clock.Second, MaxMs: 8 * clock.Second},
	}, monotonic, func(address string) *upstream.Client {
		return upstream.New(address, monotonic, upstream.WithDial(noDial))
	}, s.random.IntN)})
}

// setUpstreams passes the current list of engines to all boxes.
func (s *simulation) setUpstreams() {
	list := []registry.Upstream{}
	for _, e := range s.engines {
		list = append(list, e.Upstream)
	}
	for _, b := range s.boxes {
		b.SetUpstreams(list)
	}
}

func (s *simulation) has(f Fault) bool { return slices.Contains(s.faults, f) }

// run runs the simulation and returns its metrics.
func (s *simulation) run() Metrics {
	for end := s.now + lengthMs; s.now < end; s.now += tickMs {
		s.injectFaults()
		s.endRequests()
		if s.now%exchangeIntervalMs == 0 {
			s.exchange()
		}
		if s.now%requestIntervalMs == 0 {
			s.request(s.boxes[s.random.IntN(len(s.boxes))])
		}
	}
	n, sharedTokens := float64(s.requests), float64(max(1, s.sharedTokens))
	return Metrics{
		InTime: float64(s.inTime) / n, Served: float64(s.served) / n, Attempts: float64(s.attempts) / n,
		Reread: float64(s.reread) / sharedTokens, Fetched: float64(s.fetched) / sharedTokens,
	}
}

// injectFaults starts and ends faults at their scheduled times.
func (s *simulation) injectFaults() {
	switch {
	case s.has(Crash) && s.now == crashAtMs:
		for i, e := range s.engines {
			e.up = i%3 != 0
		}
	case s.has(Crash) && s.now == crashAtMs+3*clock.Second:
		s.replaceEngines()
	case s.has(Partition) && s.now == partitionAtMs:
		s.isolated = "d0"
	case s.has(Partition) && s.now == partitionAtMs+detectionMs && s.disabled != PathProbing:
		s.reportProbes(false)
	case s.has(Partition) && s.now == partitionAtMs+partitionMs:
		s.isolated = ""
	case s.has(Partition) && s.now == partitionAtMs+partitionMs+detectionMs && s.disabled != PathProbing:
		s.reportProbes(true)
	}
}

// replaceEngines replaces the engines that crashed by new ones.
func (s *simulation) replaceEngines() {
	removed := 0
	for i := len(s.engines) - 1; i >= 0; i-- {
		if !s.engines[i].up {
			s.engines = slices.Delete(s.engines, i, i+1)
			removed++
		}
	}
	for i := range removed {
		s.addEngine(domains*enginesPerDomain+i, i%domains)
	}
	s.setUpstreams()
}

// reportProbes reports to all boxes the result of probing the failure domains across the partition.
func (s *simulation) reportProbes(opened bool) {
	for _, b := range s.boxes {
		for i := range domains {
			if name := fmt.Sprint("d", i); (name == "d0") != (b.domain == "d0") {
				b.RecordProbe(name, opened)
			}
		}
	}
}

// reachable reports whether two failure domains can reach each other.
func (s *simulation) reachable(one, other string) bool {
	return s.isolated == "" || (one == s.isolated) == (other == s.isolated)
}

// endRequests releases the leases of the requests that have ended.
func (s *simulation) endRequests() {
	s.completions = slices.DeleteFunc(s.completions, func(e completion) bool {
		if e.atMs > s.now {
			return false
		}
		e.lease.Release(balance.Succeeded)
		return true
	})
}

// exchange passes the load of each box and its news about cached prompt parts to the boxes that it can reach.
func (s *simulation) exchange() {
	for _, b := range s.boxes {
		others := map[namekey.Key]int{}
		for _, other := range s.boxes {
			if other != b && s.reachable(b.domain, other.domain) {
				s.share(other, b, others)
			}
		}
		b.SetOthersInFlight(others)
	}
}

// share passes the news about cached prompt parts from one box to another, and adds the sender's load to loads.
func (s *simulation) share(from, to *box, loads map[namekey.Key]int) {
	if s.disabled != LoadSharing {
		for id, count := range from.InFlight() {
			loads[id] += count
		}
	}
	if s.disabled != CacheSharing {
		kept, next := from.AnnouncementsSince(from.lastSent[to], percent)
		from.lastSent[to] = next
		to.RecordAnnouncements(kept)
	}
}

// prompt returns the next prompt of a random session. Sessions with a lower number are more frequent.
func (s *simulation) prompt() prompt.Prompt {
	session := min(s.random.IntN(sessions), s.random.IntN(sessions))
	return prompt.Prompt{
		{ID: fmt.Sprint("head-", session%prefixes), Tokens: prefixTokens},
		{ID: fmt.Sprint("session-", session), Tokens: sessionTokens},
		{ID: fmt.Sprint("own-", s.requests), Tokens: uniqueTokens},
	}
}
