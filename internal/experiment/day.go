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

// Sizes of the fleet and its load, in the proportions of a small deployment of today.
const (
	domains          = 4
	boxesPerDomain   = 2
	enginesPerDomain = 4
	sessions         = 160
	heads            = 4
	requestEachMs    = 5
	lengthMs         = 30 * clock.Second
	headTokens       = 500
	sessionTokens    = 8000
	ownTokens        = 300
	slots            = 48
)

// Times of requests and faults.
const (
	tickMs       clock.Millis = 1
	meshMs       clock.Millis = 250
	answerMs     clock.Millis = 50
	streamMs     clock.Millis = 800
	tokensPerMs               = 100
	movesPerMs                = 1000
	refusedMs    clock.Millis = 3
	silentMs     clock.Millis = 200
	objectiveMs  clock.Millis = 300
	noticeMs     clock.Millis = 300
	crashAtMs                 = 10 * clock.Second
	cutAtMs                   = 18 * clock.Second
	cutMs                     = 5 * clock.Second
	maxConnects               = 24
	maxAttempts               = 2
	errorPercent              = 5
	percent                   = 100
	boundPercent              = 180
	panicPercent              = 85
)

// engine is the truth about one engine.
type engine struct {
	registry.Upstream
	up    bool
	keeps map[string]bool
}

// box is one box with its decisions.
type box struct {
	domain string
	*balance.Manager
	// told is how far each other box was told of parts that engines keep.
	told map[*box]int64
}

// end is a request that ends.
type end struct {
	atMs  clock.Millis
	lease *balance.Lease
}

// day is one day in play.
type day struct {
	off    Mechanism
	faults []Fault
	random *rand.Rand
	now    clock.Millis

	boxes   []*box
	engines []*engine
	cut     string
	ends    []end
	// read are the parts that some engine has read.
	read map[string]bool

	requests, served, inTime, attempts int
	tokens, again, moved               int
}

func newDay(off Mechanism, faults []Fault, seed uint64) *day {
	d := &day{
		off: off, faults: faults, random: rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // Seeded on purpose.
		now: clock.Second, read: map[string]bool{},
	}
	for i := range domains * enginesPerDomain {
		d.addEngine(i, i%domains)
	}
	for i := range domains * boxesPerDomain {
		d.addBox(fmt.Sprint("d", i%domains))
	}
	d.tellEngines()
	return d
}

func (d *day) addEngine(number, domain int) {
	d.engines = append(d.engines, &engine{up: true, keeps: map[string]bool{}, Upstream: registry.Upstream{
		ID: fmt.Sprint("engine-", number), Pool: "p", Address: fmt.Sprint("127.0.0.1:", number+1),
		FailureDomain: fmt.Sprint("d", domain), Slots: slots,
	}})
}

func (d *day) addBox(domain string) {
	monotonic := func() clock.Millis { return d.now }
	noDial := func(context.Context, string, string) (net.Conn, error) { return nil, upstream.ErrUnreachable }
	d.boxes = append(d.boxes, &box{domain: domain, told: map[*box]int64{}, Manager: balance.New(balance.Settings{
		FailureDomain: domain, BoundPercent: boundPercent, PanicPercent: panicPercent,
		Health: health.Limits{BaseMs: clock.Second, MaxMs: 8 * clock.Second},
	}, monotonic, func(address string) *upstream.Client {
		return upstream.New(address, monotonic, upstream.WithDial(noDial))
	}, d.random.IntN)})
}

// tellEngines tells all boxes which engines there are.
func (d *day) tellEngines() {
	list := []registry.Upstream{}
	for _, e := range d.engines {
		list = append(list, e.Upstream)
	}
	for _, b := range d.boxes {
		b.SetUpstreams(list)
	}
}

func (d *day) has(f Fault) bool { return slices.Contains(d.faults, f) }

// play plays the day.
func (d *day) play() Figures {
	for end := d.now + lengthMs; d.now < end; d.now += tickMs {
		d.strike()
		d.endRequests()
		if d.now%meshMs == 0 {
			d.exchange()
		}
		if d.now%requestEachMs == 0 {
			d.request(d.boxes[d.random.IntN(len(d.boxes))])
		}
	}
	n, tokens := float64(d.requests), float64(max(1, d.tokens))
	return Figures{
		InTime: float64(d.inTime) / n, Served: float64(d.served) / n, Attempts: float64(d.attempts) / n,
		ReadAgain: float64(d.again) / tokens, Moved: float64(d.moved) / tokens,
	}
}

// strike begins and ends faults.
func (d *day) strike() {
	switch {
	case d.has(Crash) && d.now == crashAtMs:
		for i, e := range d.engines {
			e.up = i%3 != 0
		}
	case d.has(Crash) && d.now == crashAtMs+3*clock.Second:
		d.replaceEngines()
	case d.has(Cut) && d.now == cutAtMs:
		d.cut = "d0"
	case d.has(Cut) && d.now == cutAtMs+noticeMs && d.off != Paths:
		d.look(false)
	case d.has(Cut) && d.now == cutAtMs+cutMs:
		d.cut = ""
	case d.has(Cut) && d.now == cutAtMs+cutMs+noticeMs && d.off != Paths:
		d.look(true)
	}
}

// replaceEngines has new engines come in place of those that crashed.
func (d *day) replaceEngines() {
	gone := 0
	for i := len(d.engines) - 1; i >= 0; i-- {
		if !d.engines[i].up {
			d.engines = slices.Delete(d.engines, i, i+1)
			gone++
		}
	}
	for i := range gone {
		d.addEngine(domains*enginesPerDomain+i, i%domains)
	}
	d.tellEngines()
}

// look tells all boxes whether connections over the cut open.
func (d *day) look(opened bool) {
	for _, b := range d.boxes {
		for i := range domains {
			if name := fmt.Sprint("d", i); (name == "d0") != (b.domain == "d0") {
				b.RecordProbe(name, opened)
			}
		}
	}
}

// reaches reports whether there is a path between two failure domains.
func (d *day) reaches(one, other string) bool {
	return d.cut == "" || (one == d.cut) == (other == d.cut)
}

// endRequests gives back what has ended.
func (d *day) endRequests() {
	d.ends = slices.DeleteFunc(d.ends, func(e end) bool {
		if e.atMs > d.now {
			return false
		}
		e.lease.Release(balance.Succeeded)
		return true
	})
}

// exchange has each box tell the others its load and what engines keep.
func (d *day) exchange() {
	for _, b := range d.boxes {
		others := map[namekey.Key]int{}
		for _, other := range d.boxes {
			if other != b && d.reaches(b.domain, other.domain) {
				d.tell(other, b, others)
			}
		}
		b.SetOthersInFlight(others)
	}
}

// tell has one box tell another what engines keep, and adds its load to that of others.
func (d *day) tell(from, to *box, loads map[namekey.Key]int) {
	if d.off != OthersLoads {
		for id, count := range from.InFlight() {
			loads[id] += count
		}
	}
	if d.off != SharedCaches {
		kept, next := from.AnnouncementsSince(from.told[to], percent)
		from.told[to] = next
		to.RecordAnnouncements(kept)
	}
}

// prompt draws a session's next prompt: earlier sessions are asked for more often.
func (d *day) prompt() prompt.Prompt {
	session := min(d.random.IntN(sessions), d.random.IntN(sessions))
	return prompt.Prompt{
		{ID: fmt.Sprint("head-", session%heads), Tokens: headTokens},
		{ID: fmt.Sprint("session-", session), Tokens: sessionTokens},
		{ID: fmt.Sprint("own-", d.requests), Tokens: ownTokens},
	}
}
