package admission

import "dooryard.example/dooryard/internal/clock"

const (
	// turnEvery is the part of an engine's time, as its inverse, that the longest-waiting ask gets while more urgent ones
	// wait. It is counted in prefill times: a large prompt takes the time of dozens of small ones, and a count of
	// requests would give most of the engine to a less urgent kind of large prompts.
	turnEvery = 8
	// maxOvertaken is how many requests of its urgency may be granted before one that lacks memory.
	maxOvertaken = 16
)

// turns counts the work that goes before the longest-waiting ask, so that no urgency starves.
type turns struct {
	// prefillMs is that of asks that were granted before it since the last one of its urgency.
	prefillMs float64
	// sinceMs is since when the longest-waiting ask has had its turn and lacked memory, or 0.
	sinceMs clock.Millis
}

// dueTurn returns the longest-waiting ask if the next grant is for it.
func (u *upstream) dueTurn() *request {
	if u.turns.prefillMs == 0 || !u.queue.several() {
		return nil
	}
	if r := u.queue.longestWaiting(); u.turns.prefillMs >= (turnEvery-1)*u.prefillMs(prefillOf(r)) {
		return r
	}
	return nil
}

// turnAhead returns the longest-waiting ask if that is less urgent than a request and will have its turn before the
// request, which waits behind others. Engines are also chosen by this, and a turn of a long prompt delays urgent ones
// by more than all other rules.
func (u *upstream) turnAhead(r *request, ahead load) load {
	if !u.queue.waitsBelow(r.ask.Urgency) {
		return load{}
	}
	turn := u.queue.longestWaiting()
	due := u.turns.prefillMs+u.prefillMs(ahead) >= (turnEvery-1)*u.prefillMs(prefillOf(turn))
	if turn.ask.Urgency > r.ask.Urgency && due {
		return turn.waitingLoad
	}
	return load{}
}

// dispatch grants queued asks while they can be.
func (u *upstream) dispatch(now clock.Millis) []Grant {
	var grants []Grant
	for r := u.next(now); r != nil; r = u.next(now) {
		if !r.fresh(now) {
			wasLate := r.late
			if !u.reconsider(r, now) {
				grants = append(grants, u.denyQueued(r, now))
				continue
			}
			if r.late != wasLate {
				continue
			}
		}
		u.countTurn(r)
		startIn := u.firstEventMs(r, u.backlogMs(now))
		u.queue.charge(r)
		u.queue.remove(r, now)
		u.grant(r, startIn, now)
		r.late = !r.inTime(startIn, now)
		answer := Answer{Verdict: Granted, StartInMs: startIn, Late: r.late, Provisional: u.provisional(now)}
		grants = append(grants, Grant{ID: r.ask.ID, Answer: answer})
	}
	return grants
}

// fresh reports whether an ask has just come, so that it has been decided on at this instant.
func (r *request) fresh(now clock.Millis) bool { return r.askedMs == now }

// countTurn counts the grant of a queued ask.
func (u *upstream) countTurn(r *request) {
	if r.ask.Urgency >= u.queue.longestWaiting().ask.Urgency {
		u.turns = turns{}
		return
	}
	u.turns.prefillMs += u.prefillMs(prefillOf(r))
}

// next returns the queued ask that can be granted now, or nil. Only those of the most urgent class are looked at, so
// that a less urgent one doesn't take memory for which a more urgent one waits.
func (u *upstream) next(now clock.Millis) *request {
	if r := u.dueTurn(); r != nil && u.holdsTurn(r, now) {
		return u.unlessObstructed(r, now)
	}
	c := u.queue.first()
	if c == nil {
		return nil
	}
	u.dispatches++
	overtaken := []*request{}
	for range maxOvertaken {
		r := c.organisations.next(u.dispatches)
		if r == nil {
			return nil
		}
		switch u.obstacle(r, now) {
		case none:
			for _, larger := range overtaken {
				larger.overtaken++
			}
			return r
		case lacksMemory:
			if r.overtaken >= maxOvertaken {
				return nil
			}
			overtaken = append(overtaken, r)
		case overBound:
		default:
			return nil
		}
		r.passed = u.dispatches
	}
	return nil
}

// unlessObstructed returns an ask if it can be granted now, or nil.
func (u *upstream) unlessObstructed(r *request, now clock.Millis) *request {
	if u.obstacle(r, now) != none {
		return nil
	}
	return r
}

// holdsTurn reports whether others wait for the longest-waiting ask. While that lacks memory they do so for at most the
// target: the ends of running requests may take seconds, and urgent ones would be late.
func (u *upstream) holdsTurn(r *request, now clock.Millis) bool {
	if u.obstacle(r, now) != lacksMemory {
		return true
	}
	if u.turns.sinceMs == 0 {
		u.turns.sinceMs = now
	}
	if float64(now-u.turns.sinceMs) < u.targetMs(now) {
		return true
	}
	u.turns = turns{}
	return false
}
