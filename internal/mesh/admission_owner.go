package mesh

import (
	"net"
	"sync"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// maxUnrepeated is the number of calls of ExpireAdmissions, one each 50 ms, for which a queued ask of another box waits
// without being repeated. The box has then died, is partitioned from this one, or has withdrawn the ask with a message
// that was lost. Four lost repeats are tolerated. Calls are counted instead of time, so that a pause of this process,
// in which it receives no repeats, doesn't count.
const maxUnrepeated = 10

// admissionLedger holds the methods of an admission.Ledger. Tests replace them.
type admissionLedger struct {
	ask        func(a admission.Ask) (admission.Answer, []admission.Grant)
	started    func(id admission.ID) []admission.Grant
	release    func(id admission.ID, served bool) []admission.Grant
	releaseBox func(box string) []admission.Grant
	renew      func(box string, numbers []uint32)
	unsettle   func(isIncomplete func(upstream namekey.Key) bool)
	denyQueued func(exceptBox string) []admission.Grant
	expire     func() []admission.Grant
	sizes      func() admission.Sizes
}

func newAdmissionLedger(l *admission.Ledger) admissionLedger {
	return admissionLedger{
		ask: l.Ask, started: l.Started, release: l.Release, releaseBox: l.ReleaseBox, renew: l.Renew, unsettle: l.Unsettle,
		denyQueued: l.DenyQueued, expire: l.Expire, sizes: l.Sizes,
	}
}

// admissionOwner decides on asks at the upstreams that this box owns.
type admissionOwner struct {
	self string
	// changed gets a value when the ledger may have got something that expires.
	changed chan struct{}

	// mu is held during calls of the ledger, so that queued holds what the ledger has queued.
	mu     sync.Mutex
	ledger admissionLedger
	// queued holds the queued asks of other boxes, with the number of calls of expire since they were last repeated.
	queued   map[admission.ID]int
	draining bool
}

func newAdmissionOwner(self string, monotonic func() clock.Millis) *admissionOwner {
	return &admissionOwner{
		self: self, changed: make(chan struct{}, 1),
		ledger: newAdmissionLedger(admission.New(monotonic)), queued: map[admission.ID]int{},
	}
}

// ask decides on an ask. It also returns the grants that are due. A draining box queues no asks of other boxes.
func (o *admissionOwner) ask(a admission.Ask) (admission.Answer, []admission.Grant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining && a.ID.Box != o.self {
		a.MayQueue = false
	}
	answer, grants := o.ledger.ask(a)
	delete(o.queued, a.ID)
	if answer.Verdict == admission.Queued && a.ID.Box != o.self {
		o.queued[a.ID] = 0
	}
	o.recordLocked(grants)
	select {
	case o.changed <- struct{}{}:
	default:
	}
	return answer, grants
}

// update calls the ledger and returns the grants that are due.
func (o *admissionOwner) update(call func(l admissionLedger) []admission.Grant) []admission.Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	grants := call(o.ledger)
	o.recordLocked(grants)
	return grants
}

func (o *admissionOwner) recordLocked(grants []admission.Grant) {
	for _, g := range grants {
		delete(o.queued, g.ID)
	}
}

// withdrawLocked withdraws a queued ask. The ledger may grant other ones, which are then not queued any more.
func (o *admissionOwner) withdrawLocked(id admission.ID) []admission.Grant {
	delete(o.queued, id)
	grants := o.ledger.release(id, false)
	o.recordLocked(grants)
	return grants
}

// release ends a request or withdraws a queued ask, and returns the grants that are due.
func (o *admissionOwner) release(id admission.ID, served bool) []admission.Grant {
	return o.update(func(l admissionLedger) []admission.Grant {
		delete(o.queued, id)
		return l.release(id, served)
	})
}

// started records the first event of a request, and returns the grants that are due.
func (o *admissionOwner) started(id admission.ID) []admission.Grant {
	return o.update(func(l admissionLedger) []admission.Grant { return l.started(id) })
}

// releaseBox ends the requests of a box that has restarted, and returns the grants that are due.
func (o *admissionOwner) releaseBox(box string) []admission.Grant {
	return o.update(func(l admissionLedger) []admission.Grant {
		for id := range o.queued {
			if id.Box == box {
				delete(o.queued, id)
			}
		}
		return l.releaseBox(box)
	})
}

// renew records that requests of a box still run.
func (o *admissionOwner) renew(box string, numbers []uint32) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.renew(box, numbers)
}

// unsettle makes the counts at upstreams incomplete from now on.
func (o *admissionOwner) unsettle(isIncomplete func(upstream namekey.Key) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.unsettle(isIncomplete)
}

// expire removes what has expired, and asks that are not repeated any more, so that no capacity is granted to boxes
// that don't use it. It returns the grants that are due, and whether anything may expire later.
func (o *admissionOwner) expire() (grants []admission.Grant, more bool) {
	grants = o.update(func(l admissionLedger) []admission.Grant {
		for id := range o.queued {
			if o.queued[id]++; o.queued[id] > maxUnrepeated {
				grants = append(grants, o.withdrawLocked(id)...)
			}
		}
		grants = append(grants, l.expire()...)
		sizes := l.sizes()
		more = sizes.Permits+sizes.Queued > 0
		return grants
	})
	return grants, more
}

// drain denies the queued asks of other boxes, which would be lost when this process ends. Asks of this box stay, as
// the process ends after its own requests.
func (o *admissionOwner) drain() []admission.Grant {
	return o.update(func(l admissionLedger) []admission.Grant {
		o.draining = true
		return l.denyQueued(o.self)
	})
}

// handleAdmissionMessage processes a datagram about admission.
func (m *Mesh) handleAdmissionMessage(data []byte, from net.Addr) {
	var err error
	switch admissionMessageKind(data[1]) {
	case admissionAsk, admissionLongAsk:
		var p askMessage
		if p, err = decodeAdmission[askMessage](data); err == nil {
			m.answerAsk(p, from.String())
		}
	case admissionAnswer:
		err = m.handleAdmissionAnswer(data, from.String())
	case admissionRenewal:
		err = m.handleAdmissionRenewal(data, from.String())
	default:
		var p endMessage
		if p, err = decodeAdmission[endMessage](data); err == nil {
			m.recordEnd(p.Kind, admission.ID{Box: from.String(), Number: p.Number})
		}
	}
	if err != nil {
		m.mu.Lock()
		m.ignored++
		m.mu.Unlock()
	}
}

// answerAsk answers the ask of another box, unless this box keeps no more state.
func (m *Mesh) answerAsk(p askMessage, from string) {
	if answer := m.decide(p.ask(from)); answer.Verdict != admission.Unanswered {
		m.sendMessage(from, newAnswerMessage(p.Number, answer))
	}
}

// decide decides on an ask as the owner of the upstream, and sends the grants that are due.
func (m *Mesh) decide(a admission.Ask) admission.Answer {
	m.checkOwnership(a.Upstream)
	answer, grants := m.admissionOwner.ask(a)
	m.sendGrants(grants)
	if m.exchangesPaces() {
		// Boxes that tell each other of slow upstreams would only hear of them later, and avoid them for longer.
		answer.SlowPercent = 0
	}
	return answer
}

// recordEnd records the start or end of a request as the owner of its upstream, and sends the grants that are due.
func (m *Mesh) recordEnd(kind admissionMessageKind, id admission.ID) {
	if kind == admissionStarted {
		m.sendGrants(m.admissionOwner.started(id))
		return
	}
	m.sendGrants(m.admissionOwner.release(id, kind == admissionReleaseServed))
}

// sendGrants sends grants and denials of queued asks to the boxes that asked.
func (m *Mesh) sendGrants(grants []admission.Grant) {
	for _, g := range grants {
		if g.ID.Box == m.self.Address {
			m.resolveAdmission(g.ID.Number, g.ID.Box, g.Answer)
			continue
		}
		m.sendMessage(g.ID.Box, newAnswerMessage(g.ID.Number, g.Answer))
	}
}

// ExpireAdmissions removes requests whose release was lost and sends the grants that are due. It must be called every
// 50 ms while it returns true, and after a receive from AdmissionsChanged.
func (m *Mesh) ExpireAdmissions() (more bool) {
	grants, more := m.admissionOwner.expire()
	m.sendGrants(grants)
	return more
}

// AdmissionsChanged returns a channel that gets a value when ExpireAdmissions has to be called again.
func (m *Mesh) AdmissionsChanged() <-chan struct{} { return m.admissionOwner.changed }
