// Package settle is the last step of every request. It releases the resources of the
// request, counts the outcome and writes the access log line.
package settle

import (
	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/metrics"
	"dooryard.example/dooryard/pkg/config"
)

// Pipe releases, counts and logs finished requests.
type Pipe struct{ deps Dependencies }

// Dependencies are the parts of the box that the step uses.
type Dependencies struct {
	Metrics *metrics.Metrics
	Logger  *zap.Logger
	// LatenessMs returns by how much the box was late lately when it acted at a set time.
	LatenessMs func() clock.Millis
	// Monotonic reads the monotonic clock.
	Monotonic func() clock.Millis
}

// New returns the step.
func New(d Dependencies) *Pipe { return &Pipe{deps: d} }

// String returns the name of the step in logs.
func (*Pipe) String() string { return "settle" }

// Default does nothing: the step has no settings.
func (*Pipe) Default(*config.Router) {}

// Run releases the resources of the exchange and records its outcome.
func (p *Pipe) Run(x *exchange.Exchange) error {
	x.Settle()
	now := p.deps.Monotonic()
	p.deps.Metrics.Requests.Add(1)
	switch x.Outcome {
	case exchange.Ran:
		p.deps.Metrics.OutcomeRan.Add(1)
	case exchange.NotRun:
		p.deps.Metrics.OutcomeNotRun.Add(1)
	case exchange.Unknown:
		p.deps.Metrics.OutcomeUnknown.Add(1)
	}
	if x.Deadline != 0 && x.Writer.Started() && now > x.Deadline {
		p.deps.Metrics.ResponsesAfterDeadline.Add(1)
	}
	p.log(x, now)
	return nil
}

func (p *Pipe) log(x *exchange.Exchange, now clock.Millis) {
	if !p.deps.Logger.Core().Enabled(zap.InfoLevel) {
		return
	}
	organisation, upstream := "", ""
	if x.Organisation != nil {
		organisation = x.Organisation.Name
	}
	if x.Lease != nil {
		upstream = x.Lease.Row.Name
	}
	fields := []zap.Field{
		zap.String("request", x.ID), zap.String("organisation", organisation),
		zap.String("target", x.Target), zap.String("upstream", upstream),
		zap.String("outcome", string(x.Outcome)), zap.Int("status", x.Writer.Status()),
		zap.Int("attempts", x.Attempts), zap.Int64("bytes", x.Writer.Written()),
		zap.Int64("took_ms", int64(now-x.Arrived)),
	}
	if x.Deadline != 0 {
		fields = append(fields, zap.Int64("deadline_lead_ms", int64(x.Deadline-now)),
			zap.Int64("round_trip_ms", int64(x.Caller.RoundTripMs)), zap.Int64("lateness_ms", int64(p.deps.LatenessMs())))
	}
	p.deps.Logger.Info("request", fields...)
}
