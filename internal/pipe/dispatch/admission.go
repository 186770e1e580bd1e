package dispatch

import (
	"errors"
	"io"
	"net/http"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/work"
)

// Admission holds the functions by which prompts are admitted to engines. The zero value admits all of them.
type Admission struct {
	// Enabled reports whether the owners of engines admit prompts. Nil means that they don't.
	Enabled func() bool
	// Reauthorise returns a refusal if the key of a request that has waited is no longer valid.
	Reauthorise func(r *opaque.Request) error
	// ExpectOutput returns the expected length of an output in tokens.
	ExpectOutput func(route string, d work.Demand) int
	// ObserveEvents records the number of events of a complete stream.
	ObserveEvents func(route string, d work.Demand, events int)
	// ObserveStream records the time from the first event of a complete stream to its end.
	ObserveStream func(route string, took clock.Millis)
	// AllowForStream returns the time to allow from the first event of a stream to its end, or 0 if it is unknown.
	AllowForStream func(route string) clock.Millis
	// OnDecided counts a decision by its verdict, with the time that the request waited.
	OnDecided func(verdict string, waitedMs clock.Millis)
	// RetryAfter returns the Retry-After of a request that no engine can serve in time and whose time limit is over in
	// remainingMs, or 0 to send none.
	RetryAfter func(e *balance.OverloadedError, pool string, remainingMs clock.Millis) clock.Millis
}

// Verdicts in log lines and metrics, in addition to those of the owners.
const (
	// verdictLate is a grant although the prompt is expected to be late.
	verdictLate = "late"
	// verdictUnknown is this box's own decision, because no owner answered.
	verdictUnknown = "unknown"
	// verdictForced is a prompt that is sent regardless of the load.
	verdictForced = "forced"
	// verdictAbandoned is a prompt whose caller disconnected before the decision.
	verdictAbandoned = "abandoned"
)

// needsAdmission reports whether an engine's owner must admit the request, which is so for prompts with a latency
// objective.
func (p *Pipe) needsAdmission(r *opaque.Request) bool {
	enabled := p.deps.Admission.Enabled
	return enabled != nil && enabled() && r.Route.Sticky && len(r.Prompt) > 0 && r.Route.ObjectiveMs > 0
}

// demandOf returns the size of a request by its headers and the parts of its prompt.
func demandOf(r *opaque.Request) work.Demand {
	stated := work.Demand{}
	if r.Dialect.DecodeDemand != nil {
		stated = r.Dialect.DecodeDemand(r.HTTP.Header)
	}
	return balance.DemandOf(stated, r.Prompt)
}

// admissionRequest returns what the owner of an engine is asked, or nil if the request needs no admission. A request
// that may have reached an upstream before, a stream that is resumed and a trial request are sent regardless of the
// load: the first two would otherwise be refused late, and others wait for the result of a trial.
func (s *retryLoop) admissionRequest() *balance.AdmissionRequest {
	r, p := s.request, s.pipe
	if !p.needsAdmission(r) {
		return nil
	}
	demand := demandOf(r)
	request := &balance.AdmissionRequest{
		Demand: demand, OutputTokens: p.deps.Admission.ExpectOutput(r.Route.Name, demand),
		Urgency: min(r.Priority(), maxUrgency), PatienceMs: p.patienceMs(r),
		Force: r.Sent > 0 || s.stream != nil || r.Trial || r.TakesUpStream(),
	}
	if r.Organisation != nil {
		request.Organisation = r.Organisation.Name
	}
	if pool := r.State.Pool(r.Pool); pool != nil && pool.Engine != nil {
		request.MemoryTokens = pool.Engine.CacheTokens
	}
	return request
}

// patienceMs returns the time within which the first event must come for the caller to get the whole response: until
// the caller is expected to give up, and until the time limit less the usual time of a stream.
func (p *Pipe) patienceMs(r *opaque.Request) clock.Millis {
	now := p.deps.Clock.Monotonic()
	untilLimit := r.RemainingMs(now)
	remaining := untilLimit - p.deps.Admission.AllowForStream(r.Route.Name)
	if r.Route.GiveUpMs > 0 {
		remaining = min(remaining, r.ArrivedMs+r.Route.GiveUpMs-now)
	}
	inTimeMs := r.ArrivedMs + r.Route.ObjectiveMs - now
	if untilLimit < inTimeMs {
		// A caller that returned shortly before its limit: a response that has begun would be cut off.
		return remaining
	}
	// A prompt is never refused because streams usually take long while its first event can still be in time.
	return max(remaining, inTimeMs)
}

// recordAdmission logs and counts how a pick was admitted or denied, if it needed admission.
func (s *retryLoop) recordAdmission(lease *balance.Lease, err error) {
	var overloaded *balance.OverloadedError
	var a balance.Admission
	var verdict string
	switch {
	case errors.As(err, &overloaded):
		a, verdict = overloaded.Admission, admission.Denied.String()
		if s.request.Context().Err() != nil {
			verdict = verdictAbandoned
		}
	case err != nil:
		return
	default:
		var needed bool
		if a, needed = lease.Admission(); !needed {
			return
		}
		verdict = verdictOf(a, lease.ID)
	}
	s.request.WaitedMs += a.WaitedMs
	s.pipe.deps.Admission.OnDecided(verdict, a.WaitedMs)
	s.pipe.deps.RecordEvent(s.admissionDecided(a, lease, verdict))
}

// verdictOf returns the verdict on a prompt that is sent to an upstream.
func verdictOf(a balance.Admission, upstream string) string {
	if a.Force {
		return verdictForced
	}
	verdict := admission.Granted.String()
	for _, asked := range a.Asked {
		switch {
		case asked.Upstream != upstream:
		case asked.Unknown:
			verdict = verdictUnknown
		case asked.Answer.Late:
			verdict = verdictLate
		default:
			verdict = admission.Granted.String()
		}
	}
	return verdict
}

// admissionDecided returns the event of a decision. The lease is nil if the prompt was refused; the event then names
// the engine that was asked last.
func (s *retryLoop) admissionDecided(
	a balance.Admission, lease *balance.Lease, verdict string,
) decision.AdmissionDecided {
	e := decision.AdmissionDecided{
		Request: s.request.ID, Pool: s.request.Pool, Verdict: verdict, WaitedMs: a.WaitedMs, Rechecked: a.Rechecked,
		PrefillTokens: a.Tokens.Prefill, OwnTokens: a.Tokens.Own, SharedTokens: a.Tokens.Shared,
	}
	for _, asked := range a.Asked {
		if lease == nil || asked.Upstream == lease.ID {
			e.Upstream, e.StartInMs = asked.Upstream, asked.Answer.StartInMs
		}
		e.Answers = append(e.Answers, decision.AdmissionAnswer{
			Upstream: asked.Upstream, Verdict: asked.Answer.Verdict.String(), StartInMs: asked.Answer.StartInMs,
			DrainMs: asked.Answer.DrainMs, Unknown: asked.Unknown, OwnerAgeMs: asked.OwnerAgeMs,
			Provisional: asked.Answer.Provisional,
		})
	}
	return e
}

// recheckAfterWait returns an error if a request that waited to be admitted may no longer be sent. The state of the
// upstream has been checked at the end of the wait.
func (s *retryLoop) recheckAfterWait(lease *balance.Lease) error {
	if a, needed := lease.Admission(); !needed || a.WaitedMs == 0 {
		return nil
	}
	if err := s.pipe.deps.CheckBeforeSend(s.ctx, s.request); err != nil {
		return err
	}
	if err := s.pipe.deps.Admission.Reauthorise(s.request); err != nil {
		return err
	}
	return s.pipe.deps.Rescreen(s.request)
}

// refuseOverloaded returns the refusal (503, upstreams_overloaded) of a request that no engine can serve in time.
func (s *retryLoop) refuseOverloaded(e *balance.OverloadedError, err error) error {
	remaining := s.request.RemainingMs(s.pipe.deps.Clock.Monotonic())
	return opaque.NewRefusal(opaque.NotRunStatus, opaque.UpstreamsOverloaded,
		s.pipe.deps.Admission.RetryAfter(e, s.request.Pool, remaining), err)
}

// observeEvents records the length and the duration of a stream that one upstream sent completely.
func (s *retryLoop) observeEvents(events int) {
	r := s.request
	if s.pipe.needsAdmission(r) && r.Sent == 1 && !r.TakesUpStream() {
		s.pipe.deps.Admission.ObserveEvents(r.Route.Name, demandOf(r), events)
		s.pipe.deps.Admission.ObserveStream(r.Route.Name, s.pipe.deps.Clock.Monotonic()-s.stream.startedMs)
	}
}

// bodyReader calls onBody whenever bytes are read.
type bodyReader struct {
	io.Reader
	onBody func()
}

// Read implements io.Reader.
func (r *bodyReader) Read(part []byte) (int, error) {
	n, err := r.Reader.Read(part)
	if n > 0 {
		r.onBody()
	}
	return n, err
}

// isSuccess reports whether a response shows that an upstream processed the request. Error responses come without a
// prefill, and would make the learnt prefill times too short.
func isSuccess(status int) bool { return status < http.StatusBadRequest }
