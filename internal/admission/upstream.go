package admission

import (
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// upstream is the state of one upstream.
type upstream struct {
	pool *pool
	// sinceMs is when the first ask came, and usedMs when the last one did.
	sinceMs, usedMs clock.Millis
	// slots is 0 if it is unknown. inUse counts granted requests.
	slots, inUse int
	pace         pace
	memory       memory
	backlog      backlog
	holders      holders
	queue        queue
	// arrivals is the work of granted requests of late.
	arrivals arrivals
	turns    turns
	// dispatches numbers the dispatches.
	dispatches uint64
}

func newUpstream(p *pool, now clock.Millis) *upstream {
	return &upstream{
		pool: p, sinceMs: now, pace: pace{percent: usualPercent, ratio: 1},
		memory: memory{sessions: map[namekey.Key]sharedParts{}}, queue: queue{organisations: &p.organisations},
	}
}

func (u *upstream) provisional(now clock.Millis) bool { return now-u.sinceMs < settleMs }

// withPace returns an answer with the pace for the box of an ask. An owner that has counted for a short time
// knows none.
func (u *upstream) withPace(answer Answer, a Ask, now clock.Millis) Answer {
	if !u.provisional(now) {
		answer.SlowPercent = u.pace.answered(a, u.overdue(now), now)
	}
	return answer
}

func (u *upstream) unused() bool { return u.inUse == 0 && u.queue.length == 0 }

// decide answers a new ask, and returns the grants to other asks that are due.
func (u *upstream) decide(r *request, now clock.Millis) (Answer, []Grant) {
	startIn := u.startIn(r, now)
	answer := Answer{Verdict: Granted, StartInMs: startIn, Late: !r.inTime(startIn, now), Provisional: u.provisional(now)}
	r.late = answer.Late
	if r.ask.Force {
		u.grant(r, startIn, now)
		return answer, nil
	}
	if !r.ask.MayQueue && (u.atBound(r) || u.suspect(now)) || u.tooLate(r, startIn, now) {
		return u.deny(r, startIn, now), nil
	}
	granted, grants := u.grantNow(r, now)
	if granted != nil {
		return *granted, grants
	}
	accepted := (!u.full() || u.evictable(r) != nil) && (r.safelyInTime(startIn, now) || u.acceptsLate(r, startIn, now))
	if !accepted || !r.ask.MayQueue || u.pool.times.mayDeny() && u.displaces(r, now) {
		denial := u.deny(r, startIn, now)
		denial.Late = accepted && answer.Late
		return denial, grants
	}
	answer.Verdict = Queued
	return answer, append(grants, u.enqueue(r, now)...)
}

// atBound reports whether the upstream has reached the load bound of a request.
func (u *upstream) atBound(r *request) bool { return r.ask.Bound > 0 && u.inUse >= r.ask.Bound }

// tooLate reports whether a request is expected to start after its caller gives up. Its response would be cut off.
func (u *upstream) tooLate(r *request, startIn, now clock.Millis) bool {
	return now+startIn >= r.giveUpMs && u.pool.times.mayDeny()
}

// grantNow grants a new ask if it is the next in the queue and nothing prevents it, unless it is late and others wait.
// The answer is nil if it isn't granted.
func (u *upstream) grantNow(r *request, now clock.Millis) (*Answer, []Grant) {
	if r.late && u.queue.waitsUpTo(r.ask.Urgency) {
		return nil, nil
	}
	u.queue.push(r)
	grants := u.dispatch(now)
	for i, g := range grants {
		if g.ID == r.ask.ID {
			return &g.Answer, slices.Delete(grants, i, i+1)
		}
	}
	u.queue.remove(r, now)
	return nil, grants
}

// grant counts a request as sent.
func (u *upstream) grant(r *request, startIn, now clock.Millis) {
	r.phase, r.startInMs, r.expected = backlogged, startIn, u.expect(r, now)
	r.lostMs = now + max(minLostMs, lostFactor*startIn)
	r.untilMs = now + permitTTLMs
	r.grantedMs, r.alone = now, len(u.backlog.requests) == 0
	u.inUse++
	u.memory.add(r)
	u.backlog.add(r, now)
	u.hold(r, now+startIn)
	u.arrivals.add(r.ask.Urgency, u.prefillMs(prefillOf(r)), now)
}

// remove takes back what a request counts for.
func (u *upstream) remove(r *request, now clock.Millis) {
	if r.phase == waiting {
		u.queue.remove(r, now)
		return
	}
	if r.phase == backlogged {
		u.backlog.remove(r, false, now)
	}
	u.holders.remove(r)
	u.inUse--
	u.memory.remove(r)
}

// unknownBacklog is the backlog in requests up to which requests are granted while prefill times are unknown. Without
// it, an overloaded engine has a backlog of seconds before the first times are learnt.
const unknownBacklog = 2

// obstacle is why a request can't be granted now.
type obstacle int

const (
	none obstacle = iota
	lacksTime
	lacksSlot
	lacksMemory
	// overBound means that the upstream has reached the load bound of the request. Other requests have other bounds.
	overBound
)

// obstacle returns what prevents the grant of a request: the backlog with it exceeds the target, or slots or memory
// can't hold it. An idle engine accepts any request.
func (u *upstream) obstacle(r *request, now clock.Millis) obstacle {
	switch {
	case u.slots > 0 && u.inUse >= u.slots:
		return lacksSlot
	case u.atBound(r):
		return overBound
	case !u.memory.fits(r, u.inUse == 0):
		return lacksMemory
	case len(u.backlog.requests) == 0:
		return none
	case !u.pool.times.known():
		if len(u.backlog.requests) >= unknownBacklog {
			return lacksTime
		}
	case !u.hasTime(r, now):
		return lacksTime
	}
	return none
}

// largeBacklogDivisor is the divisor of the target that gives the backlog up to which a prompt is granted that exceeds
// the target by itself, if no other ask waits and times are known. Engines whose responses begin some time after the
// prefill hardly ever have no backlog, and such prompts would wait for seconds although the engine has time for them.
const largeBacklogDivisor = 2

// minTargetShare is the least part of the target that is left where first events come long after prefills.
const minTargetShare = 0.25

// targetMs returns the target of the pool, without half of the time from a prefill to the first event: that takes part
// of the objective of each request, which half of the target is for.
func (u *upstream) targetMs(now clock.Millis) float64 {
	target := u.pool.objectives.targetMs(now)
	return max(minTargetShare*target, target-u.pool.times.after/2) //nolint:mnd // Half.
}

// hasTime reports whether a request can be prefilled within the target, after the backlog.
func (u *upstream) hasTime(r *request, now clock.Millis) bool {
	backlogMs, targetMs := u.backlogMs(now), u.targetMs(now)
	own := u.prefillMs(prefillOf(r))
	if own > targetMs && u.queue.length <= 1 && u.pool.times.mayDeny() {
		return backlogMs <= targetMs/largeBacklogDivisor
	}
	return backlogMs+own <= targetMs
}
