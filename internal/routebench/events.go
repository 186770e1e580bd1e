package routebench

import (
	"container/heap"

	"dooryard.example/dooryard/internal/clock"
)

// event is a function that is called at a simulated time. Events with the same time run in the order in which they were
// added.
type event struct {
	at     clock.Millis
	order  int
	action func()
}

// events is the queue of pending events.
type events struct {
	queue eventHeap
	order int
}

func (e *events) add(at clock.Millis, action func()) {
	e.order++
	heap.Push(&e.queue, event{at: at, order: e.order, action: action})
}

func (e *events) next() (event, bool) {
	if len(e.queue) == 0 {
		return event{}, false
	}
	first, _ := heap.Pop(&e.queue).(event)
	return first, true
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(item any) {
	e, _ := item.(event)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
