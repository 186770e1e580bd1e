// Package forward is the pipeline step that sends a request to an upstream and relays the response
// to the caller. It makes sure that the caller gets a response once, that a truncated response never
// appears complete, and that responses are never mixed up between requests.
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
	"dooryard.example/dooryard/internal/upstream"
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

// retryAfterMs is the Retry-After of requests that no upstream answered.
const retryAfterMs = clock.Second

// Pipe forwards requests to upstreams.
type Pipe struct {
	settings       config.Retry
	writeTimeoutMs clock.Millis

	client         *http.Client
	nextUpstream   func(x *exchange.Exchange, tried pool.Tried) (*pool.Lease, error)
	reportLoad     func(upstream string, inFlight int)
	mayHaveCrashed func(ctx context.Context, address string) bool
	witness        func(address string) *upstream.Witness
	onDue          func(x *exchange.Exchange)
	budget         *retry.Budget
	metrics        *metrics.Metrics
	tracer         trace.Tracer
	logger         *zap.Logger
	clock          clock.Clock
}

// Dependencies are the parts of the box that the step uses.
type Dependencies struct {
	// Transport is the result of transport.New.
	Transport http.RoundTripper
	// Next selects an upstream that the request has not tried yet.
	Next func(x *exchange.Exchange, tried pool.Tried) (*pool.Lease, error)
	// Report records the load that an upstream reports in a response.
	Report func(upstream string, inFlight int)
	// MayHaveCrashed reports whether the upstream at an address may have crashed that has closed a
	// connection in order.
	MayHaveCrashed func(ctx context.Context, address string) bool
	// Witness shows whether the process of the upstream at an address has gone.
	Witness func(address string) *upstream.Witness
	// OnDue is called when an attempt ends since a response has to leave now.
	OnDue   func(x *exchange.Exchange)
	Metrics *metrics.Metrics
	Tracer  trace.Tracer
	Logger  *zap.Logger
	Clock   clock.Clock
}

// New returns the step.
func New(d Dependencies) *Pipe {
	return &Pipe{
		client:       &http.Client{Transport: d.Transport, CheckRedirect: noRedirect},
		nextUpstream: d.Next, reportLoad: d.Report, mayHaveCrashed: d.MayHaveCrashed,
		witness: d.Witness, onDue: d.OnDue,
		metrics: d.Metrics, tracer: d.Tracer, logger: d.Logger, clock: d.Clock,
	}
}

// noRedirect makes the HTTP client return redirect responses, which go to the caller. Following a
// redirect would send the request a second time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// String returns the name of the step in logs.
func (*Pipe) String() string { return "forward" }

// Default sets the defaults of the settings that this step uses.
func (p *Pipe) Default(settings *config.Router) {
	r := &settings.Retry
	config.SetDefault(&r.MaxAttempts, defaultMaxAttempts)
	config.SetDefault(&r.BudgetPercent, defaultBudgetPercent)
	config.SetDefault(&r.FirstByteTimeoutMs, defaultFirstByteTimeoutMs)
	config.SetDefault(&r.ConnectTimeoutMs, defaultConnectTimeoutMs)
	config.SetDefault(&r.StreamIdleTimeoutMs, defaultStreamIdleMs)
	config.SetDefault(&settings.Request.WriteTimeoutMs, defaultWriteTimeoutMs)
	p.settings = *r
	p.writeTimeoutMs = clock.Millis(settings.Request.WriteTimeoutMs)
	p.budget = retry.NewBudget(r.BudgetPercent)
}

// Run makes attempts until the caller has a response or no further attempt is allowed.
func (p *Pipe) Run(x *exchange.Exchange) error {
	p.budget.RecordAttempt()
	tried := pool.Tried{}
	for {
		tried = append(tried, x.Lease.Row.Name)
		failed := p.attempt(x)
		if failed == nil {
			return nil
		}
		if err := p.mayRetry(x, failed); err != nil {
			return err
		}
		lease, err := p.nextUpstream(x, tried)
		if err != nil {
			return p.finish(x, failed)
		}
		x.Lease = lease
		p.metrics.Retries.Add(1)
	}
}

// attempt makes one attempt on the leased upstream and releases the lease.
func (p *Pipe) attempt(x *exchange.Exchange) *failure {
	lease := x.Lease
	x.Attempts++
	p.metrics.Attempts.Add(1)
	ctx, span := p.tracer.Start(x.Context(), "upstream "+lease.Row.Name, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	failed := p.sendLeased(ctx, x, lease)
	if failed != nil {
		span.RecordError(failed)
		p.logger.Debug("attempt failed", zap.String("request", x.ID),
			zap.String("upstream", lease.Row.Name), zap.Bool("not_run", failed.notRun), zap.Error(failed))
	}
	return failed
}

// sendLeased makes an attempt, and releases its lease also if it panics.
func (p *Pipe) sendLeased(ctx context.Context, x *exchange.Exchange, lease *pool.Lease) (failed *failure) {
	result := pool.Neutral
	defer func() { lease.Release(result) }()
	failed = p.send(ctx, x, lease)
	result = healthResult(failed)
	return failed
}

// healthResult returns the result of an attempt for the upstream's health.
func healthResult(failed *failure) pool.Result {
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

// mayRetry returns nil if another attempt is allowed, or else the final error.
func (p *Pipe) mayRetry(x *exchange.Exchange, failed *failure) error {
	if !failed.notRun {
		x.Sent = true
	}
	switch {
	case failed.responseStarted || x.Writer.Started():
		return p.finish(x, failed)
	case x.Context().Err() != nil || x.RemainingMs(p.clock.Monotonic()) <= 0:
		return p.finish(x, failed)
	case !x.Repeatable && !failed.notRun:
		return p.finish(x, failed)
	case x.Attempts >= p.maxAttempts(x):
		return p.finish(x, failed)
	case !p.budget.TryRetry():
		p.metrics.RetriesDenied.Add(1)
		return p.finish(x, failed)
	default:
		return nil
	}
}

// maxAttempts returns the attempt limit of a request. It is higher while the request is proven not
// to have run in any attempt: such attempts cost little, and the next engine may be up.
func (p *Pipe) maxAttempts(x *exchange.Exchange) int {
	if x.Sent {
		return p.settings.MaxAttempts
	}
	return notRunAttemptsFactor * p.settings.MaxAttempts
}

// notRunAttemptsFactor multiplies the attempt limit of a request that has not run.
const notRunAttemptsFactor = 2

// finish sets the outcome of a request whose last attempt failed and returns the final error.
func (p *Pipe) finish(x *exchange.Exchange, failed *failure) error {
	x.Outcome = exchange.NotRun
	if x.Sent {
		x.Outcome = exchange.Unknown
	}
	if failed.responseStarted || x.Writer.Started() {
		return errors.Join(exchange.ErrAnswered, failed)
	}
	if errors.Is(x.Context().Err(), context.Canceled) && !x.Stopping() {
		p.metrics.CallerDisconnects.Add(1)
		return apierror.New(exchange.StatusCallerDisconnected, "caller_gone", "the caller left", apierror.WithCause(failed))
	}
	if x.RemainingMs(p.clock.Monotonic()) <= 0 || x.Context().Err() != nil {
		return apierror.New(http.StatusGatewayTimeout, "deadline_passed",
			"the deadline passed; outcome: "+string(x.Outcome), apierror.WithCause(failed))
	}
	return apierror.New(failed.status(), "upstream_failed",
		"no upstream answered; outcome: "+string(x.Outcome),
		apierror.WithRetryAfter(retryAfterMs), apierror.WithCause(failed))
}

// failure is the result of an attempt after which the caller does not have a complete response.
type failure struct {
	cause error
	// notRun is set if the request is proven not to have run on the upstream.
	notRun bool
	// upstreamFault is set if the upstream caused the failure, not the caller.
	upstreamFault bool
	// unreachable is set if no connection to the upstream could be opened.
	unreachable bool
	// responseStarted is set if the caller has received part of a response or an error event.
	responseStarted bool
	// sound is set if the response is one to this request. Its connection is closed with its body, unless that was read.
	sound bool
}

func (f *failure) Error() string { return f.cause.Error() }

func (f *failure) Unwrap() error { return f.cause }

func (f *failure) status() int {
	if f.notRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// Errors of a response.
var (
	errMismatched = errors.New("response belongs to another request")
	errNotRun     = errors.New("upstream did not run the request")
	errTooLarge   = errors.New("response too large")
	errNoLength   = errors.New("response of a box has neither a length nor chunks")
	errCrashed    = errors.New("upstream may have crashed at the end of a response without length or chunks")
	errStatus     = errors.New("upstream returned status")
)

func statusText(status int) string { return strconv.Itoa(status) }
