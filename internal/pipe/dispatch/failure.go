package dispatch

import (
	"net/http"

	"dooryard.example/dooryard/internal/opaque"
)

// execution is the proven state of the request at the upstream after a failed attempt.
type execution string

// Execution states, ordered from the strongest proof that the request did not run to the proof that
// it ran.
const (
	// notSent means that no byte of the request was sent.
	notSent execution = "not_sent"
	// wrongUpstream means that another incarnation has the address and did not run the request.
	wrongUpstream execution = "wrong_upstream"
	// notRun means that the upstream reported that it did not run the request.
	notRun execution = "not_run"
	// mayHaveRun means that part of the request was sent and the outcome is unknown.
	mayHaveRun execution = "may_have_run"
	// ran means that the upstream ran the request and reported a failure.
	ran execution = "ran"
)

// allowsRetry reports whether the request may be sent to another upstream.
func (e execution) allowsRetry(repeatable bool) bool {
	return repeatable || e == notSent || e == wrongUpstream || e == notRun
}

// retryDecision says whether another attempt follows a failed one, or why not.
type retryDecision string

// Retry decisions. Their texts are written to the log.
const (
	retryAllowed           retryDecision = "another attempt"
	stopCallerDisconnected retryDecision = "none: the caller left"
	stopCallerSlow         retryDecision = "none: the caller did not read"
	stopDeadline           retryDecision = "none: no time left"
	stopTooLate            retryDecision = "none: upstreams need more time than is left"
	stopResponseStarted    retryDecision = "none: the answer has begun"
	stopNoMemory           retryDecision = "none: the box has no memory for the response"
	stopMayHaveRun         retryDecision = "none: it may have run and may not run twice"
	stopMaxAttempts        retryDecision = "none: the route's attempts are used up"
	stopQuarantined        retryDecision = "none: upstreams end under this request"
	stopRetryBudget        retryDecision = "none: the retry budget is used up"
)

// failure is the result of an attempt after which the caller does not have a complete response.
type failure struct {
	err       error
	execution execution
	// response is the upstream's error response, if it arrived completely.
	response *bufferedResponse
	// refusal is the refusal by another box that the request was forwarded to.
	refusal *opaque.RefusalError
}

func (f *failure) status() int {
	if f.response == nil {
		return 0
	}
	return f.response.status
}

// impliesNotRun reports whether a status implies that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
