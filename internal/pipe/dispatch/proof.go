package dispatch

import "net/http"

// proof is what a failed attempt shows of the request at the upstream.
type proof string

// Proofs, the strongest first.
const (
	// notSent: no byte of the request left.
	notSent proof = "not_sent"
	// wrongUpstream: another incarnation has the address and ran nothing.
	wrongUpstream proof = "wrong_upstream"
	// notRun: the upstream says that it ran nothing.
	notRun proof = "not_run"
	// mayHaveRun: something was sent and nothing settles what became of it.
	mayHaveRun proof = "may_have_run"
	// ran: the upstream ran the request and says that it failed.
	ran proof = "ran"
)

// permits reports whether another upstream may get the request after this.
func (p proof) permits(repeatable bool) bool {
	return repeatable || p == notSent || p == wrongUpstream || p == notRun
}

// next is what follows a failed attempt.
type next string

// What may follow.
const (
	nextAttempt    next = "another attempt"
	nextCallerGone next = "none: the caller left"
	nextDeadline   next = "none: no time left"
	nextBegun      next = "none: the answer has begun"
	nextMayHaveRun next = "none: it may have run and may not run twice"
	nextAttempts   next = "none: the route's attempts are used up"
	nextHeld       next = "none: upstreams end under this request"
	nextBudget     next = "none: the retry budget is used up"
)

// failure is an attempt that did not answer the caller whole.
type failure struct {
	err   error
	proof proof
	// answer is the upstream's own failed answer, if it came whole.
	answer *wholeAnswer
}

func (f *failure) status() int {
	if f.answer == nil {
		return 0
	}
	return f.answer.status
}

// promises reports whether a status promises the caller that nothing ran.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
