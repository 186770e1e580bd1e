package opaque

import (
	"context"
	"net/http"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/quarantine"
	"dooryard.example/dooryard/internal/routing"
)

// Request is one opaque request on its way through the steps.
type Request struct {
	// ID is the caller's own id of this request.
	ID      string
	HTTP    *http.Request
	Writer  *exchange.Writer
	Dialect *Dialect

	// ArrivedMs is the steady instant at which its head was read.
	ArrivedMs clock.Millis
	// DeadlineMs is the steady instant of the final answer at the latest.
	DeadlineMs clock.Millis

	State        *routing.State
	Route        *routing.Route
	Organisation *routing.Organisation
	Pool         string
	Prompt       prompt.Prompt
	Body         []byte
	// Fingerprint stands for what the request asks, once its body was read.
	Fingerprint quarantine.Fingerprint

	// Sent counts the upstreams that the request, or a part of it, may have
	// reached.
	Sent int
	// MayHaveRun is set while an upstream may have run the request and no
	// answer settled it.
	MayHaveRun bool
	// Tried are the upstreams that are not asked again.
	Tried []string
	// Upstream is the one that answered, or the last one tried.
	Upstream string
	// Cause says why the request ended without an upstream's answer.
	Cause string
}

// Context ends when the caller leaves.
func (r *Request) Context() context.Context { return r.HTTP.Context() }

// NoteFingerprint sets what the request asks from what was read.
func (r *Request) NoteFingerprint() {
	asked := quarantine.Request{
		Method: r.HTTP.Method, Host: r.HTTP.Host, Target: r.HTTP.RequestURI, Body: r.Body,
	}
	if r.Organisation != nil {
		asked.Organisation = r.Organisation.Name
	}
	r.Fingerprint = asked.Fingerprint()
}

// Priority is the request's rank: that of its organisation, or else its route's.
func (r *Request) Priority() int {
	if r.Organisation != nil && r.Organisation.HasPriority {
		return r.Organisation.Priority
	}
	return r.Route.Priority
}

// RemainingMs is the time until the final answer is due.
func (r *Request) RemainingMs(now clock.Millis) clock.Millis { return r.DeadlineMs - now }
