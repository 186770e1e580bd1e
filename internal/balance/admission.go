package balance

import (
	"fmt"
	"sync/atomic"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/work"
)

// With admission, the owner of an engine decides when a prompt may be sent there, by the work that is due at it. The
// owners of the engines in the session's order are asked one after another, and the prompt waits at one of them if all
// would queue it. If none can serve it in time, it is refused at once, so that its caller can return while it still
// has time and engines prefill no prompts whose responses come too late.
//
// This handles loads of prompts above what engines can prefill or hold, for seconds or minutes
// (docs/design/0015-admission.md).

// ErrOverloaded means that no engine that would accept the prompt can serve it in time. It wraps ErrNoUpstream.
var ErrOverloaded = fmt.Errorf("%w: they have too much work", ErrNoUpstream)

// OverloadedError holds the answers of the owners of engines to a prompt that none of them can serve in time. It wraps
// ErrOverloaded.
type OverloadedError struct {
	Admission
	// FirstEventMs is the expected time to the first event once the prompt is sent.
	FirstEventMs clock.Millis
}

// Error implements error.
func (e *OverloadedError) Error() string {
	return fmt.Sprintf("%v: %d asked, drained in %d ms at the earliest", ErrOverloaded, len(e.Asked), e.DrainMs())
}

// Unwrap returns ErrOverloaded.
func (*OverloadedError) Unwrap() error { return ErrOverloaded }

// DrainMs returns the least time after which an owner expects to grant a prompt like this one, or 0 if no answer
// states one.
func (e *OverloadedError) DrainMs() clock.Millis {
	least := clock.Millis(0)
	for _, asked := range e.Asked {
		if drainMs := asked.Answer.DrainMs; drainMs > 0 && (least == 0 || drainMs < least) {
			least = drainMs
		}
	}
	return least
}

// AdmissionRequest holds what the owner of an engine needs to know of a prompt.
type AdmissionRequest struct {
	Demand work.Demand
	// OutputTokens is the expected length of the output.
	OutputTokens int
	Organisation string
	// Urgency is the priority; 0 is the most urgent.
	Urgency int
	// MemoryTokens is the memory of an engine, or 0 if it is unknown.
	MemoryTokens int
	// PatienceMs is the time left until the caller gives up.
	PatienceMs clock.Millis
	// Force is set if the request is sent regardless of the load. Owners count it and don't queue it.
	Force bool
}

// forced reports whether the request is sent regardless of the load.
func (r *PickRequest) forced() bool { return r.Admission != nil && r.Admission.Force }

// Admission is how a prompt was admitted or denied.
type Admission struct {
	// Asked are the engines whose owners were asked, in this order. An engine that the prompt also waited at has the
	// answer that ended the wait.
	Asked []AskedUpstream
	// Tokens are what the last engine asked would prefill and hold for the prompt.
	Tokens AdmissionTokens
	// WaitedMs is how long the prompt waited at an owner.
	WaitedMs clock.Millis
	// Rechecked is the number of engines that became unusable, or turned slow, after they had admitted the prompt.
	Rechecked int
	Force     bool
}

// AskedUpstream is an engine that was asked, with its owner's answer.
type AskedUpstream struct {
	Upstream string
	Answer   admission.Answer
	// Unknown is set if no owner answered. StartInMs of the answer is then this box's estimate, and OwnerAgeMs is the
	// time since the owner last answered, or -1.
	Unknown    bool
	OwnerAgeMs clock.Millis
}

// AdmissionTokens are the tokens that an engine would prefill and hold.
type AdmissionTokens struct{ Prefill, Own, Shared int }

// admitted is the state of an admitted prompt.
type admitted struct {
	Admission
	started func()
	// prefillTokens count at the engine until the prefill has ended. aheadTokens are the estimated tokens of all boxes'
	// prompts there, this one included, when it was sent at sentMs.
	prefillTokens int
	aheadTokens   float64
	sentMs        clock.Millis
	// prefillEnded is set by the first event, or when the request ends without one.
	prefillEnded atomic.Bool
}

// Admission returns how the prompt was admitted, or false if it needed no admission.
func (l *Lease) Admission() (a Admission, ok bool) {
	if l.admitted == nil {
		return Admission{}, false
	}
	return l.admitted.Admission, true
}
