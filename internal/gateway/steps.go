package gateway

import (
	"errors"
	"fmt"
	"net/http"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/pipe/authorise"
	"dooryard.example/dooryard/internal/pipe/dispatch"
	"dooryard.example/dooryard/internal/pipe/match"
	"dooryard.example/dooryard/internal/pipe/receive"
	"dooryard.example/dooryard/internal/pipe/record"
	"dooryard.example/dooryard/internal/pipe/screen"
)

// step is one step of an opaque request's way.
type step interface {
	fmt.Stringer
	// Run does the step's work. An error ends the steps.
	Run(r *opaque.Request) error
}

// steps are the steps of a box.
type steps struct {
	match     *match.Pipe
	authorise *authorise.Pipe
	receive   *receive.Pipe
	screen    *screen.Pipe
	dispatch  *dispatch.Pipe
	record    *record.Pipe
}

// list is the table of contents of an opaque request.
func (s *steps) list() []step {
	return []step{
		s.match,     // which route and pool, until when
		s.authorise, // whose key, and may keys be trusted now
		s.receive,   // the whole body
		s.screen,    // do upstreams end under it
		s.dispatch,  // the attempts and the answer
	}
}

func (b *Box) buildSteps() {
	b.steps = &steps{
		match:     match.New(b.awaitState, b.missed),
		authorise: authorise.New(b.belief.AgeMs, b.maxAgeMs, b.missed),
		receive:   receive.New(b.heldBytes(), b.clock.Steady),
		screen:    screen.New(b.quarantine.HeldMs),
		dispatch: dispatch.New(dispatch.Dependencies{
			Pick: b.pick, MayRetry: b.budgets.Take, FirstSend: b.budgets.First,
			AgeMs: b.belief.AgeMs, Tell: b.log.Tell, Reads: b.metrics.Reads,
			ComeBack: b.balance.ComeBackMs, Hear: b.hear, Observe: b.endings.observe, Whole: b.endings.answered,
			HeldMs: b.quarantine.HeldMs, Vouch: b.vouch, Clock: b.clock,
		}),
		record: record.New(b.log.Tell, b.metrics.End, b.belief.AgeMs, b.clock.Steady),
	}
}

// ServeHTTP takes a caller's request through the steps.
func (b *Box) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	r := &opaque.Request{
		ID: hr.Header.Get(b.dialect.RequestID), HTTP: hr, Writer: exchange.NewWriter(w), Dialect: b.dialect,
		ArrivedMs: b.clock.Steady(),
	}
	if b.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	err := b.run(r)
	b.steps.receive.Done(r)
	b.steps.record.Run(r, err)
	if cut(err) {
		// The server closes the connection, so that the answer never looks whole.
		panic(http.ErrAbortHandler)
	}
}

func (b *Box) run(r *opaque.Request) error {
	for _, s := range b.steps.list() {
		err := s.Run(r)
		if err == nil {
			continue
		}
		b.refuse(r, err)
		return err
	}
	return nil
}

// unreadBodyMs is how long a refusal waits for a body that nobody reads: enough for
// what is already on its way.
const unreadBodyMs clock.Millis = 300

// refuse answers a request that a step ended, unless it is answered already.
func (b *Box) refuse(r *opaque.Request, err error) {
	var refusal *opaque.RefusalError
	switch {
	case errors.Is(err, opaque.ErrAnswered) || cut(err):
	case errors.As(err, &refusal):
		if r.Body == nil && refusal.Cause != opaque.BodyLate {
			// The server reads what is left of a short body before it answers.
			r.Writer.BoundRead(unreadBodyMs.Duration())
		}
		refusal.Write(r)
	default:
		b.log.Tell(decision.InputIgnored{Input: "request " + r.ID, Err: err.Error()})
		opaque.NewRefusal(http.StatusBadGateway, opaque.UpstreamLost, 0, err).Write(r)
	}
}

// cut reports whether the caller's connection must break.
func cut(err error) bool {
	var refusal *opaque.RefusalError
	return errors.Is(err, opaque.ErrCut) || errors.As(err, &refusal) && refusal.Cause == opaque.CallerGone
}
