package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/deadline"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/inbound"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/pipe/authorise"
	"dooryard.example/dooryard/internal/pipe/dispatch"
	"dooryard.example/dooryard/internal/pipe/match"
	"dooryard.example/dooryard/internal/pipe/receive"
	"dooryard.example/dooryard/internal/pipe/record"
	"dooryard.example/dooryard/internal/pipe/resume"
	"dooryard.example/dooryard/internal/pipe/screen"
	"dooryard.example/dooryard/internal/routing"
)

// step is one step of the request pipeline.
type step interface {
	fmt.Stringer
	// Run processes the request. An error ends the pipeline.
	Run(r *opaque.Request) error
}

// steps holds the pipeline steps of a box.
type steps struct {
	match     *match.Pipe
	authorise *authorise.Pipe
	receive   *receive.Pipe
	stopCheck stopCheck
	screen    *screen.Pipe
	resume    *resume.Pipe
	dispatch  *dispatch.Pipe
	record    *record.Pipe
}

// list returns the steps of the pipeline in the order in which they run.
func (s *steps) list() []step {
	return []step{
		s.match,     // finds the route, the pool and the deadline, and refuses what comes too late
		s.authorise, // checks the key, and whether keys may be trusted now
		s.receive,   // reads the whole body
		s.stopCheck, // refuses what a stopping box can't finish
		s.screen,    // refuses quarantined requests
		s.resume,    // finds the software version of a stream that the caller takes up
		s.dispatch,  // sends the request to upstreams and returns the response
	}
}

func (b *Box) buildSteps() {
	b.steps = &steps{
		match: match.New(match.Dependencies{
			State: b.awaitState, MayBeStale: b.stateMayBeOutdated, LeadMs: b.leadMs, Clock: b.clock,
		}),
		authorise: authorise.New(b.routingState.AgeMs, b.maxAgeMs, b.stateMayBeOutdated),
		receive:   receive.New(b.bodyMemory(), b.clock.Monotonic, b.graceEnded),
		stopCheck: stopCheck{box: b},
		screen: screen.New(screen.Dependencies{
			RemainingMs: b.quarantine.QuarantineRemainingMs, ScreenParts: b.parts.Screen, RescreenParts: b.parts.Recheck,
			ReturnTrial: b.parts.ReturnTrial,
		}),
		resume: resume.New(resume.Dependencies{Find: b.origins.find, Locate: b.origins.versions.Find}),
		dispatch: dispatch.New(dispatch.Dependencies{
			Pick: b.pick, HasCandidate: b.balance.HasCandidate,
			MayRetry: b.budgets.TryRetry, ReturnRetry: b.budgets.ReturnRetry, CanRetry: b.budgets.CanRetry,
			RespondsWithin: b.balance.RespondsWithin, NoneWithin: b.balance.NoneWithin,
			OnFirstSend: b.budgets.RecordAttempt, OnDue: b.handleDue,
			NextBox: b.forwarding.next, OnForward: b.metrics.RequestForwarded, OnBoxFailed: b.forwarding.avoid,
			UnreachableMs: b.forwarding.unreachableMs,
			StateAgeMs:    b.stateAgeMs, RecordEvent: b.log.Record, OnPrefill: b.metrics.PromptTokensPrefilled,
			OnPermit:   b.metrics.EnginePicked,
			RetryAfter: b.balance.RetryAfterMs, RetryWithinObjective: b.balance.RetryWithinObjectiveMs,
			OnSignals: b.handleSignals, OnRejected: b.handleRejection,
			Track: b.crashDetector.track, Observe: b.crashDetector.observe, Survival: b.survival,
			OnEnd: b.metrics.ResponseEnded, OnCompleted: b.crashDetector.handleCompleted,
			OnOutlived:     b.crashDetector.handleOutlived,
			Rescreen:       func(r *opaque.Request) error { return b.steps.screen.Rescreen(r) },
			OnStreamOrigin: b.origins.record, OriginRetracted: b.origins.retracted,
			CheckBeforeSend: b.checkBeforeSend, RecheckKey: b.recheckKey, CheckCaller: checkCaller,
			Commit: b.commit, HoldWhile: holdWhile,
			Admission: b.admission(), Memory: b.responses, GraceEnded: b.graceEnded, Clock: b.clock,
		}),
		record: record.New(record.Dependencies{
			LogEvent: b.log.Record, CountOutcome: b.metrics.RequestEnded, CountLead: b.metrics.ResponseSent,
			StateAgeMs: b.stateAgeMs, LatenessMs: b.latenessMs, Monotonic: b.clock.Monotonic,
		}),
	}
}

// ServeHTTP runs a caller's request through the pipeline.
func (b *Box) ServeHTTP(w http.ResponseWriter, hr *http.Request) { b.serve(b.newRequest(w, hr)) }

func (b *Box) newRequest(w http.ResponseWriter, hr *http.Request) *opaque.Request {
	writer, now := exchange.NewWriter(w), b.clock.Monotonic()
	c := inbound.ConnOf(hr.Context())
	// A request may begin long before the stop.
	writer.OnStart(func(header http.Header) {
		if b.announcesClose(c) || c != nil && c.GivesWay() {
			header.Set("Connection", "close")
		}
		c.BeginResponse(hr, header)
	})
	r := &opaque.Request{
		ID: hr.Header.Get(b.dialect.RequestID), HTTP: hr, Writer: writer, Dialect: b.dialect,
		Box: b.settings.Load().Box, ArrivedMs: now, ReceivedMs: now,
	}
	if c != nil {
		writer.SetUnread(c.Unread())
		arrival := c.Arrival()
		r.ArrivedMs, r.ReceivedMs = arrival.StartMs, arrival.StartMs
		r.Path = deadline.Path{RoundTripMs: arrival.RoundTripMs, New: arrival.New, OpeningMs: arrival.OpeningMs}
	}
	return r
}

// serve runs a request through the pipeline.
func (b *Box) serve(r *opaque.Request) {
	if c := inbound.ConnOf(r.Context()); c != nil && !c.Activate() {
		// Its caller can't get a response.
		panic(http.ErrAbortHandler)
	}
	b.requests.Add(1)
	defer b.requests.Add(-1)
	inbound.ConnOf(r.Context()).BeginRequest(r.ID)
	panicked := true
	defer func() {
		if panicked {
			b.endPanicked(r)
		}
	}()
	err := b.run(r)
	panicked = false
	b.steps.receive.Done(r)
	b.steps.screen.Done(r)
	b.steps.record.Run(r, err)
	if abortsConnection(err) {
		if !r.HTTP.ProtoAtLeast(1, 1) {
			// Without chunks, only a reset tells the caller that the response is not complete.
			inbound.ResetOnClose(r.Context())
		}
		// The server closes the connection, so that the response can't be mistaken for a complete one.
		panic(http.ErrAbortHandler)
	}
	inbound.ConnOf(r.Context()).EndResponse(r.Writer.FlushNow)
	inbound.ConnOf(r.Context()).EndRequest()
}

var errPanicked = errors.New("handler panicked")

// endPanicked ends a request whose processing panicked, and responds to it unless a response has begun. The server then
// logs the panic and closes the connection.
func (b *Box) endPanicked(r *opaque.Request) {
	b.steps.receive.Done(r)
	b.steps.screen.Done(r)
	refusal := opaque.NewRefusal(http.StatusBadGateway, opaque.ResponseLost, 0, errPanicked)
	if !r.Writer.Started() {
		r.Writer.Header().Set("Connection", "close")
		refusal.Write(r)
		// An error means that the caller has disconnected.
		_ = r.Writer.FlushNow()
		inbound.ConnOf(r.Context()).EndRequest()
	}
	b.steps.record.Run(r, refusal)
}

func (b *Box) run(r *opaque.Request) error {
	for _, s := range b.steps.list() {
		err := s.Run(r)
		if err == nil {
			continue
		}
		err = answerLeft(r, err)
		b.refuse(r, err)
		return err
	}
	return nil
}

// leftRetryMs is the Retry-After of a request whose caller seemed to have left. It is about the duration of a request.
const leftRetryMs clock.Millis = 200

// answerLeft returns the refusal of a request whose caller seemed to have left before its response began. The caller
// may have ended only the writing side of its connection, and gets a response then.
func answerLeft(r *opaque.Request, err error) error {
	var refusal *opaque.RefusalError
	switch {
	case !errors.As(err, &refusal) || refusal.Cause != opaque.CallerDisconnected || r.Writer.Started():
		return err
	case r.MayHaveRun:
		return opaque.NewRefusal(http.StatusBadGateway, opaque.CallerDisconnected, 0, err)
	default:
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.CallerDisconnected, leftRetryMs, err)
	}
}

// recheckKey returns a refusal if the routing state is too old to trust the key of a request.
func (b *Box) recheckKey(r *opaque.Request) error { return b.steps.authorise.Recheck(r) }

// commit makes the connection of a request wait for the response until done is called, if the request may not be
// repeated. Its upstream works on whether the caller reads the response or not.
func (b *Box) commit(r *opaque.Request) (done func()) {
	c := inbound.ConnOf(r.Context())
	if c == nil || r.Route.Repeatable() || r.Route.Kind == routing.Stream {
		return func() {}
	}
	return c.Commit()
}

// holdWhile makes the connection of a request wait for a sign of its caller while the response waits to be read.
func holdWhile(r *opaque.Request, waits func() bool) (done func()) {
	if c := inbound.ConnOf(r.Context()); c != nil {
		return c.HoldWhile(waits)
	}
	return func() {}
}

const (
	// unreadBodyMs is how long a refusal waits for a body that is not needed: long enough for data already in flight.
	unreadBodyMs clock.Millis = 300
	// maxDiscardBytes is the length from which a body is not read to its end. It is that of net/http.
	maxDiscardBytes = 256 << 10
)

// unreadBodyMs returns how long the refusal of a request waits for its body.
func (b *Box) unreadBodyMs(r *opaque.Request) clock.Millis {
	if r.WaitsUntilMs == 0 {
		return unreadBodyMs
	}
	return max(1, min(unreadBodyMs, r.RemainingMs(b.clock.Monotonic())))
}

// discardLastBody reads the rest of a short body if the connection is closed after the response. The server doesn't,
// and a connection that is closed while data arrives is reset, so that its caller may lose the response.
func discardLastBody(hr *http.Request) {
	if !hr.Close || hr.ContentLength >= maxDiscardBytes || hr.Header.Get("Expect") != "" {
		return
	}
	// The response is the same if the body doesn't arrive.
	_, _ = io.CopyN(io.Discard, hr.Body, maxDiscardBytes)
}

// refuse responds to a request whose pipeline ended with an error, unless a response was already sent.
func (b *Box) refuse(r *opaque.Request, err error) {
	var refusal *opaque.RefusalError
	switch {
	case errors.Is(err, opaque.ErrAnswered) || abortsConnection(err):
	case errors.As(err, &refusal):
		if r.Body == nil && refusal.Cause != opaque.BodyTimeout && refusal.Cause != opaque.BoxStopping {
			// The server reads the rest of a short body before it responds, if it keeps the connection.
			r.Writer.SetReadTimeout(b.unreadBodyMs(r).Duration())
			discardLastBody(r.HTTP)
		}
		refusal.Write(r)
		// It must not wait for what follows in this process. An error means that the caller has disconnected.
		_ = r.Writer.FlushNow()
	default:
		b.log.Record(decision.InputIgnored{Input: "request " + r.ID, Err: err.Error()})
		opaque.NewRefusal(http.StatusBadGateway, opaque.ResponseLost, 0, err).Write(r)
	}
}

// abortsConnection reports whether the caller's connection must be closed without a complete response.
func abortsConnection(err error) bool {
	var refusal *opaque.RefusalError
	return errors.Is(err, opaque.ErrTruncated) ||
		errors.As(err, &refusal) && refusal.Status == opaque.StatusCallerDisconnected
}
