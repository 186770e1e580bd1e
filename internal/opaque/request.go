package opaque

import (
	"cmp"
	"context"
	"net/http"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/deadline"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/quarantine"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/internal/streams"
)

// Request is an opaque request while it passes through the pipeline.
type Request struct {
	// ID is the request ID that the caller chose.
	ID      string
	HTTP    *http.Request
	Writer  *exchange.Writer
	Dialect *Dialect

	// ArrivedMs is the monotonic time at which the caller's request began to arrive.
	ArrivedMs clock.Millis
	// ReceivedMs is when the request began to arrive at this box. It is later than ArrivedMs if another box forwarded
	// the request.
	ReceivedMs clock.Millis
	// WaitsUntilMs is the monotonic time until which the caller waits, as far as the box knows, or 0 while it is unknown.
	WaitsUntilMs clock.Millis
	// DeadlineMs is when a response that has begun ends: at the timeout of the route, or at WaitsUntilMs if that is
	// earlier.
	DeadlineMs clock.Millis
	// RespondByMs is when the last response must leave so that the caller has it by WaitsUntilMs, at DeadlineMs at the
	// latest. Waits for a response that has not begun end then.
	RespondByMs clock.Millis
	// Path is the way between this box and the sender of the request.
	Path deadline.Path

	State        *routing.State
	Route        *routing.Route
	Organisation *routing.Organisation
	Pool         string
	Prompt       prompt.Prompt
	Body         []byte
	// Fingerprint identifies the content of the request. It is set once the body was read.
	Fingerprint quarantine.Fingerprint

	// Parts are the shared parts of the prompt, by which crashes of upstreams are attributed. It is set with Fingerprint.
	Parts quarantine.Parts
	// HeldPart is the part of the prompt for which the request was refused, or which it tries, or 0.
	HeldPart quarantine.PartKey
	// Trial is set if the request shows whether HeldPart still crashes upstreams. It is sent once.
	Trial bool

	// Box is the name of this box.
	Box string
	// FromBox is the box that forwarded the request to this one because it can't reach the upstreams, or "".
	FromBox string
	// MinVersion is the version of the routing state that the forwarding box matched the request against.
	MinVersion int64
	// SentBefore is how many upstreams may have received the request from the forwarding box. Sent
	// includes them.
	SentBefore int

	// Sent counts the upstreams that may have received the request or a part of it.
	Sent int
	// Origin is where the stream began of which the caller has events. Only upstreams of this origin may continue it. It
	// is nil if the caller has no event yet, or if the origin is unknown.
	Origin *streams.Origin
	// ForwardedOrigin is the origin of the stream that the request continues, as another box told it with the
	// request, or streams.Unknown.
	ForwardedOrigin streams.OriginKey
	// MayHaveRun is set while an upstream may have run the request and no response has confirmed or
	// ruled it out.
	MayHaveRun bool
	// WaitedMs is how long the request waited to be admitted to an engine.
	WaitedMs clock.Millis
	// Tried lists the upstreams that must not be tried again.
	Tried []string
	// Upstream is the upstream that responded, or else the last one tried.
	Upstream string
	// Framing is how the end of the upstream's last response is marked, for the log.
	Framing string
	// End is the check by which the response was taken for complete, or "" if it was not.
	End EndCheck
	// Events is the number of events sent to the caller, and RelayedID the ID of the last one that has an ID.
	Events    int
	RelayedID string
	// Cause is the reason why the request ended without an upstream's response.
	Cause string
}

// Context returns a context that is canceled when the caller disconnects.
func (r *Request) Context() context.Context { return r.HTTP.Context() }

// ResumedID returns the ID of the request that began the stream which the caller takes up with this one, or "".
func (r *Request) ResumedID() string { return r.HTTP.Header.Get(r.Dialect.ResumedID) }

// LastEventID returns the ID of the last event that the caller received of the stream that it takes up, or "".
func (r *Request) LastEventID() string { return r.HTTP.Header.Get(r.Dialect.LastEventID) }

// TakesUpStream reports whether the caller takes up a stream of which it has events.
func (r *Request) TakesUpStream() bool { return r.ResumedID() != "" || r.LastEventID() != "" }

// StreamID returns the ID of the request that began the stream: this one, unless the caller takes up a stream.
func (r *Request) StreamID() string { return cmp.Or(r.ResumedID(), r.ID) }

// Pools returns the pools that the route leads to, the selected one first.
func (r *Request) Pools() []string {
	pools := []string{r.Pool}
	for _, s := range r.Route.Splits {
		if s.Weight > 0 && s.Pool != r.Pool {
			pools = append(pools, s.Pool)
		}
	}
	return pools
}

// ComputeFingerprint computes the fingerprint and the keys of the prompt's parts from what was read of the request.
func (r *Request) ComputeFingerprint() {
	request := quarantine.Request{
		Method: r.HTTP.Method, Host: r.HTTP.Host, Target: r.HTTP.RequestURI, Body: r.Body,
	}
	if r.Organisation != nil {
		request.Organisation = r.Organisation.Name
	}
	r.Fingerprint = request.Fingerprint()
	r.Parts = quarantine.PartsOf(r.Pool, r.Prompt)
}

// Priority returns the priority of the organisation if it has one, and otherwise that of the route.
func (r *Request) Priority() int {
	if r.Organisation != nil && r.Organisation.HasPriority {
		return r.Organisation.Priority
	}
	return r.Route.Priority
}

// RemainingMs returns the time until the last response must leave. A response that the caller has begun to receive goes
// on until the deadline.
func (r *Request) RemainingMs(now clock.Millis) clock.Millis {
	if r.Writer.Started() {
		return r.DeadlineMs - now
	}
	return r.RespondByMs - now
}

// UpstreamTimeMs returns the time for upstreams to respond. Responses in parts are relayed until the deadline.
func (r *Request) UpstreamTimeMs(now clock.Millis) clock.Millis {
	if r.Route.Kind == routing.Stream {
		return r.DeadlineMs - now
	}
	return r.RemainingMs(now)
}
