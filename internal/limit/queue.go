package limit

import (
	"context"
	"errors"
	"math"
	"sync"

	"dooryard.example/dooryard/internal/clock"
)

// Errors of Queue.Acquire. A request that gets one of them has not run.
var (
	// ErrQueueFull means that the queue, or the organisation's part of it, is full.
	ErrQueueFull = errors.New("queue full")
	// ErrWaitedTooLong means that the request waited for the maximum time.
	ErrWaitedTooLong = errors.New("waited too long")
	// ErrDeadline means that the deadline would expire before the request is admitted.
	ErrDeadline = errors.New("deadline would pass in the queue")
)

// QueueSettings are the limits of a queue.
type QueueSettings struct {
	MaxWaiting        int
	MaxWaitingPerFlow int
	MaxWaitMs         clock.Millis
}

// Queue admits requests to one pool up to the pool's capacity and queues the others fairly. It is
// safe for concurrent use.
type Queue struct {
	settings QueueSettings
	capacity func() int
	now      func() clock.Millis

	mu      sync.Mutex
	running int
	// flows holds the usage of each organisation with running requests.
	flows       map[string]*flowUsage
	waiting     *fairQueue
	completions completionRate
}

// NewQueue returns a queue in front of a pool. The capacity function returns how many requests may
// run concurrently.
func NewQueue(settings QueueSettings, capacity func() int, now func() clock.Millis) *Queue {
	return &Queue{
		settings: settings, capacity: capacity, now: now, flows: map[string]*flowUsage{}, waiting: newFairQueue(),
	}
}

// flowUsage is the number of running requests and the weight of one organisation.
type flowUsage struct {
	running int
	weight  int
}

// Permit allows one admitted request to run. Release must be called exactly once when the request
// has ended.
type Permit struct {
	queue *Queue
	flow  string
}

// Acquire waits until the request is admitted. It fails with ErrQueueFull, ErrWaitedTooLong,
// ErrDeadline or the cause of the context's end.
func (q *Queue) Acquire(ctx context.Context, flow Flow, deadline clock.Millis) (*Permit, error) {
	w, err := q.enterOrQueue(flow, deadline)
	if err != nil {
		return nil, err
	}
	if err := q.await(ctx, w); err != nil {
		return nil, err
	}
	return &Permit{queue: q, flow: flow.Name}, nil
}

func (q *Queue) await(ctx context.Context, w *waiter) error {
	ctx, cancel := context.WithTimeoutCause(ctx, q.settings.MaxWaitMs.Duration(), ErrWaitedTooLong)
	defer cancel()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		return q.cancel(w, context.Cause(ctx))
	}
}

// enterOrQueue admits the request immediately or queues it.
func (q *Queue) enterOrQueue(flow Flow, deadline clock.Millis) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := &waiter{flow: flow, admitted: make(chan struct{})}
	if q.waiting.length == 0 && q.running < q.capacity() {
		q.waiting.serveImmediately(flow)
		q.start(w)
		return w, nil
	}
	if q.waiting.length >= q.settings.MaxWaiting {
		return nil, ErrQueueFull
	}
	if q.waiting.waitingCount(flow.Name) >= q.settings.MaxWaitingPerFlow {
		return nil, ErrQueueFull
	}
	if wait := q.expectedWait(flow); q.now()+wait > deadline {
		return nil, ErrDeadline
	}
	q.waiting.push(w)
	q.admit()
	return w, nil
}

// mayRun reports whether an organisation's next request may use a free slot. An organisation that
// surges must leave some slots free for the others, unless it runs less than its fair share. Fair
// ordering alone is not enough: with all slots in use, a request of another organisation would have
// to wait for one to end.
func (q *Queue) mayRun(flow Flow) bool {
	capacity := q.capacity()
	if q.waiting.waitingCount(flow.Name) <= surgeBacklog || q.runningOf(flow.Name) < q.fairShare(flow, capacity) {
		return true
	}
	others := q.running - q.runningOf(flow.Name)
	return q.running < capacity-int(math.Ceil(reserveFactor*math.Sqrt(float64(others))))
}

const (
	// surgeBacklog is the number of waiting requests above which an organisation counts as surging.
	surgeBacklog = 8
	// reserveFactor scales the number of slots that a surging organisation leaves free, in standard
	// deviations of the others' requests in flight.
	reserveFactor = 2.0
)

func (q *Queue) runningOf(name string) int {
	if usage := q.flows[name]; usage != nil {
		return usage.running
	}
	return 0
}

// fairShare returns an organisation's share of the slots: its weight relative to the weights of all
// organisations with running requests, including itself.
func (q *Queue) fairShare(flow Flow, capacity int) int {
	sum := 0
	for _, usage := range q.flows {
		sum += usage.weight
	}
	if q.flows[flow.Name] == nil {
		sum += flow.Weight
	}
	return max(1, capacity*flow.Weight/max(1, sum))
}

func (q *Queue) start(w *waiter) {
	q.running++
	usage := q.flows[w.flow.Name]
	if usage == nil {
		usage = &flowUsage{}
		q.flows[w.flow.Name] = usage
	}
	usage.running++
	usage.weight = w.flow.Weight
	close(w.admitted)
}

// cancel removes a request that stopped waiting. It returns nil if the request was admitted at the
// same moment, which then keeps its permit.
func (q *Queue) cancel(w *waiter, cause error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.waiting.remove(w) {
		return nil
	}
	return cause
}

// Release records that an admitted request has ended and admits the next ones.
func (p *Permit) Release() {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	usage := q.flows[p.flow]
	usage.running--
	if usage.running == 0 {
		delete(q.flows, p.flow)
	}
	q.completions.record(q.now())
	q.admit()
}

// AdmitWaiting admits waiting requests after the pool's capacity has grown.
func (q *Queue) AdmitWaiting() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admit()
}

func (q *Queue) admit() {
	for q.running < q.capacity() {
		w := q.waiting.pop(q.mayRun)
		if w == nil {
			return
		}
		q.start(w)
	}
}

// QueueLengths returns the numbers of running and waiting requests.
func (q *Queue) QueueLengths() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.waiting.length
}

// ExpectedWaitMs returns how long a new request of the flow would have to wait. Callers receive it
// as the time after which to retry.
func (q *Queue) ExpectedWaitMs(flow Flow) clock.Millis {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.expectedWait(flow)
}

// expectedWait divides the number of requests that are served before a new one of the flow by the
// recent completion rate. It assumes that each organisation with waiting requests gets an equal part
// of that rate, regardless of weights. The result is 0 while the rate is unknown.
func (q *Queue) expectedWait(flow Flow) clock.Millis {
	perSecond := q.completions.perSecond(q.now())
	if perSecond <= 0 {
		return 0
	}
	ahead := (q.waiting.waitingCount(flow.Name) + 1) * max(1, q.waiting.backloggedFlows())
	ahead = min(ahead, q.waiting.length+1)
	return clock.Millis(float64(ahead) / perSecond * float64(clock.Second))
}

// completionRate estimates how many requests end per second. The estimate is the average over the last
// complete window, which lasts at least rateWindowMs.
type completionRate struct {
	windowStart clock.Millis
	current     int
	rate        float64
}

const rateWindowMs = 2 * clock.Second

func (s *completionRate) record(now clock.Millis) {
	s.roll(now)
	s.current++
}

func (s *completionRate) roll(now clock.Millis) {
	age := now - s.windowStart
	if age < rateWindowMs {
		return
	}
	s.rate = float64(s.current) * float64(clock.Second) / float64(age)
	s.current = 0
	s.windowStart = now
}

func (s *completionRate) perSecond(now clock.Millis) float64 {
	s.roll(now)
	return s.rate
}
