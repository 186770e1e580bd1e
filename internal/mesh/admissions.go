package mesh

import (
	"context"
	"errors"
	"slices"
	"sync"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// With admission, the owner of an upstream decides when a prompt may be sent there, and queues prompts that have to
// wait. Only the ask waits there; the request stays in the box that asked. Datagrams may be lost or duplicated: a
// queued ask is repeated under its number, which counts once, and an answer to a number that is not in use is returned
// with a release. Lost starts and releases expire in the ledger.

const (
	// admissionTimeoutMs is how long a box waits for an owner's answer. It covers many round trips between failure
	// domains and is small compared to the objective of a prompt.
	admissionTimeoutMs clock.Millis = 20
	// admissionRepeatMs is the interval at which a queued ask is repeated. It bounds the delay by a lost grant.
	admissionRepeatMs clock.Millis = 100
	// maxUnansweredRepeats is the number of consecutive unanswered repeats after which the owner counts as dead. One
	// may be lost.
	maxUnansweredRepeats = 2
	// answersBuffer holds the answers to repeated asks that arrive together. Further ones are dropped as if lost.
	answersBuffer = 4
	// neverAnswered is the age of an owner that has not answered yet.
	neverAnswered clock.Millis = -1
	// maxAdmissionMisses is the number of asks in a row that were not answered within admissionTimeoutMs after which late
	// answers don't make an owner count as responsive. Each of its answers would come late.
	maxAdmissionMisses = 3
)

// admissionRequests are this box's requests that owners may count or have queued.
type admissionRequests struct {
	mu         sync.Mutex
	nextNumber uint32
	open       map[uint32]*admissionRequest
	counts     admissionCounts
	// renewedMs is when owners were last told of the requests that still run.
	renewedMs clock.Millis
}

// admissionCounts are counters for metrics.
type admissionCounts struct{ asked, queued, unanswered, renewed int64 }

// admissionRequest is one request, from its first ask to its end.
type admissionRequest struct {
	mesh    *Mesh
	owner   Identity
	ask     admission.Ask
	askedMs clock.Millis
	answers chan admission.Answer
	// granted is set once the owner's grant has arrived, sent once the request may run, and started once the owner was
	// told of the first event. They are guarded by admissionRequests.mu.
	granted, sent, started bool
}

func (r *admissionRequests) start(m *Mesh, owner Identity, a admission.Ask) *admissionRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextNumber++
	a.ID = admission.ID{Box: m.self.Address, Number: r.nextNumber}
	q := &admissionRequest{
		mesh: m, owner: owner, ask: a, askedMs: m.clock.Monotonic(), answers: make(chan admission.Answer, answersBuffer),
	}
	r.open[a.ID.Number] = q
	r.counts.asked++
	return q
}

// finish removes a request and reports whether it was there.
func (r *admissionRequests) finish(number uint32) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := r.open[number] != nil
	delete(r.open, number)
	return found
}

// recordStart reports whether the request has started for the first time.
func (r *admissionRequests) recordStart(number uint32) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.open[number]
	if q == nil || q.started {
		return false
	}
	q.started = true
	return true
}

// running returns the requests that run at upstreams of other owners, or are about to.
func (r *admissionRequests) running() []*admissionRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []*admissionRequest{}
	for _, q := range r.open {
		if (q.granted || q.sent) && q.owner.Box != q.mesh.self.Box {
			list = append(list, q)
		}
	}
	return list
}

// runs reports whether a request has not ended, and whether its owner was told of the first event.
func (r *admissionRequests) runs(number uint32) (runs, started bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.open[number]
	return q != nil, q != nil && q.started
}

// resolve delivers an answer. It returns the box that answered, and false if no request is open at that owner.
func (r *admissionRequests) resolve(number uint32, from string, answer admission.Answer) (owner string, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.open[number]
	if q == nil || q.owner.Address != from {
		return "", false
	}
	select {
	case q.answers <- answer:
		q.granted = q.granted || answer.Verdict == admission.Granted
	default:
	}
	return q.owner.Box, true
}

func (r *admissionRequests) count(add func(c *admissionCounts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.counts)
}

// Admit asks the owner of the upstream to admit a prompt. The mesh sets the ID of the ask. Without MayQueue it returns
// within admissionTimeoutMs. With MayQueue it blocks until a queued ask is granted or denied, or withdraws it when the
// context ends or PatienceMs has elapsed; the verdict is then Denied. The caller must call the Release of the reply if
// the verdict is Granted or the reply is Unknown.
func (m *Mesh) Admit(ctx context.Context, failureDomain string, a admission.Ask) admission.Reply {
	owner, known := m.ownerForAdmission(a.Upstream, failureDomain)
	if !known {
		return withoutEnd(admission.Reply{Unknown: true, OwnerAgeMs: neverAnswered})
	}
	q := m.admissions.start(m, owner, a)
	if m.admissionOwnerUnresponsive(owner.Box) {
		return q.unknown(m.admissionOwnerAge(owner.Box))
	}
	sentMs := q.askedMs
	q.send(q.ask)
	answer, err := q.next(ctx, admissionTimeoutMs)
	switch {
	case errors.Is(err, errUnanswered):
		return q.unanswered(sentMs)
	case err != nil:
		return q.withdraw(answer)
	}
	m.recordTimelyAnswer(owner.Box)
	if answer.Verdict == admission.Queued {
		return q.wait(ctx, answer)
	}
	return q.decided(answer)
}

// ownerForAdmission returns the owner of an upstream. A draining box asks another box if there is one, as all other
// boxes do.
func (m *Mesh) ownerForAdmission(upstream namekey.Key, failureDomain string) (owner Identity, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.ownersLocked(failureDomain)
	if m.draining && len(list) > 1 {
		list = slices.DeleteFunc(list, func(i hashedIdentity) bool { return i.Box == m.self.Box })
	}
	return firstOwner(list, upstream, failureDomain)
}

// send asks the owner for the first time or again. The times left are those of now, so that an owner that has restarted
// decides as the first one did.
func (q *admissionRequest) send(a admission.Ask) {
	m := q.mesh
	elapsed := m.clock.Monotonic() - q.askedMs
	a.InTimeMs -= elapsed
	a.PatienceMs -= elapsed
	if q.owner.Box == m.self.Box {
		if answer := m.decide(a); answer.Verdict != admission.Unanswered {
			m.resolveAdmission(a.ID.Number, m.self.Address, answer)
		}
		return
	}
	if isLong(a) && m.readsLongAsks(q.owner.Box) {
		m.sendMessage(q.owner.Address, newLongAskMessage(a))
		return
	}
	m.sendMessage(q.owner.Address, newAskMessage(a))
}

// next returns the next answer. It returns errUnanswered if none arrives within a span, or the error of the context.
func (q *admissionRequest) next(ctx context.Context, span clock.Millis) (admission.Answer, error) {
	select {
	case answer := <-q.answers:
		// An owner in this process has answered already.
		return answer, nil
	default:
	}
	return awaitAnswer(ctx, q.mesh.clock, q.answers, span)
}

// wait waits for the grant or denial of a queued ask, and repeats the ask.
func (q *admissionRequest) wait(ctx context.Context, last admission.Answer) admission.Reply {
	m := q.mesh
	left := q.ask.PatienceMs - (m.clock.Monotonic() - q.askedMs)
	if !q.ask.MayQueue || left <= 0 {
		return q.withdraw(last)
	}
	m.admissions.count(func(c *admissionCounts) { c.queued++ })
	ctx, cancel := m.clock.WithTimeout(ctx, left)
	defer cancel()
	unanswered, unansweredMs, span, repeated := 0, clock.Millis(0), admissionRepeatMs, false
	for {
		answer, err := q.next(ctx, span)
		switch {
		case errors.Is(err, errUnanswered) && unanswered == maxUnansweredRepeats:
			return q.unanswered(unansweredMs)
		case errors.Is(err, errUnanswered):
			if unanswered == 0 {
				unansweredMs = m.clock.Monotonic()
			}
			if unanswered++; unanswered == maxUnansweredRepeats {
				span = admissionTimeoutMs
			}
			repeated = true
			q.send(q.ask)
		case err != nil:
			return q.withdraw(last)
		case answer.Verdict == admission.Queued:
			last, unanswered, span = answer, 0, admissionRepeatMs
		case answer.Verdict == admission.Denied && repeated:
			// The owner may have taken a repeat that crossed its denial for a new ask and granted it.
			q.release(false)
			return withoutEnd(admission.Reply{Answer: answer})
		default:
			return q.decided(answer)
		}
	}
}

// decided returns the reply for a grant or denial.
func (q *admissionRequest) decided(answer admission.Answer) admission.Reply {
	if answer.Verdict == admission.Denied {
		q.mesh.admissions.finish(q.ask.ID.Number)
		return withoutEnd(admission.Reply{Answer: answer})
	}
	return q.withEnd(admission.Reply{Answer: answer})
}

// withdraw withdraws the ask and returns a denial with the times of the owner's last answer.
func (q *admissionRequest) withdraw(last admission.Answer) admission.Reply {
	q.release(false)
	last.Verdict = admission.Denied
	return withoutEnd(admission.Reply{Answer: last})
}

// unanswered returns the reply for an ask that was not answered since an instant. The owner may have received it and
// count the request, so its end is told.
func (q *admissionRequest) unanswered(sinceMs clock.Millis) admission.Reply {
	return q.unknown(q.mesh.recordAdmissionTimeout(q.owner.Box, sinceMs))
}

// unknown returns the reply for an ask without an answer of the owner, which last answered some time ago. If the
// request is sent, the owner counts it all the same, or else its count would lack requests for as long as it answers
// late.
func (q *admissionRequest) unknown(ownerAgeMs clock.Millis) admission.Reply {
	return q.withEnd(admission.Reply{Unknown: true, OwnerAgeMs: ownerAgeMs, Count: q.count})
}

// count makes the owner count the request, whatever the bounds.
func (q *admissionRequest) count() {
	a := q.ask
	a.Force, a.MayQueue = true, false
	q.send(a)
}

// recount makes the owner count a request that runs under the new address of this process.
func (q *admissionRequest) recount() {
	runs, started := q.mesh.admissions.runs(q.ask.ID.Number)
	if !runs {
		return
	}
	q.count()
	if started {
		q.tell(admissionStarted)
	}
	if runs, _ = q.mesh.admissions.runs(q.ask.ID.Number); !runs {
		// It has ended meanwhile, perhaps before the owner counted it.
		q.tell(admissionRelease)
	}
}

func (q *admissionRequest) withEnd(r admission.Reply) admission.Reply {
	q.mesh.admissions.recordSend(q.ask.ID.Number)
	r.Started, r.Release = q.start, q.release
	return r
}

func withoutEnd(r admission.Reply) admission.Reply {
	r.Started, r.Release = func() {}, func(bool) {}
	return r
}

// start tells the owner of the first event, once.
func (q *admissionRequest) start() {
	if q.mesh.admissions.recordStart(q.ask.ID.Number) {
		q.tell(admissionStarted)
	}
}

// release tells the owner of the end, once.
func (q *admissionRequest) release(served bool) {
	if !q.mesh.admissions.finish(q.ask.ID.Number) {
		return
	}
	if served {
		q.tell(admissionReleaseServed)
		return
	}
	q.tell(admissionRelease)
}

func (q *admissionRequest) tell(kind admissionMessageKind) {
	if q.owner.Box == q.mesh.self.Box {
		q.mesh.recordEnd(kind, q.ask.ID)
		return
	}
	q.mesh.sendMessage(q.owner.Address, endMessage{Kind: kind, Number: q.ask.ID.Number})
}

// handleAdmissionAnswer processes an owner's answer. It returns ErrInvalid if the message is malformed.
func (m *Mesh) handleAdmissionAnswer(data []byte, from string) error {
	p, err := decodeAdmission[answerMessage](data)
	if err != nil {
		return err
	}
	answer, err := p.answer()
	if err != nil {
		return err
	}
	if owner, found := m.resolveAdmission(p.Number, from, answer); found {
		m.recordLongAskReader(owner, p.readsLongAsks())
	}
	return nil
}

// resolveAdmission delivers an owner's answer. If the request has ended or the ask was withdrawn, it releases what the
// owner granted or queued. This also ends requests of an earlier process of this box. It returns the box that answered,
// and false if no request is open at that owner.
func (m *Mesh) resolveAdmission(number uint32, from string, answer admission.Answer) (owner string, found bool) {
	owner, found = m.admissions.resolve(number, from, answer)
	switch {
	case found:
		m.recordAdmissionAnswer(owner)
	case answer.Verdict == admission.Denied:
	case from == m.self.Address:
		m.recordEnd(admissionRelease, admission.ID{Box: from, Number: number})
	default:
		m.sendMessage(from, endMessage{Kind: admissionRelease, Number: number})
	}
	return owner, found
}

// recordLongAskReader records whether an owner reads long asks. Owners of earlier releases don't.
func (m *Mesh) recordLongAskReader(owner string, reads bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[owner]; p != nil {
		p.readsLongAsks = reads
	}
}

// readsLongAsks reports whether the newest answer of an owner's process has shown that it reads long asks.
func (m *Mesh) readsLongAsks(owner string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[owner]
	return p != nil && p.readsLongAsks
}

// recordAdmissionAnswer records that an owner answers asks, in time or late.
func (m *Mesh) recordAdmissionAnswer(owner string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[owner]; p != nil {
		p.admissionAnswerMs = m.clock.Monotonic()
		if p.admissionMisses < maxAdmissionMisses {
			p.admissionTimeoutMs = 0
		}
	}
}

// recordTimelyAnswer records that an owner has answered an ask in time.
func (m *Mesh) recordTimelyAnswer(owner string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[owner]; p != nil {
		p.admissionMisses, p.admissionTimeoutMs = 0, 0
	}
}

// recordAdmissionTimeout records that an owner has not answered an ask that was sent at an instant, and returns how
// long ago it last answered. If it has answered another ask since then, one message was lost, and the owner is still
// asked, unless it has not answered several asks in a row in time. Asks that were open at the same time count once.
func (m *Mesh) recordAdmissionTimeout(owner string, sentMs clock.Millis) clock.Millis {
	m.admissions.count(func(c *admissionCounts) { c.unanswered++ })
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[owner]
	if p == nil {
		return neverAnswered
	}
	now := m.clock.Monotonic()
	if sentMs >= p.admissionMissedMs {
		p.admissionMisses++
		p.admissionMissedMs = now
	}
	if p.admissionAnswerMs < sentMs || p.admissionMisses >= maxAdmissionMisses {
		p.admissionTimeoutMs = now
	}
	return m.admissionOwnerAgeLocked(owner)
}

// admissionOwnerUnresponsive reports whether an owner did not answer an ask within the last ownerRetryMs. Owners of
// earlier releases never answer, but still grant permits, so the two are recorded separately.
func (m *Mesh) admissionOwnerUnresponsive(owner string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[owner]
	return p != nil && p.admissionTimeoutMs > 0 && m.clock.Monotonic()-p.admissionTimeoutMs < ownerRetryMs
}

// admissionOwnerAge returns the time since an owner last answered an ask, or neverAnswered.
func (m *Mesh) admissionOwnerAge(owner string) clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.admissionOwnerAgeLocked(owner)
}

func (m *Mesh) admissionOwnerAgeLocked(owner string) clock.Millis {
	if p := m.peers[owner]; p != nil && p.admissionAnswerMs > 0 {
		return m.clock.Monotonic() - p.admissionAnswerMs
	}
	return neverAnswered
}
