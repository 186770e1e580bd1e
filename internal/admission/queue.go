package admission

import (
	"cmp"
	"container/list"
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

const (
	// minQueueLength and queuePerSlot bound the queue of an upstream.
	minQueueLength = 64
	queuePerSlot   = 4
	// flowTTLMs is how long the usage of an organisation or a session without waiting asks is remembered. In it a
	// session that was served goes after others. For longer, a chat would go after new sessions for as long as an
	// overload lasts.
	flowTTLMs = 2 * clock.Second
	// maxClasses is the number of urgencies that are told apart.
	maxClasses = 16
)

// queue holds the asks that wait for an upstream, by urgency.
type queue struct {
	// organisations are those of the pool without waiting asks.
	organisations *idleFlows
	classes       []*class
	length        int
}

// class holds the asks of one urgency.
type class struct {
	urgency       int
	organisations schedule
	waiting       load
	// aboveMs is since when the work ahead of requests of this urgency has exceeded the target, or 0.
	aboveMs clock.Millis
}

// class returns the class of an urgency.
func (q *queue) class(urgency int) *class {
	i, found := slices.BinarySearchFunc(q.classes, urgency, func(c *class, u int) int { return c.urgency - u })
	if !found {
		q.classes = slices.Insert(q.classes, i, &class{urgency: urgency, organisations: newSchedule(q.organisations)})
	}
	return q.classes[i]
}

func (q *queue) push(r *request) {
	c := q.class(r.ask.Urgency)
	w := r.load()
	organisation := c.organisations.flow(r.ask.Organisation)
	r.session = organisation.sessions.flow(r.ask.Session)
	c.organisations.activate(organisation)
	organisation.sessions.activate(r.session)
	i, _ := slices.BinarySearchFunc(r.session.asks, r, compareDeadlines)
	r.session.asks = slices.Insert(r.session.asks, i, r)
	r.waitingLoad = w
	c.waiting, organisation.waiting = c.waiting.plus(w), organisation.waiting.plus(w)
	r.session.waiting = r.session.waiting.plus(w)
	q.length++
}

// remove takes a request out of the queue.
func (q *queue) remove(r *request, now clock.Millis) {
	c := q.class(r.ask.Urgency)
	organisation := c.organisations.flow(r.ask.Organisation)
	i := slices.Index(r.session.asks, r)
	r.session.asks = slices.Delete(r.session.asks, i, i+1)
	c.waiting, organisation.waiting = c.waiting.minus(r.waitingLoad), organisation.waiting.minus(r.waitingLoad)
	r.session.waiting = r.session.waiting.minus(r.waitingLoad)
	organisation.sessions.deactivateIdle(r.session, now)
	c.organisations.deactivateIdle(organisation, now)
	q.length--
}

// charge counts a request that is granted, before it is removed.
func (q *queue) charge(r *request) {
	c := q.class(r.ask.Urgency)
	organisation := c.organisations.flow(r.ask.Organisation)
	c.organisations.charge(organisation, r.cost())
	organisation.sessions.charge(r.session, r.cost())
}

// first returns the class that is served next, or nil if nothing waits.
func (q *queue) first() *class {
	for _, c := range q.classes {
		if c.waiting.requests > 0 {
			return c
		}
	}
	return nil
}

// waitsUpTo reports whether asks of an urgency or of greater ones wait.
func (q *queue) waitsUpTo(urgency int) bool {
	c := q.first()
	return c != nil && c.urgency <= urgency
}

// waitsBelow reports whether less urgent asks than those of an urgency wait.
func (q *queue) waitsBelow(urgency int) bool {
	for _, c := range slices.Backward(q.classes) {
		if c.waiting.requests > 0 {
			return c.urgency > urgency
		}
	}
	return false
}

// several reports whether asks of several urgencies wait.
func (q *queue) several() bool {
	count := 0
	for _, c := range q.classes {
		if c.waiting.requests > 0 {
			count++
		}
	}
	return count > 1
}

// each calls a function for each waiting ask.
func (q *queue) each(visit func(r *request)) {
	for _, c := range q.classes {
		for _, organisation := range c.organisations.active {
			for _, session := range organisation.sessions.active {
				for _, r := range session.asks {
					visit(r)
				}
			}
		}
	}
}

// all returns the waiting asks, the longest-waiting first.
func (q *queue) all() []*request {
	all := make([]*request, 0, q.length)
	q.each(func(r *request) { all = append(all, r) })
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.number, b.number) })
	return all
}

// longestWaiting returns the longest-waiting ask, or nil if none waits.
func (q *queue) longestWaiting() *request {
	var oldest *request
	q.each(func(r *request) {
		if oldest == nil || r.number < oldest.number {
			oldest = r
		}
	})
	return oldest
}

func (q *queue) forgetIdle(now clock.Millis) {
	for _, c := range q.classes {
		c.organisations.forgetIdle(now)
		for _, organisation := range c.organisations.flows {
			organisation.sessions.forgetIdle(now)
		}
	}
}

// schedule is a start-time fair queue of flows. The start tag of a flow that begins to wait is the finish tag of its
// last request, but at least the virtual time, which is the largest start tag that was served. Flows with equal tags
// are served by their earliest deadline, so that callers that came back go before new ones.
type schedule struct {
	virtual float64
	flows   map[namekey.Key]*flow
	active  []*flow
	idle    *idleFlows
}

// flow is an organisation with its sessions, or a session with its asks, the earliest deadline first.
type flow struct {
	key      namekey.Key
	start    float64
	idleMs   clock.Millis
	waiting  load
	sessions *schedule
	asks     []*request
	// idle is the entry of the flow among the idle ones, or nil while asks wait.
	idle *list.Element
}

func newSchedule(idle *idleFlows) schedule {
	return schedule{flows: map[namekey.Key]*flow{}, idle: idle}
}

func (s *schedule) flow(key namekey.Key) *flow {
	f := s.flows[key]
	if f == nil {
		sessions := newSchedule(&idleFlows{limit: maxIdleSessions, evicted: s.idle.evicted})
		f = &flow{key: key, sessions: &sessions}
		s.flows[key] = f
	}
	return f
}

func (s *schedule) activate(f *flow) {
	if f.waiting.requests == 0 {
		s.idle.remove(f)
		f.start = max(f.start, s.virtual)
		s.active = append(s.active, f)
	}
}

func (s *schedule) deactivateIdle(f *flow, now clock.Millis) {
	if f.waiting.requests > 0 {
		return
	}
	f.idleMs = now
	i := slices.Index(s.active, f)
	s.active = slices.Delete(s.active, i, i+1)
	s.idle.add(s, f)
}

func (s *schedule) charge(f *flow, cost float64) {
	s.virtual = max(s.virtual, f.start)
	f.start += cost
}

func (s *schedule) forgetIdle(now clock.Millis) {
	for _, f := range s.flows {
		if f.waiting.requests == 0 && now-f.idleMs >= flowTTLMs {
			s.forget(f)
		}
	}
}

func (s *schedule) forget(f *flow) {
	s.idle.remove(f)
	delete(s.flows, f.key)
}

// next returns the ask that is served next, without those that were passed over in this dispatch, and the start tag of
// its flow.
func (s *schedule) next(dispatch uint64) (best *request) {
	start := 0.0
	for _, f := range s.active {
		if best != nil && f.start > start {
			continue
		}
		r := f.next(dispatch)
		if r != nil && (best == nil || f.start < start || compareDeadlines(r, best) < 0) {
			best, start = r, f.start
		}
	}
	return best
}

func (f *flow) next(dispatch uint64) *request {
	if len(f.asks) == 0 {
		return f.sessions.next(dispatch)
	}
	for _, r := range f.asks {
		if r.passed != dispatch {
			return r
		}
	}
	return nil
}

// compareDeadlines orders asks of a session, and sessions and organisations with equal start tags. Those that are late
// in any case go last: before others, they would make those late as well.
func compareDeadlines(a, b *request) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	if order := cmp.Compare(a.giveUpMs, b.giveUpMs); order != 0 {
		return order
	}
	return cmp.Compare(a.number, b.number)
}
