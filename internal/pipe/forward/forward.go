// Package forward is the step that sends a request to an upstream and its answer
// to the caller: whole, once, and never another request's.
package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/apierror"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/metrics"
	"dooryard.example/dooryard/internal/pool"
	"dooryard.example/dooryard/internal/retry"
	"dooryard.example/dooryard/pkg/config"
)

// Defaults of the settings that this step uses.
const (
	defaultMaxAttempts        = 3
	defaultBudgetPercent      = 20
	defaultFirstByteTimeoutMs = 60_000
	defaultConnectTimeoutMs   = 1000
	defaultStreamIdleMs       = 30_000
	defaultWriteTimeoutMs     = 30_000
)

// retryAfterMs is told to callers whose request did not run.
const retryAfterMs = clock.Second

// Pipe forwards requests.
type Pipe struct {
	settings config.Retry
	write    clock.Millis

	client  *http.Client
	next    func(x *exchange.Exchange, tried pool.Tried) (*pool.Lease, error)
	report  func(upstream string, inFlight int)
	budget  *retry.Budget
	metrics *metrics.Metrics
	tracer  trace.Tracer
	logger  *zap.Logger
	clock   clock.Clock
}

// Dependencies are what the step needs of its box.
type Dependencies struct {
	// Transport is made by transport.New.
	Transport http.RoundTripper
	// Next picks an upstream that the request has not tried.
	Next func(x *exchange.Exchange, tried pool.Tried) (*pool.Lease, error)
	// Report takes in the load that an upstream's answer carries.
	Report  func(upstream string, inFlight int)
	Metrics *metrics.Metrics
	Tracer  trace.Tracer
	Logger  *zap.Logger
	Clock   clock.Clock
}

// New returns the step.
func New(d Dependencies) *Pipe {
	return &Pipe{
		client: &http.Client{Transport: d.Transport, CheckRedirect: noRedirect},
		next:   d.Next, report: d.Report, metrics: d.Metrics, tracer: d.Tracer, logger: d.Logger, clock: d.Clock,
	}
}

// noRedirect hands redirects to the caller: following one would send the
// request a second time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// String names the step in logs.
func (*Pipe) String() string { return "forward" }

// Default fills in the settings that this step uses.
func (p *Pipe) Default(settings *config.Router) {
	r := &settings.Retry
	config.Fill(&r.MaxAttempts, defaultMaxAttempts)
	config.Fill(&r.BudgetPercent, defaultBudgetPercent)
	config.Fill(&r.FirstByteTimeoutMs, defaultFirstByteTimeoutMs)
	config.Fill(&r.ConnectTimeoutMs, defaultConnectTimeoutMs)
	config.Fill(&r.StreamIdleTimeoutMs, defaultStreamIdleMs)
	config.Fill(&settings.Request.WriteTimeoutMs, defaultWriteTimeoutMs)
	p.settings = *r
	p.write = clock.Millis(settings.Request.WriteTimeoutMs)
	p.budget = retry.NewBudget(r.BudgetPercent)
}

// Run sends the request, again where that is allowed, until it is answered.
func (p *Pipe) Run(x *exchange.Exchange) error {
	p.budget.First()
	tried := pool.Tried{}
	for {
		tried = append(tried, x.Lease.Row.Name)
		failure := p.attempt(x)
		if failure == nil {
			return nil
		}
		if err := p.mayRetry(x, failure); err != nil {
			return err
		}
		lease, err := p.next(x, tried)
		if err != nil {
			return p.final(x, failure)
		}
		x.Lease = lease
		p.metrics.Retries.Add(1)
	}
}

// attempt runs one attempt on the leased upstream and gives the lease back.
func (p *Pipe) attempt(x *exchange.Exchange) *failure {
	lease := x.Lease
	x.Attempts++
	p.metrics.Attempts.Add(1)
	ctx, span := p.tracer.Start(x.Context(), "upstream "+lease.Row.Name, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	failed := p.send(ctx, x, lease)
	lease.Release(health(failed))
	if failed != nil {
		span.RecordError(failed)
		p.logger.Debug("attempt failed", zap.String("request", x.ID),
			zap.String("upstream", lease.Row.Name), zap.Bool("not_run", failed.notRun), zap.Error(failed))
	}
	return failed
}

func health(failed *failure) pool.Result {
	switch {
	case failed == nil:
		return pool.Succeeded
	case failed.unreachable:
		return pool.Unreachable
	case failed.upstreamFault:
		return pool.Failed
	default:
		return pool.Neutral
	}
}

// mayRetry returns nil when another attempt is allowed, or else the answer.
func (p *Pipe) mayRetry(x *exchange.Exchange, failed *failure) error {
	if !failed.notRun {
		x.Sent = true
	}
	switch {
	case failed.answered || x.Writer.Started():
		return p.final(x, failed)
	case x.Context().Err() != nil || x.RemainingMs(p.clock.Now()) <= 0:
		return p.final(x, failed)
	case !x.Repeatable && !failed.notRun:
		return p.final(x, failed)
	case x.Attempts >= p.attempts(x):
		return p.final(x, failed)
	case !p.budget.Take():
		p.metrics.RetriesDenied.Add(1)
		return p.final(x, failed)
	default:
		return nil
	}
}

// attempts is how many a request may make: more while it is proved that none of
// them ran, since those cost little and the next engine may live.
func (p *Pipe) attempts(x *exchange.Exchange) int {
	if x.Sent {
		return p.settings.MaxAttempts
	}
	return notRunFactor * p.settings.MaxAttempts
}

const notRunFactor = 2

// final is the answer to a request whose last attempt failed.
func (p *Pipe) final(x *exchange.Exchange, failed *failure) error {
	x.Outcome = exchange.NotRun
	if x.Sent {
		x.Outcome = exchange.Unknown
	}
	if failed.answered || x.Writer.Started() {
		return errors.Join(exchange.ErrAnswered, failed)
	}
	if errors.Is(x.Context().Err(), context.Canceled) {
		p.metrics.CallerGone.Add(1)
		return apierror.New(exchange.StatusCallerGone, "caller_gone", "the caller left", apierror.WithCause(failed))
	}
	if x.RemainingMs(p.clock.Now()) <= 0 || x.Context().Err() != nil {
		return apierror.New(http.StatusGatewayTimeout, "deadline_passed",
			"the deadline passed; outcome: "+string(x.Outcome), apierror.WithCause(failed))
	}
	return apierror.New(failed.status(), "upstream_failed",
		"no upstream answered; outcome: "+string(x.Outcome),
		apierror.WithRetryAfter(retryAfterMs), apierror.WithCause(failed))
}

// failure says how an attempt ended that did not answer the caller whole.
type failure struct {
	cause error
	// notRun is set when it is proved that the upstream ran nothing of it.
	notRun bool
	// upstreamFault is set when the upstream, and not the caller, is to blame.
	upstreamFault bool
	// unreachable is set when no connection to the upstream opened.
	unreachable bool
	// answered is set when the caller has got a part, or an end, of an answer.
	answered bool
}

func (f *failure) Error() string { return f.cause.Error() }

func (f *failure) Unwrap() error { return f.cause }

func (f *failure) status() int {
	if f.notRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// Errors of an answer.
var (
	errCrossed  = errors.New("answer belongs to another request")
	errNotRun   = errors.New("the upstream ran nothing of the request")
	errTooLarge = errors.New("answer too large")
	errNoLength = errors.New("answer without a length can't be known to be whole")
	errStatus   = errors.New("upstream failed with status")
)

func statusText(status int) string { return strconv.Itoa(status) }
