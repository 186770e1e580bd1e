// Package admit is the pipeline step for admission control. It applies the limits of the
// organisation and then queues the request for its pool, with fair queueing between organisations.
package admit

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"dooryard.example/dooryard/internal/apierror"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/limit"
	"dooryard.example/dooryard/internal/metrics"
	"dooryard.example/dooryard/internal/pool"
	"dooryard.example/dooryard/pkg/config"
)

// Defaults of the settings that this step uses.
const (
	defaultMaxRunning                = 20_000
	defaultMaxWaiting                = 4000
	defaultMaxWaitingPerOrganisation = 1000
	defaultMaxWaitMs                 = 20_000
	minRetryAfterMs                  = clock.Second
)

// Pipe runs admission control.
type Pipe struct {
	settings      config.Admit
	organisations *limit.Organisations
	pools         *pool.Manager
	metrics       *metrics.Metrics
	now           func() clock.Millis

	mu     sync.Mutex
	queues map[string]*limit.Queue
}

// New returns the step. The clock is monotonic.
func New(
	organisations *limit.Organisations, pools *pool.Manager, m *metrics.Metrics, now func() clock.Millis,
) *Pipe {
	return &Pipe{organisations: organisations, pools: pools, metrics: m, now: now, queues: map[string]*limit.Queue{}}
}

// String returns the name of the step in logs.
func (*Pipe) String() string { return "admit" }

// Default sets the defaults of the settings that this step uses.
func (p *Pipe) Default(settings *config.Router) {
	a := &settings.Admit
	config.SetDefault(&a.MaxRunning, defaultMaxRunning)
	config.SetDefault(&a.MaxWaiting, defaultMaxWaiting)
	config.SetDefault(&a.MaxWaitingPerOrganisation, defaultMaxWaitingPerOrganisation)
	config.SetDefault(&a.MaxWaitMs, defaultMaxWaitMs)
	p.settings = *a
}

// Run applies the limits and blocks until the queue admits the request.
func (p *Pipe) Run(x *exchange.Exchange) error {
	if err := p.applyOrganisationLimits(x); err != nil {
		return err
	}
	return p.waitInQueue(x)
}

// applyOrganisationLimits applies the limits of the organisation. A request forwarded by another
// box was already counted by that box.
func (p *Pipe) applyOrganisationLimits(x *exchange.Exchange) error {
	if x.FromPeer {
		return nil
	}
	retryAfter, err := p.organisations.Acquire(x.Organisation)
	if err != nil {
		p.metrics.LimitRejected.Add(1)
		return apierror.New(http.StatusTooManyRequests, "organisation_limit", err.Error(),
			apierror.WithRetryAfter(max(retryAfter, 1)), apierror.WithCause(err))
	}
	x.OnSettle(func(x *exchange.Exchange) { p.organisations.Release(x.Organisation.Name) })
	return nil
}

// waitInQueue blocks until the queue of the pool admits the request.
func (p *Pipe) waitInQueue(x *exchange.Exchange) error {
	flow := limit.Flow{Name: x.Organisation.Name, Weight: x.Organisation.Weight, Priority: x.Organisation.Priority}
	queue := p.queue(x.PoolName())
	ctx, cancel := x.Awaiting(p.now())
	defer cancel()
	slot, err := queue.Acquire(ctx, flow, x.RespondBy)
	if err != nil {
		p.metrics.QueueRejected.Add(1)
		return p.rejection(x, queue, flow, err)
	}
	x.OnSettle(func(*exchange.Exchange) { slot.Release() })
	return nil
}

// rejection returns the response error for an error of the queue.
func (p *Pipe) rejection(x *exchange.Exchange, queue *limit.Queue, flow limit.Flow, err error) error {
	retryAfter := apierror.WithRetryAfter(max(minRetryAfterMs, queue.ExpectedWaitMs(flow)))
	cause := apierror.WithCause(err)
	switch {
	case errors.Is(err, limit.ErrQueueFull):
		return apierror.New(http.StatusTooManyRequests, "queue_full", "too many requests are waiting", retryAfter, cause)
	case errors.Is(err, context.Canceled):
		return apierror.New(exchange.StatusCallerDisconnected, "caller_gone", "the caller left", cause)
	case errors.Is(err, limit.ErrWaitedTooLong),
		errors.Is(err, limit.ErrDeadline),
		errors.Is(err, context.DeadlineExceeded):
		return apierror.New(http.StatusServiceUnavailable, "no_capacity",
			"no capacity before the deadline", retryAfter, cause)
	default:
		return fmt.Errorf("queue of %s: %w", x.Target, err)
	}
}

func (p *Pipe) queue(poolName string) *limit.Queue {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := p.queues[poolName]
	if queue == nil {
		settings := limit.QueueSettings{
			MaxWaiting:        p.settings.MaxWaiting,
			MaxWaitingPerFlow: p.settings.MaxWaitingPerOrganisation,
			MaxWaitMs:         clock.Millis(p.settings.MaxWaitMs),
		}
		queue = limit.NewQueue(settings, func() int { return p.capacity(poolName) }, p.now)
		p.queues[poolName] = queue
	}
	return queue
}

// capacity returns this box's share of the capacity of a pool, limited to what the box may run.
// If the pool has no usable upstream here, it returns the limit of the box: the route step then
// reports the reason or sends the request to another failure domain.
func (p *Pipe) capacity(poolName string) int {
	if capacity := p.pools.Capacity(poolName); capacity > 0 {
		return min(capacity, p.settings.MaxRunning)
	}
	return p.settings.MaxRunning
}

// AdmitWaiting admits waiting requests after the capacity of pools has changed.
func (p *Pipe) AdmitWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, queue := range p.queues {
		queue.AdmitWaiting()
	}
}

// QueueLengths returns the number of running and of waiting requests on this box.
func (p *Pipe) QueueLengths() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, queue := range p.queues {
		r, w := queue.QueueLengths()
		running += r
		waiting += w
	}
	return running, waiting
}
