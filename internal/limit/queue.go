package limit

import (
	"context"
	"errors"
	"math"
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
	// ErrDeadline means that the deadline would pass before the turn comes.
	ErrDeadline = errors.New("deadline would pass in the queue")
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
	// flows counts the running requests of each organisation.
	flows   map[string]*flowCount
	waiting *fairQueue
	served  servedRate
}

// NewQueue returns a queue in front of a pool whose room the function tells.
func NewQueue(settings QueueSettings, capacity func() int, now func() clock.Millis) *Queue {
	return &Queue{
		settings: settings, capacity: capacity, now: now, flows: map[string]*flowCount{}, waiting: newFairQueue(),
	}
}

// flowCount is what one organisation runs.
type flowCount struct {
	running int
	weight  int
}

// Turn is the right to run. Leave must be called once when the request has ended.
type Turn struct {
	queue *Queue
	flow  string
}

// Enter waits for the request's turn.
func (q *Queue) Enter(ctx context.Context, flow Flow, deadline clock.Millis) (*Turn, error) {
	w, err := q.enterOrQueue(flow, deadline)
	if err != nil {
		return nil, err
	}
	if err := q.await(ctx, w); err != nil {
		return nil, err
	}
	return &Turn{queue: q, flow: flow.Name}, nil
}

func (q *Queue) await(ctx context.Context, w *waiter) error {
	ctx, cancel := context.WithTimeoutCause(ctx, q.settings.MaxWaitMs.Duration(), ErrWaitedTooLong)
	defer cancel()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		return q.abandon(w, context.Cause(ctx))
	}
}

// enterOrQueue admits the request at once or queues it.
func (q *Queue) enterOrQueue(flow Flow, deadline clock.Millis) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := &waiter{flow: flow, admitted: make(chan struct{})}
	if q.waiting.length == 0 && q.running < q.capacity() {
		q.waiting.pass(flow)
		q.begin(w)
		return w, nil
	}
	if q.waiting.length >= q.settings.MaxWaiting {
		return nil, ErrQueueFull
	}
	if q.waiting.waitingOf(flow.Name) >= q.settings.MaxWaitingPerFlow {
		return nil, ErrQueueFull
	}
	if wait := q.expectedWait(flow); q.now()+wait > deadline {
		return nil, ErrDeadline
	}
	q.waiting.push(w)
	q.admit()
	return w, nil
}

// mayRun reports whether an organisation's next request may take a free slot. One
// that surges leaves some free for the others, unless it runs less than its
// share: however fair the order, a request of the others that finds all slots
// taken would wait for one to end.
func (q *Queue) mayRun(flow Flow) bool {
	capacity := q.capacity()
	if q.waiting.waitingOf(flow.Name) <= surgeBacklog || q.runningOf(flow.Name) < q.share(flow, capacity) {
		return true
	}
	others := q.running - q.runningOf(flow.Name)
	return q.running < capacity-int(math.Ceil(reserveFactor*math.Sqrt(float64(others))))
}

const (
	// surgeBacklog is how many waiting requests make an organisation one that
	// surges.
	surgeBacklog = 8
	// reserveFactor is how many standard deviations of the others' number in
	// flight an organisation that surges keeps free.
	reserveFactor = 2.0
)

func (q *Queue) runningOf(name string) int {
	if count := q.flows[name]; count != nil {
		return count.running
	}
	return 0
}

// share is an organisation's part of the slots by its weight among those that
// run or wait.
func (q *Queue) share(flow Flow, capacity int) int {
	sum := 0
	for _, count := range q.flows {
		sum += count.weight
	}
	if q.flows[flow.Name] == nil {
		sum += flow.Weight
	}
	return max(1, capacity*flow.Weight/max(1, sum))
}

func (q *Queue) begin(w *waiter) {
	q.running++
	count := q.flows[w.flow.Name]
	if count == nil {
		count = &flowCount{}
		q.flows[w.flow.Name] = count
	}
	count.running++
	count.weight = w.flow.Weight
	close(w.admitted)
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
func (t *Turn) Leave() {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	count := q.flows[t.flow]
	count.running--
	if count.running == 0 {
		delete(q.flows, t.flow)
	}
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
		w := q.waiting.pop(q.mayRun)
		if w == nil {
			return
		}
		q.begin(w)
	}
}

// Lengths returns how many requests run and wait.
func (q *Queue) Lengths() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.waiting.length
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
	ahead := (q.waiting.waitingOf(flow.Name) + 1) * max(1, q.waiting.waitingFlows())
	ahead = min(ahead, q.waiting.length+1)
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
