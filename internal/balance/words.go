package balance

import (
	"errors"
	"fmt"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/registry"
)

// Errors of a check right before a send.
var (
	// ErrAtRest means that the upstream wants no request from this box now.
	ErrAtRest = errors.New("the upstream asked this box for rest")
	// ErrLeaving means that the upstream is about to end.
	ErrLeaving = errors.New("the upstream is leaving")
)

// AllRestError is that an upstream would take a request, but for the rest that all of them
// asked for. It is an ErrNoUpstream.
type AllRestError struct {
	// Upstreams is how many rest.
	Upstreams int
	// First is the upstream whose rest ends first, after EndsMs, and Request the one to whose
	// refusal it asked for it.
	First   string
	EndsMs  clock.Millis
	Request string
}

// Error implements error.
func (e *AllRestError) Error() string {
	return fmt.Sprintf("%v: %d rest, %s first, for %d ms more, asked in the refusal of request %s",
		ErrNoUpstream, e.Upstreams, e.First, e.EndsMs, e.Request)
}

// Unwrap returns ErrNoUpstream.
func (*AllRestError) Unwrap() error { return ErrNoUpstream }

// word is what an upstream said of itself in its answers to this box. It belongs to the
// incarnation: what the store says of the upstream, its health and its load leave it as it is.
//
// Boxes that don't keep it send up to 7 requests into a rest (38 to 44 of 189 to 203 rests had
// more than 2) where half of twelve upstreams shed, and 136 to 145 requests to four that had
// said 2 s before that they leave (90 requests a second at six boxes, one run each); with
// it none.
//
// A word speaks to the box that it was said to. Other boxes aren't told: an upstream that wants
// rest from all of them says so to each.
type word struct {
	incarnation string
	restUntilMs clock.Millis
	// request is the one to whose refusal the upstream asked for its rest.
	request string
	leaving bool
	// heardMs is when it was last asked for.
	heardMs clock.Millis
	// nextUntilMs is the end of the longest rest that was asked for after a connection broke or
	// did not open: perhaps by the server's next life.
	nextUntilMs clock.Millis
	// goneMs is when the upstream was lost sight of.
	goneMs clock.Millis
}

// wordMemoryMs is how long a box keeps the word of an upstream whose entry is gone, and
// whatever its answers add to it: many times as long as an upstream takes to end, and as a
// store is away.
const wordMemoryMs = 10 * 60 * clock.Second

func (w *word) resting(now clock.Millis) bool { return now < w.restUntilMs }

// over reports whether what an upstream without an entry said of itself no longer counts.
func (w *word) over(now clock.Millis) bool {
	return !w.resting(now) && now-w.goneMs > wordMemoryMs
}

// leaves reports whether the upstream is about to end, by its entry or its answers: whichever
// says so first.
func (m *Member) leaves() bool { return m.Draining || m.said.leaving }

// wantsNothing reports whether the upstream wants no new request from this box.
func (m *Member) wantsNothing(now clock.Millis) bool { return m.leaves() || m.said.resting(now) }

// Rest notes that the upstream wants nothing from this box for a span, as it said in the
// refusal of a request, and returns whether it was not at rest before. The latest end holds.
// Afterwards single requests try it, as after an ejection, until one is answered: all that
// wait for the end of a rest would fill the upstream again.
func (l *Lease) Rest(span clock.Millis, request string) bool {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	now := l.manager.steady()
	news := !l.said.resting(now)
	until := now + span
	l.said.heardMs = now
	if until > l.said.restUntilMs {
		l.said.restUntilMs, l.said.request = until, request
	}
	if l.lost {
		l.said.nextUntilMs = max(l.said.nextUntilMs, until)
	}
	l.probation = true
	return news
}

// Leave notes that the upstream said that it is about to end, and returns whether that is news.
func (l *Lease) Leave() bool {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	news := !l.leaves()
	l.said.leaving = true
	return news
}

// MaySend tells, once a connection is there, whether the request may still be sent: the
// upstream may have asked for rest, or said that it leaves, since it was picked.
func (l *Lease) MaySend() error {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	switch {
	case l.leaves():
		return ErrLeaving
	case l.said.resting(l.manager.steady()):
		return ErrAtRest
	default:
		return nil
	}
}

// Resting returns how many upstreams rest now, by pool, without zeros.
func (m *Manager) Resting() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, counts := m.steady(), map[string]int{}
	for _, member := range m.byID {
		if member.said.resting(now) {
			counts[member.Pool]++
		}
	}
	return counts
}

// wordFor returns the word of an upstream that is new to the list; former is what is known of
// its server, if anything. An incarnation whose entry was gone for a while goes on with its word.
//
// A rest that was heard after connections to a former life broke, or were refused, or a short
// while before the next one was told of, may have been asked for by the next one: six boxes lost
// such a rest, and sent 4 to 8 requests each into it, and a box that had met no such sign 4. In
// doubt the upstream rests, which costs a box some seconds of it.
func (m *Manager) wordFor(u registry.Upstream, former *word) *word {
	if before := m.unseen[u.ID]; before != nil {
		delete(m.unseen, u.ID)
		former = before
	}
	switch {
	case former == nil:
		return &word{incarnation: u.Incarnation()}
	case former.incarnation == u.Incarnation():
		return former
	default:
		until := m.nextUntil(former)
		return &word{
			incarnation: u.Incarnation(), restUntilMs: until, request: former.request, heardMs: former.heardMs,
			nextUntilMs: until,
		}
	}
}

// newsLateMs is how long after a server's start boxes usually hear of it at the latest: a
// heartbeat, a poll of the store and as much again.
const newsLateMs = 3 * clock.Second

// nextUntil is the end of the rest that a former life's word leaves to the next one.
func (m *Manager) nextUntil(former *word) clock.Millis {
	if m.steady()-former.heardMs <= newsLateMs {
		return former.restUntilMs
	}
	return former.nextUntilMs
}

// keepWord keeps the word of an upstream whose entry is gone: entries lapse while the store that
// holds them is away, and come back.
func (m *Manager) keepWord(member *Member) {
	member.said.goneMs = m.steady()
	m.unseen[member.ID] = member.said
}

// noUpstream says why no upstream of a pool takes a request.
func (m *Manager) noUpstream(pool string, now clock.Millis) error {
	e := &AllRestError{}
	for _, member := range m.pools[pool] {
		if member.leaves() || !member.said.resting(now) {
			continue
		}
		e.Upstreams++
		if ends := member.said.restUntilMs - now; e.Upstreams == 1 || ends < e.EndsMs {
			e.First, e.EndsMs, e.Request = member.ID, ends, member.said.request
		}
	}
	if e.Upstreams == 0 {
		return ErrNoUpstream
	}
	return e
}
