// Package admit is the step that decides whether and when a request may run on
// this box: its organisation's limits, then a fair turn in front of its pool.
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
	defaultMaxRunning = 20_000
	defaultMaxWaiting = 4000
	defaultMaxPerFlow = 1000
	defaultMaxWaitMs  = 20_000
	leastRetryMs      = clock.Second
)

// Pipe admits requests.
type Pipe struct {
	settings      config.Admit
	organisations *limit.Organisations
	pools         *pool.Manager
	metrics       *metrics.Metrics
	now           func() clock.Millis

	mu     sync.Mutex
	queues map[string]*limit.Queue
}

// New returns the step.
func New(
	organisations *limit.Organisations, pools *pool.Manager, m *metrics.Metrics, now func() clock.Millis,
) *Pipe {
	return &Pipe{organisations: organisations, pools: pools, metrics: m, now: now, queues: map[string]*limit.Queue{}}
}

// String names the step in logs.
func (*Pipe) String() string { return "admit" }

// Default fills in the settings that this step uses.
func (p *Pipe) Default(settings *config.Router) {
	a := &settings.Admit
	config.Fill(&a.MaxRunning, defaultMaxRunning)
	config.Fill(&a.MaxWaiting, defaultMaxWaiting)
	config.Fill(&a.MaxWaitingPerOrganisation, defaultMaxPerFlow)
	config.Fill(&a.MaxWaitMs, defaultMaxWaitMs)
	p.settings = *a
}

// Run waits for the request's turn.
func (p *Pipe) Run(x *exchange.Exchange) error {
	if err := p.enterOrganisation(x); err != nil {
		return err
	}
	return p.enterQueue(x)
}

// enterOrganisation keeps the organisation's own limits. A request from a peer
// was counted where it came in.
func (p *Pipe) enterOrganisation(x *exchange.Exchange) error {
	if x.FromPeer {
		return nil
	}
	wait, err := p.organisations.Enter(x.Organisation)
	if err != nil {
		p.metrics.LimitRejected.Add(1)
		return apierror.New(http.StatusTooManyRequests, "organisation_limit", err.Error(),
			apierror.WithRetryAfter(max(wait, 1)), apierror.WithCause(err))
	}
	x.OnSettle(func(x *exchange.Exchange) { p.organisations.Leave(x.Organisation.Name) })
	return nil
}

func (p *Pipe) enterQueue(x *exchange.Exchange) error {
	flow := limit.Flow{Name: x.Organisation.Name, Weight: x.Organisation.Weight, Priority: x.Organisation.Priority}
	queue := p.queue(x.PoolName())
	turn, err := queue.Enter(x.Context(), flow, x.Deadline)
	if err != nil {
		p.metrics.QueueRejected.Add(1)
		return p.refusal(x, queue, flow, err)
	}
	x.OnSettle(func(*exchange.Exchange) { turn.Leave() })
	return nil
}

func (p *Pipe) refusal(x *exchange.Exchange, queue *limit.Queue, flow limit.Flow, err error) error {
	retry := apierror.WithRetryAfter(max(leastRetryMs, queue.ExpectedWaitMs(flow)))
	cause := apierror.WithCause(err)
	switch {
	case errors.Is(err, limit.ErrQueueFull):
		return apierror.New(http.StatusTooManyRequests, "queue_full", "too many requests are waiting", retry, cause)
	case errors.Is(err, context.Canceled):
		return apierror.New(exchange.StatusCallerGone, "caller_gone", "the caller left", cause)
	case errors.Is(err, limit.ErrWaitedTooLong),
		errors.Is(err, limit.ErrDeadline),
		errors.Is(err, context.DeadlineExceeded):
		return apierror.New(http.StatusServiceUnavailable, "no_capacity",
			"no capacity before the deadline", retry, cause)
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

// capacity is this box's part of a pool, or the whole box's limit when the pool
// has no usable upstream here: routing then tells why, or sends the request to
// another failure domain.
func (p *Pipe) capacity(poolName string) int {
	if capacity := p.pools.Capacity(poolName); capacity > 0 {
		return min(capacity, p.settings.MaxRunning)
	}
	return p.settings.MaxRunning
}

// Poke lets waiting requests in after pools have changed.
func (p *Pipe) Poke() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, queue := range p.queues {
		queue.Poke()
	}
}

// Lengths returns how many requests run and wait on this box.
func (p *Pipe) Lengths() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, queue := range p.queues {
		r, w := queue.Lengths()
		running += r
		waiting += w
	}
	return running, waiting
}
