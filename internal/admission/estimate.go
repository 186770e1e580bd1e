package admission

import "dooryard.example/dooryard/internal/clock"

// maxMoreUrgentShare bounds the fraction of an engine's time that is left to more urgent work in an estimate: asks that
// wait for longest get their turn.
const maxMoreUrgentShare = 1 - 1.0/turnEvery

// startIn returns the expected time to the first event of a request that is sent or queued now, allowing for more
// urgent requests that arrive while it waits.
func (u *upstream) startIn(r *request, now clock.Millis) clock.Millis {
	return u.startAfter(r, u.queue.ahead(r), true, now)
}

// startAfter returns it for the queued work that is granted before the request. Only at the ask, it allows for what may
// come: a queued ask isn't denied because of a rate that varies.
func (u *upstream) startAfter(r *request, ahead load, atAsk bool, now clock.Millis) clock.Millis {
	share := 0.0
	if atAsk {
		share = min(maxMoreUrgentShare, u.arrivals.moreUrgentShare(r.ask.Urgency, now))
	}
	ahead = ahead.plus(u.turnAhead(r, ahead))
	waitMs := (u.backlogMs(now) + u.prefillMs(ahead)) / (1 - share)
	waitMs = max(waitMs, u.capacityWaitMs(r, ahead, atAsk, now))
	return u.firstEventMs(r, waitMs)
}

// ahead returns the queued work that is expected to be granted before a request, which may itself be queued or not.
func (q *queue) ahead(r *request) load {
	sum := load{}
	for _, c := range q.classes {
		if c.urgency < r.ask.Urgency {
			sum = sum.plus(c.waiting)
		}
	}
	c := q.class(r.ask.Urgency)
	organisation := c.organisations.flows[r.ask.Organisation]
	start, within := c.organisations.startOf(organisation), load{}
	if organisation != nil {
		within = organisation.sessions.aheadOfSession(r)
	}
	return sum.plus(within).plus(c.organisations.others(organisation, start+within.cost, r))
}

// aheadOfSession returns the work of an organisation's sessions that is ahead of a request.
func (s *schedule) aheadOfSession(r *request) load {
	session := s.flows[r.ask.Session]
	start, within := s.startOf(session), load{}
	if session != nil {
		for _, other := range session.asks {
			if other != r && compareDeadlines(other, r) < 0 {
				within = within.plus(other.waitingLoad)
			}
		}
	}
	return within.plus(s.others(session, start+within.cost, r))
}

// startOf returns the start tag of a flow, which may be unknown.
func (s *schedule) startOf(f *flow) float64 {
	switch {
	case f == nil:
		return s.virtual
	case f.waiting.requests == 0:
		return max(s.virtual, f.start)
	}
	return f.start
}

// others returns the work of other flows that is ahead of a request with a start tag: what they have with smaller tags.
func (s *schedule) others(own *flow, tag float64, r *request) load {
	sum := load{}
	for _, f := range s.active {
		if f == own || f.start > tag {
			continue
		}
		cost := tag - f.start
		if cost > 0 || f.precedes(r) {
			cost += f.waiting.cost / f.waiting.requests
		}
		sum = sum.plus(f.waiting.times(min(1, cost/f.waiting.cost)))
	}
	return sum
}

// precedes reports whether the first ask of a flow goes before a request if the start tags are equal.
func (f *flow) precedes(r *request) bool {
	if len(f.asks) > 0 {
		return compareDeadlines(f.asks[0], r) < 0
	}
	for _, session := range f.sessions.active {
		if session.precedes(r) {
			return true
		}
	}
	return false
}
