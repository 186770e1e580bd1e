package admission

import (
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// observe records since when more has been owed than the target, for each urgency. Nothing but waiting asks of the same
// or a greater urgency and the engine's backlog delays a request. It is called before and after each change.
func (u *upstream) observe(now clock.Millis) {
	owed := u.backlogMs(now) > u.targetMs(now)
	for _, c := range u.queue.classes {
		owed = owed || c.waiting.requests > 0
		switch {
		case !owed:
			c.aboveMs = 0
		case c.aboveMs == 0:
			c.aboveMs = now
		}
	}
}

// inTime reports whether a request that is expected to start after a time is in time.
func (r *request) inTime(startIn, now clock.Millis) bool { return now+startIn <= r.inTimeMs }

// waitMargin is the inverse of the margin by which a request that waits must be expected in time. More urgent work
// comes unevenly: with a smaller margin, a fifth of the prompts that were queued in an overload became late.
const waitMargin = 4

// lateTolerance is the inverse of the part of an objective by which a queued ask may become late before it is
// reconsidered. A request that has waited for its objective is served somewhat late rather than refused: at a
// sixteenth, every fourteenth refusal came after a wait of a second or more.
const lateTolerance = 4

// tolerance returns by how much a queued ask may become late before it is reconsidered. Waits for slots and memory vary
// with the times for which requests run.
func (u *upstream) tolerance(r *request, ahead load) clock.Millis {
	tolerated := r.objectiveMs / lateTolerance
	if slots, tokens := u.lacking(r, ahead); slots > 0 || tokens > 0 {
		tolerated += clock.Millis(u.pool.holds.deviation(r.ask.Urgency) * float64(r.objectiveMs))
	}
	return tolerated
}

// safelyInTime reports whether a request that waits can be in time even if more urgent work comes than of late.
func (r *request) safelyInTime(startIn, now clock.Millis) bool {
	return r.inTime(startIn+startIn/waitMargin, now)
}

// acceptsLate reports whether a request is accepted although it can't be in time: while its upstream has been behind
// for less than one objective, since a short burst drains by itself and a late response is better than none, and if it
// is late by less than one objective and its caller still waits then. While times are unknown, nothing is denied
// because of them.
func (u *upstream) acceptsLate(r *request, startIn, now clock.Millis) bool {
	if !u.pool.times.mayDeny() {
		return true
	}
	above := u.queue.class(r.ask.Urgency).aboveMs
	burst := above == 0 || now-above < r.objectiveMs
	return burst && now+startIn < min(r.giveUpMs, r.inTimeMs+r.objectiveMs) && !u.deniedMoreUrgent(r, now)
}

// deniedMoreUrgent reports whether a more urgent request was denied within the last objective, so that a less urgent
// kind is not denied less often.
func (u *upstream) deniedMoreUrgent(r *request, now clock.Millis) bool {
	for urgency, deniedMs := range u.pool.deniedMs {
		if urgency < r.ask.Urgency && deniedMs > 0 && now-deniedMs < r.objectiveMs {
			return true
		}
	}
	return false
}

// drainMs returns the time after which a request like this one can be granted: until the work ahead of it fits
// into the target together with it, or is done.
func (u *upstream) drainMs(r *request, startIn, now clock.Millis) clock.Millis {
	own := u.prefillMs(prefillOf(r))
	return max(0, startIn-clock.Millis(u.afterPrefillMs()+max(own, u.targetMs(now))))
}

// displaces reports whether a request would make a queued ask of its organisation late by going ahead of it, as one of
// a caller that came back does. Denying the newcomer at once is better than denying the other after a wait. Those of
// other organisations don't count: what is fair between organisations takes precedence.
func (u *upstream) displaces(r *request, now clock.Millis) bool {
	organisation := u.queue.class(r.ask.Urgency).organisations.flows[r.ask.Organisation]
	if organisation == nil {
		return false
	}
	var behind []*request
	for _, session := range organisation.sessions.active {
		for _, other := range session.asks {
			if !other.late && compareDeadlines(other, r) > 0 {
				behind = append(behind, other)
			}
		}
	}
	slices.SortFunc(behind, compareDeadlines)
	ahead, own := u.queue.ahead(r), r.load()
	for _, other := range behind {
		if !other.inTime(u.startAfter(other, ahead.plus(own), false, now), now) &&
			other.inTime(u.startAfter(other, ahead, false, now), now) {
			return true
		}
		ahead = ahead.plus(other.waitingLoad)
	}
	return false
}

// denyLate denies the queued asks whose callers have given up, or that can no longer be in time and are not
// accepted late. Longest-waiting asks are looked at first: without those, later ones may be in time.
func (u *upstream) denyLate(now clock.Millis) []Grant {
	grants := []Grant{}
	for _, r := range u.queue.all() {
		if now >= r.giveUpMs || !u.reconsider(r, now) {
			grants = append(grants, u.denyQueued(r, now))
		}
	}
	return grants
}

// reconsider reports whether a queued ask is kept. One that was accepted late is kept while its caller waits: denying
// it at the end of the burst would refuse it after seconds.
func (u *upstream) reconsider(r *request, now clock.Millis) bool {
	ahead := u.queue.ahead(r)
	startIn := u.startAfter(r, ahead, false, now)
	switch {
	case r.late:
		return now+startIn+startIn/waitMargin < r.giveUpMs || !u.pool.times.mayDeny()
	case r.inTime(startIn-u.tolerance(r, ahead), now):
		return true
	case !u.acceptsLate(r, startIn, now):
		return false
	}
	// The order of a session's asks depends on the flag.
	u.queue.remove(r, now)
	r.late = true
	u.queue.push(r)
	return true
}

func (u *upstream) denyQueued(r *request, now clock.Millis) Grant {
	answer := u.deny(r, u.startIn(r, now), now)
	u.remove(r, now)
	return Grant{ID: r.ask.ID, Answer: answer}
}

func (u *upstream) deny(r *request, startIn, now clock.Millis) Answer {
	if r.ask.MayQueue && r.ask.Bound == 0 {
		u.pool.deniedMs[r.ask.Urgency] = now
	}
	return Answer{StartInMs: startIn, DrainMs: u.drainMs(r, startIn, now), Provisional: u.provisional(now)}
}
