package admission

import "container/list"

// Other boxes choose the names of organisations and sessions, so the usage that is remembered of them is bounded.
const (
	// maxIdleOrganisations is the number of organisations without waiting asks whose usage a pool remembers. An
	// organisation counts once for each upstream and urgency.
	maxIdleOrganisations = 1024
	// maxIdleSessions is the same for the sessions of one of them.
	maxIdleSessions = 1024
)

// idleFlows holds flows without waiting asks, those idle for longest first. Beyond its limit, these are evicted.
type idleFlows struct {
	limit   int
	entries list.List
	// evicted counts evictions.
	evicted *int64
}

// idleFlow is a flow with the schedule that remembers it.
type idleFlow struct {
	schedule *schedule
	flow     *flow
}

// add adds a flow that became idle, and evicts another one if there are too many.
func (l *idleFlows) add(s *schedule, f *flow) {
	f.idle = l.entries.PushBack(idleFlow{schedule: s, flow: f})
	if l.entries.Len() <= l.limit {
		return
	}
	if oldest, ok := l.entries.Front().Value.(idleFlow); ok {
		*l.evicted++
		oldest.schedule.forget(oldest.flow)
	}
}

// remove removes a flow that is not idle any more or is forgotten.
func (l *idleFlows) remove(f *flow) {
	if f.idle != nil {
		l.entries.Remove(f.idle)
		f.idle = nil
	}
}
