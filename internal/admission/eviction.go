package admission

import (
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// full reports whether the queue is at its bound.
func (u *upstream) full() bool { return u.queue.length >= max(minQueueLength, queuePerSlot*u.slots) }

// evictable returns the queued ask that gives way to a new one while the queue is full, or nil: the last one of a less
// urgent class, or else of an organisation that has more asks there. Otherwise many asks of a less urgent kind or of
// another organisation would have urgent or rare ones denied.
func (u *upstream) evictable(r *request) *request {
	for _, c := range slices.Backward(u.queue.classes) {
		if c.waiting.requests == 0 {
			continue
		}
		if c.urgency < r.ask.Urgency {
			return nil
		}
		largest := c.largest()
		if own := c.organisations.flows[r.ask.Organisation]; c.urgency == r.ask.Urgency && own != nil &&
			largest.waiting.requests <= own.waiting.requests+1 {
			return nil
		}
		return largest.last()
	}
	return nil
}

// largest returns the organisation with the most waiting asks.
func (c *class) largest() *flow {
	return slices.MaxFunc(c.organisations.active, func(a, b *flow) int {
		return int(a.waiting.requests - b.waiting.requests)
	})
}

// last returns the ask of an organisation that has the latest deadline.
func (f *flow) last() *request {
	var last *request
	for _, session := range f.sessions.active {
		if r := session.asks[len(session.asks)-1]; last == nil || compareDeadlines(r, last) > 0 {
			last = r
		}
	}
	return last
}

// enqueue queues a request, and denies another one for it if the queue is full.
func (u *upstream) enqueue(r *request, now clock.Millis) []Grant {
	var grants []Grant
	if u.full() {
		grants = append(grants, u.denyQueued(u.evictable(r), now))
	}
	u.queue.push(r)
	return grants
}
