// Package pipeline runs a request through its processing steps, in a fixed order.
package pipeline

import (
	"errors"
	"fmt"
	"net/http"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/apierror"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/pipe"
	"dooryard.example/dooryard/internal/pipe/admit"
	"dooryard.example/dooryard/internal/pipe/claim"
	"dooryard.example/dooryard/internal/pipe/forward"
	"dooryard.example/dooryard/internal/pipe/identify"
	"dooryard.example/dooryard/internal/pipe/route"
	"dooryard.example/dooryard/internal/pipe/settle"
	"dooryard.example/dooryard/pkg/config"
)

// Step is one processing step of a request.
type Step interface {
	fmt.Stringer
	// Default sets the defaults of the settings that the step uses. It is called before Run.
	Default(settings *config.Router)
	// Run processes a request. An error other than pipe.ErrSkip ends the processing.
	Run(x *exchange.Exchange) error
}

// Steps holds the steps of a box.
type Steps struct {
	Identify *identify.Pipe
	Admit    *admit.Pipe
	Claim    *claim.Pipe
	Route    *route.Pipe
	Forward  *forward.Pipe
	Settle   *settle.Pipe
}

// ordered returns the steps in order, and the last step, which runs for every request.
func (s Steps) ordered() (steps []Step, last Step) {
	return []Step{
		s.Identify, // authentication, parsing and deadline
		s.Admit,    // organisation limits and fair queueing
		s.Claim,    // idempotency key
		s.Route,    // upstream selection
		s.Forward,  // attempts and response
	}, s.Settle // resource release, metrics and log
}

// Pipeline runs requests through the steps.
type Pipeline struct {
	steps  []Step
	last   Step
	logger *zap.Logger
}

// New returns a pipeline and applies the defaults of its steps to the settings.
func New(steps Steps, settings *config.Router, logger *zap.Logger) *Pipeline {
	ordered, last := steps.ordered()
	for _, step := range append(ordered[:len(ordered):len(ordered)], last) {
		step.Default(settings)
	}
	return &Pipeline{steps: ordered, last: last, logger: logger}
}

// Serve runs the steps for a request. The last step runs even if an earlier one fails or panics.
func (p *Pipeline) Serve(x *exchange.Exchange) {
	defer p.runLast(x)
	panicked := true
	defer func() {
		if panicked {
			answerPanic(x)
		}
	}()
	p.runSteps(x)
	panicked = false
}

func (p *Pipeline) runSteps(x *exchange.Exchange) {
	for _, step := range p.steps {
		if !p.handleResult(x, step, step.Run(x)) {
			return
		}
	}
}

// answerPanic responds to a request of which a step panicked, unless a response has begun. The server then logs the
// panic and closes the connection.
func answerPanic(x *exchange.Exchange) {
	if x.Writer.Started() {
		return
	}
	x.Outcome = exchange.Unknown
	x.SetOutcomeHeaders()
	x.Writer.Header().Set("Connection", "close")
	apierror.New(http.StatusBadGateway, "internal", "internal error; outcome: "+string(x.Outcome)).Write(x.Writer)
	// An error means that the caller has disconnected.
	_ = x.Writer.FlushNow()
}

// handleResult handles the result of a step, responds with its error if needed, and reports whether
// the next step runs.
func (p *Pipeline) handleResult(x *exchange.Exchange, step Step, err error) bool {
	switch {
	case err == nil:
		return true
	case errors.Is(err, pipe.ErrSkip):
		if p.logger.Core().Enabled(zap.DebugLevel) {
			p.logger.Debug("step skipped", zap.String("request", x.ID), zap.Stringer("step", step), zap.Error(err))
		}
		return true
	case errors.Is(err, exchange.ErrAnswered):
		return false
	}
	p.logger.Debug("step failed", zap.String("request", x.ID), zap.Stringer("step", step), zap.Error(err))
	if x.Writer.Started() {
		return false
	}
	if x.Stopping() {
		err = stopping(x, err)
	}
	x.SetOutcomeHeaders()
	apierror.From(err).Write(x.Writer)
	return false
}

// stoppingRetryMs is the Retry-After of a request that another box may serve at once.
const stoppingRetryMs = clock.Second

// stopping returns the response error for a request that outlasts the stop of the box.
func stopping(x *exchange.Exchange, cause error) error {
	status := http.StatusBadGateway
	if x.Outcome == exchange.NotRun {
		status = http.StatusServiceUnavailable
	}
	return apierror.New(status, "box_stopping", "this box stops; outcome: "+string(x.Outcome),
		apierror.WithRetryAfter(stoppingRetryMs), apierror.WithCause(cause))
}

// runLast runs the last step.
func (p *Pipeline) runLast(x *exchange.Exchange) {
	if err := p.last.Run(x); err != nil {
		p.logger.Error("could not settle request", zap.String("request", x.ID), zap.Error(err))
	}
}
