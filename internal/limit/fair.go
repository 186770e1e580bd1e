// Package limit schedules and limits requests: fair queueing among organisations in front of each
// pool, and the rate and concurrency limits of each organisation.
package limit

import "slices"

// Flow is one organisation's flow in a fair queue.
type Flow struct {
	Name string
	// Weight is the organisation's relative share among the waiting organisations.
	Weight int
	// Priority breaks ties between organisations with equal start tags; the higher priority is served
	// first.
	Priority int
}

const (
	// costUnit is the virtual time that one request of weight 1 consumes.
	costUnit = 1 << 20
	// creditRequests is how many requests an organisation that used less than its share may send in a
	// burst before it has to wait for others again.
	creditRequests = 16
	// maxIdleFlows is the number of remembered organisations at which idle ones are evicted.
	maxIdleFlows = 4096
)

// fairQueue implements start-time fair queueing. The start tag of an organisation's next request is
// the finish tag of its previous one, but at least the current virtual time minus a credit. The
// request with the smallest start tag is served first, so an organisation that exceeds its share
// only delays its own requests.
type fairQueue struct {
	virtualTime uint64
	flows       map[string]*flowQueue
	length      int
}

// flowQueue holds the waiting requests of one organisation in FIFO order.
type flowQueue struct {
	flow    Flow
	waiting []*waiter
	// startTag is the start tag of the first waiting request.
	startTag uint64
	// finishTag is the finish tag of the last served request.
	finishTag uint64
}

// waiter is one waiting request. Its channel is closed on admission.
type waiter struct {
	flow     Flow
	admitted chan struct{}
}

func newFairQueue() *fairQueue {
	// The initial virtual time equals the largest credit, so that subtracting a credit can't
	// underflow.
	return &fairQueue{virtualTime: creditRequests * costUnit, flows: map[string]*flowQueue{}}
}

// waitingCount returns the number of waiting requests of an organisation.
func (q *fairQueue) waitingCount(name string) int {
	if f := q.flows[name]; f != nil {
		return len(f.waiting)
	}
	return 0
}

// backloggedFlows returns the number of organisations with waiting requests.
func (q *fairQueue) backloggedFlows() int {
	count := 0
	for _, f := range q.flows {
		if len(f.waiting) > 0 {
			count++
		}
	}
	return count
}

func (q *fairQueue) flow(flow Flow) *flowQueue {
	f := q.flows[flow.Name]
	if f == nil {
		q.evictIdle()
		f = &flowQueue{}
		q.flows[flow.Name] = f
	}
	f.flow = flow
	return f
}

// evictIdle removes the organisations without waiting requests whose finish tag the virtual time
// has reached. It does nothing while fewer than maxIdleFlows are remembered.
func (q *fairQueue) evictIdle() {
	if len(q.flows) < maxIdleFlows {
		return
	}
	for name, f := range q.flows {
		if len(f.waiting) == 0 && f.finishTag <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}

func (f *flowQueue) cost() uint64 { return costUnit / uint64(max(1, f.flow.Weight)) }

func (q *fairQueue) nextStartTag(f *flowQueue) uint64 {
	return max(q.virtualTime-creditRequests*f.cost(), f.finishTag)
}

// serve advances the virtual time to the start tag of a request that is being served.
func (q *fairQueue) serve(f *flowQueue, start uint64) {
	q.virtualTime = max(q.virtualTime, start)
	f.finishTag = start + f.cost()
	f.startTag = f.finishTag
}

// serveImmediately records a request that is served without waiting because the queue is empty.
func (q *fairQueue) serveImmediately(flow Flow) {
	f := q.flow(flow)
	q.serve(f, q.nextStartTag(f))
}

// push queues a request.
func (q *fairQueue) push(w *waiter) {
	f := q.flow(w.flow)
	if len(f.waiting) == 0 {
		f.startTag = q.nextStartTag(f)
	}
	f.waiting = append(f.waiting, w)
	q.length++
}

// pop removes and returns the next request among the organisations for which mayRun is true. It
// returns nil if there is none.
func (q *fairQueue) pop(mayRun func(flow Flow) bool) *waiter {
	var best *flowQueue
	for _, f := range q.flows {
		if len(f.waiting) > 0 && (best == nil || f.before(best)) && mayRun(f.flow) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	w := best.waiting[0]
	best.waiting = best.waiting[1:]
	q.length--
	q.serve(best, best.startTag)
	return w
}

// before reports whether the flow is served before the other one.
func (f *flowQueue) before(other *flowQueue) bool {
	if f.startTag != other.startTag {
		return f.startTag < other.startTag
	}
	if f.flow.Priority != other.flow.Priority {
		return f.flow.Priority > other.flow.Priority
	}
	return f.flow.Name < other.flow.Name
}

// remove removes a request that stopped waiting. It returns false if the request is no longer
// queued, because it was already served.
func (q *fairQueue) remove(w *waiter) bool {
	f := q.flows[w.flow.Name]
	if f == nil {
		return false
	}
	index := slices.Index(f.waiting, w)
	if index < 0 {
		return false
	}
	f.waiting = slices.Delete(f.waiting, index, index+1)
	q.length--
	return true
}
