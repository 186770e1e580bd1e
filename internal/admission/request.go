package admission

import "dooryard.example/dooryard/internal/clock"

// phase is how far a request has come.
type phase int

const (
	waiting phase = iota
	// backlogged requests were granted, and their first event has not come.
	backlogged
	running
)

// request is an ask that was queued or granted.
type request struct {
	ask      Ask
	upstream *upstream
	phase    phase
	// number orders requests by their first ask.
	number uint64
	// askedMs, inTimeMs and giveUpMs are the instants of the ask, at which the first event is late, and at which the
	// caller gives up.
	askedMs, inTimeMs, giveUpMs clock.Millis
	// objectiveMs is the time to the first event that callers of this kind need.
	objectiveMs clock.Millis
	// late is set if the request was accepted although it is expected to be late.
	late bool
	// overtaken counts the requests of the same urgency that were granted while this one lacked memory.
	overtaken int
	// session is the flow in which the request waits, and passed the dispatch that found that it lacks memory.
	session *flow
	passed  uint64
	// waitingLoad is what the request counts for in the queue.
	waitingLoad load
	// startInMs is the time to the first event that was expected when the request was granted.
	startInMs clock.Millis
	// expected is what the models alone expected then.
	expected expectedStart
	// startedMs and endMs are when the first event came and when the request is expected to end.
	startedMs, endMs clock.Millis
	// grantedMs is when the request was granted, alone is set if nothing else was to be prefilled then, and startLost if
	// its start counted as lost.
	grantedMs        clock.Millis
	alone, startLost bool
	// lostMs is when a backlogged request counts as started, since its start was lost, and untilMs when a granted one
	// counts as ended.
	lostMs, untilMs clock.Millis
}

const (
	maxUrgency = maxClasses - 1
	// maxTokens keeps sums of tokens exact.
	maxTokens = 1 << 30
	// maxSpanMs keeps sums of times from overflowing. No caller waits for an hour.
	maxSpanMs = 3600 * clock.Second
)

// bounded returns the ask with its numbers within bounds, since other boxes send them.
func (a Ask) bounded() Ask {
	a.Urgency = min(maxUrgency, max(0, a.Urgency))
	for _, n := range []*int{&a.PrefillTokens, &a.OwnTokens, &a.SharedTokens, &a.MemoryTokens, &a.Slots} {
		*n = min(maxTokens, max(0, *n))
	}
	for _, span := range []*clock.Millis{&a.InTimeMs, &a.PatienceMs} {
		*span = min(maxSpanMs, max(-maxSpanMs, *span))
	}
	return a
}

// load returns what the request adds to its upstream.
func (r *request) load() load {
	return load{
		requests: 1, prefill: float64(r.ask.PrefillTokens), memory: float64(r.upstream.memory.need(r)), cost: r.cost(),
	}
}

// cost is what fairness counts of the request: the tokens that it makes the upstream prefill and hold.
func (r *request) cost() float64 { return float64(max(1, r.ask.PrefillTokens+r.ask.OwnTokens)) }

// isRepeatedBy reports whether an ask with the same ID asks the same again. A queued ask whose box doesn't wait any
// more is decided on anew.
func (r *request) isRepeatedBy(a Ask) bool {
	return r.ask.Upstream == a.Upstream && (r.phase != waiting || a.MayQueue && !a.Force)
}

// repeatedAnswer answers an ask that was made before.
func (r *request) repeatedAnswer(now clock.Millis) Answer {
	u := r.upstream
	answer := Answer{Verdict: Granted, StartInMs: r.startInMs, Late: r.late, Provisional: u.provisional(now)}
	if r.phase == waiting {
		answer.Verdict, answer.StartInMs = Queued, u.startIn(r, now)
	}
	return answer
}

// load is the work of some requests. Its fields are fractions where a part of the requests is meant.
type load struct {
	requests, prefill, memory, cost float64
}

func (w load) plus(other load) load {
	return load{w.requests + other.requests, w.prefill + other.prefill, w.memory + other.memory, w.cost + other.cost}
}

func (w load) minus(other load) load { return w.plus(other.times(-1)) }

func (w load) times(factor float64) load {
	return load{w.requests * factor, w.prefill * factor, w.memory * factor, w.cost * factor}
}
