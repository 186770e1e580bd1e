// Package limit decides who waits: fair queueing among organisations in front
// of the pools, and the organisations' own limits.
package limit

import "container/heap"

// Flow is an organisation in a fair queue.
type Flow struct {
	Name string
	// Weight is the organisation's share among those that wait.
	Weight int
	// Priority goes first among the waiting requests of one organisation.
	Priority int
}

// costUnit is the virtual time that one request of weight 1 takes.
const costUnit = 1 << 20

// fairQueue is start-time fair queueing: each request gets a start tag, no
// earlier than the virtual time and after the finish of its organisation's
// last, and the smallest start tag is served first. An organisation that sends
// more than its share only moves its own tags further out.
type fairQueue struct {
	heap     waiterHeap
	virtual  uint64
	finishes map[string]uint64
	waiting  map[string]int
	sequence uint64
}

// waiter is one waiting request.
type waiter struct {
	flow     Flow
	start    uint64
	sequence uint64
	index    int
	admitted chan struct{}
}

func newFairQueue() *fairQueue {
	return &fairQueue{finishes: map[string]uint64{}, waiting: map[string]int{}}
}

func (q *fairQueue) len() int { return len(q.heap) }

// tag gives the next request of a flow its start tag.
func (q *fairQueue) tag(flow Flow) uint64 {
	start := max(q.virtual, q.finishes[flow.Name])
	q.finishes[flow.Name] = start + costUnit/uint64(max(1, flow.Weight))
	return start
}

// push queues a request.
func (q *fairQueue) push(w *waiter) {
	q.sequence++
	w.sequence = q.sequence
	w.start = q.tag(w.flow)
	q.waiting[w.flow.Name]++
	heap.Push(&q.heap, w)
}

// pop takes the request that is served next, or nil.
func (q *fairQueue) pop() *waiter {
	if len(q.heap) == 0 {
		return nil
	}
	w, _ := heap.Pop(&q.heap).(*waiter)
	q.forget(w)
	q.virtual = max(q.virtual, w.start)
	if len(q.heap) == 0 {
		q.rest()
	}
	return w
}

// pass counts a request that is served without waiting, because nobody waits.
func (q *fairQueue) pass(flow Flow) {
	q.virtual = max(q.virtual, q.tag(flow))
	if len(q.finishes) > maxIdleFlows {
		q.rest()
	}
}

// maxIdleFlows bounds the finish tags kept while nobody waits.
const maxIdleFlows = 4096

// rest forgets finish tags that no longer hold anyone back.
func (q *fairQueue) rest() {
	for name, finish := range q.finishes {
		if finish <= q.virtual || len(q.finishes) > maxIdleFlows {
			delete(q.finishes, name)
		}
	}
}

// remove takes a request out that no longer waits.
func (q *fairQueue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.heap, w.index)
	q.forget(w)
	return true
}

func (q *fairQueue) forget(w *waiter) {
	w.index = -1
	q.waiting[w.flow.Name]--
	if q.waiting[w.flow.Name] == 0 {
		delete(q.waiting, w.flow.Name)
	}
}

// waiterHeap orders by start tag, then priority, then arrival.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.start != b.start {
		return a.start < b.start
	}
	if a.flow.Priority != b.flow.Priority {
		return a.flow.Priority > b.flow.Priority
	}
	return a.sequence < b.sequence
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(item any) {
	w, _ := item.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
