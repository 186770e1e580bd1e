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
type Pipe struct {
	metrics *metrics.Metrics
	logger  *zap.Logger
	now     func() clock.Millis
}

// New returns the step.
func New(m *metrics.Metrics, logger *zap.Logger, now func() clock.Millis) *Pipe {
	return &Pipe{metrics: m, logger: logger, now: now}
}

// String returns the name of the step in logs.
func (*Pipe) String() string { return "settle" }

// Default does nothing: the step has no settings.
func (*Pipe) Default(*config.Router) {}

// Run releases the resources of the exchange and records its outcome.
func (p *Pipe) Run(x *exchange.Exchange) error {
	x.Settle()
	p.metrics.Requests.Add(1)
	switch x.Outcome {
	case exchange.Ran:
		p.metrics.OutcomeRan.Add(1)
	case exchange.NotRun:
		p.metrics.OutcomeNotRun.Add(1)
	case exchange.Unknown:
		p.metrics.OutcomeUnknown.Add(1)
	}
	p.log(x)
	return nil
}

func (p *Pipe) log(x *exchange.Exchange) {
	if !p.logger.Core().Enabled(zap.InfoLevel) {
		return
	}
	organisation, upstream := "", ""
	if x.Organisation != nil {
		organisation = x.Organisation.Name
	}
	if x.Lease != nil {
		upstream = x.Lease.Row.Name
	}
	p.logger.Info("request",
		zap.String("request", x.ID), zap.String("organisation", organisation),
		zap.String("target", x.Target), zap.String("upstream", upstream),
		zap.String("outcome", string(x.Outcome)), zap.Int("status", x.Writer.Status()),
		zap.Int("attempts", x.Attempts), zap.Int64("bytes", x.Writer.Written()),
		zap.Int64("took_ms", int64(p.now()-x.Arrived)),
	)
}
