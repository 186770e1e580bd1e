package limit

import (
	"context"
	"errors"
	"sync"

	"dooryard.example/dooryard/internal/clock"
)

// Errors of a queue. None of the requests that get one has run.
var (
	// ErrQueueFull means that the queue, or the organisation's part of it, is
	// full.
	ErrQueueFull = errors.New("queue full")
	// ErrWaitedTooLong means that the longest wait passed.
	ErrWaitedTooLong = errors.New("waited too long")
	// ErrHopeless means that the deadline would pass before the turn comes.
	ErrHopeless = errors.New("deadline would pass in the queue")
)

// QueueSettings bound a queue.
type QueueSettings struct {
	MaxWaiting        int
	MaxWaitingPerFlow int
	MaxWaitMs         clock.Millis
}

// Queue admits requests to one pool: as many at once as the pool has room for,
// the others wait their fair turn. It is safe for concurrent use.
type Queue struct {
	settings QueueSettings
	capacity func() int
	now      func() clock.Millis

	mu      sync.Mutex
	running int
	waiting *fairQueue
	served  servedRate
}

// NewQueue returns a queue in front of a pool whose room the function tells.
func NewQueue(settings QueueSettings, capacity func() int, now func() clock.Millis) *Queue {
	return &Queue{settings: settings, capacity: capacity, now: now, waiting: newFairQueue()}
}

// Enter waits for the request's turn. On success Leave must be called once when
// it has ended.
func (q *Queue) Enter(ctx context.Context, flow Flow, deadline clock.Millis) error {
	w, err := q.enterOrQueue(flow, deadline)
	if err != nil || w == nil {
		return err
	}
	ctx, cancel := context.WithTimeoutCause(ctx, q.settings.MaxWaitMs.Duration(), ErrWaitedTooLong)
	defer cancel()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		return q.abandon(w, context.Cause(ctx))
	}
}

// enterOrQueue admits the request at once, which returns no waiter, or queues it.
func (q *Queue) enterOrQueue(flow Flow, deadline clock.Millis) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting.len() == 0 && q.running < q.capacity() {
		q.waiting.pass(flow)
		q.running++
		return nil, nil //nolint:nilnil // no waiter means no wait
	}
	if q.waiting.len() >= q.settings.MaxWaiting {
		return nil, ErrQueueFull
	}
	if q.waiting.waiting[flow.Name] >= q.settings.MaxWaitingPerFlow {
		return nil, ErrQueueFull
	}
	if wait := q.expectedWait(flow); q.now()+wait > deadline {
		return nil, ErrHopeless
	}
	w := &waiter{flow: flow, admitted: make(chan struct{})}
	q.waiting.push(w)
	return w, nil
}

// abandon takes back a request that stopped waiting. One that was admitted at
// the same moment keeps its turn.
func (q *Queue) abandon(w *waiter, cause error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.waiting.remove(w) {
		return nil
	}
	return cause
}

// Leave ends a request that was admitted and lets the next ones in.
func (q *Queue) Leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.served.count(q.now())
	q.admit()
}

// Poke lets requests in after the pool's room has grown.
func (q *Queue) Poke() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admit()
}

func (q *Queue) admit() {
	for q.running < q.capacity() {
		w := q.waiting.pop()
		if w == nil {
			return
		}
		q.running++
		close(w.admitted)
	}
}

// Lengths returns how many requests run and wait.
func (q *Queue) Lengths() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.waiting.len()
}

// ExpectedWaitMs returns how long a request of the flow would wait now, for
// telling callers when to come back.
func (q *Queue) ExpectedWaitMs(flow Flow) clock.Millis {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.expectedWait(flow)
}

// expectedWait counts the flow's own waiting requests at its fair part of the
// rate at which requests lately ended. It is 0 while that rate is not known.
func (q *Queue) expectedWait(flow Flow) clock.Millis {
	perSecond := q.served.perSecond(q.now())
	if perSecond <= 0 {
		return 0
	}
	ahead := (q.waiting.waiting[flow.Name] + 1) * max(1, len(q.waiting.waiting))
	ahead = min(ahead, q.waiting.len()+1)
	return clock.Millis(float64(ahead) / perSecond * float64(clock.Second))
}

// servedRate estimates how many requests end a second, over whole windows.
type servedRate struct {
	windowStart clock.Millis
	current     int
	rate        float64
}

const rateWindowMs = 2 * clock.Second

func (s *servedRate) count(now clock.Millis) {
	s.roll(now)
	s.current++
}

func (s *servedRate) roll(now clock.Millis) {
	age := now - s.windowStart
	if age < rateWindowMs {
		return
	}
	s.rate = float64(s.current) * float64(clock.Second) / float64(age)
	s.current = 0
	s.windowStart = now
}

func (s *servedRate) perSecond(now clock.Millis) float64 {
	s.roll(now)
	return s.rate
}
