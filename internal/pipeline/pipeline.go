// Package pipeline is the table of contents of a request: the steps it goes
// through, in order.
package pipeline

import (
	"errors"
	"fmt"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/apierror"
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

// Step is one step of a request's way.
type Step interface {
	fmt.Stringer
	// Default fills in the settings that the step uses; it comes before Run.
	Default(settings *config.Router)
	// Run does the step's work. An error ends the steps.
	Run(x *exchange.Exchange) error
}

// Steps are the steps of a box.
type Steps struct {
	Identify *identify.Pipe
	Admit    *admit.Pipe
	Claim    *claim.Pipe
	Route    *route.Pipe
	Forward  *forward.Pipe
	Settle   *settle.Pipe
}

// list returns the steps in their order; the last one always runs.
func (s Steps) list() (steps []Step, last Step) {
	return []Step{
		s.Identify, // who asks what, and until when
		s.Admit,    // limits and a fair turn
		s.Claim,    // at most once, where it matters
		s.Route,    // which upstream
		s.Forward,  // the attempts and the answer
	}, s.Settle // give back, count, log
}

// Pipeline runs requests through the steps.
type Pipeline struct {
	steps  []Step
	last   Step
	logger *zap.Logger
}

// New returns a pipeline whose steps have filled in their defaults.
func New(steps Steps, settings *config.Router, logger *zap.Logger) *Pipeline {
	list, last := steps.list()
	for _, step := range append(list[:len(list):len(list)], last) {
		step.Default(settings)
	}
	return &Pipeline{steps: list, last: last, logger: logger}
}

// Serve takes a request from its arrival to its settled outcome.
func (p *Pipeline) Serve(x *exchange.Exchange) {
	defer p.settle(x)
	for _, step := range p.steps {
		if !p.proceed(x, step, step.Run(x)) {
			return
		}
	}
}

// proceed answers a step's error and reports whether the next step comes.
func (p *Pipeline) proceed(x *exchange.Exchange, step Step, err error) bool {
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
	x.StampOutcome()
	apierror.From(err).Write(x.Writer)
	return false
}

func (p *Pipeline) settle(x *exchange.Exchange) {
	if err := p.last.Run(x); err != nil {
		p.logger.Error("request not settled", zap.String("request", x.ID), zap.Error(err))
	}
}
