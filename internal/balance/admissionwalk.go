package balance

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/clock"
)

const (
	// maxAdmissionAsks is the number of engines whose owners are asked for a prompt in one round, without a wait. Each
	// ask takes a round trip and up to 82 bytes (docs/design/0015-admission.md), and 90% of the refusals are to come
	// within 200 ms of arrival.
	maxAdmissionAsks = 4
	// maxAdmissionRounds is the number of rounds, the first one included. Another one follows when an engine becomes
	// unusable after it has admitted the prompt. The limit ends the search where engines fail one after another.
	maxAdmissionRounds = 4
)

// AdmitFunc asks the owner of the lease's engine. With MayQueue it may block until the context ends.
type AdmitFunc func(ctx context.Context, lease *Lease, ask admission.Ask) admission.Reply

// PickWithAdmission picks an engine like Pick for a request whose Admission is set, and has its owner admit the prompt.
// It may block until the context ends, and then returns an error that wraps the context's cause. The error is an
// OverloadedError if no engine can serve the prompt in time, and otherwise one of those of Pick.
func (m *Manager) PickWithAdmission(ctx context.Context, request PickRequest, admit AdmitFunc) (*Lease, error) {
	w := &admissionWalk{
		manager: m, request: request, admit: admit, startMs: m.monotonic(), patienceMs: request.Admission.PatienceMs,
	}
	w.record.Force = request.Admission.Force
	for range maxAdmissionRounds {
		slow := w.slow
		lease, err := w.round(ctx)
		if slow != nil {
			lease, err = w.orSlow(ctx, lease, err)
		}
		switch {
		case errors.Is(err, errNotUsable):
			w.record.Rechecked++
		case err != nil && ctx.Err() != nil:
			return nil, fmt.Errorf("%w: %w", context.Cause(ctx), err)
		default:
			m.recordAdmission(request, err)
			return lease, err
		}
		w.request.sessionCounted = true
	}
	if w.slow != nil {
		return w.commit(ctx, w.slow)
	}
	return nil, w.overloaded()
}

// errNotAdmitted means that the owner of an engine has not admitted the prompt, and that others may.
var errNotAdmitted = errors.New("the owner has not admitted the prompt")

// errNotUsable means that an engine became unusable, or turned slow, after it had admitted the prompt.
var errNotUsable = errors.New("the engine became unusable")

// admissionWalk is the search of one prompt for an engine that admits it.
type admissionWalk struct {
	manager *Manager
	request PickRequest
	admit   AdmitFunc
	startMs clock.Millis
	// patienceMs is how long the prompt may wait from startMs on, without refusalMs.
	patienceMs clock.Millis
	record     Admission
	// slow is an engine that turned slow after it had admitted the prompt. It gets the prompt if no other one admits it
	// at once.
	slow *askedEngine
	// recheckedPace is set once the prompt has left an engine that turned slow.
	recheckedPace bool
	// asked are the engines asked in this round that have not admitted the prompt. leastLoaded is how many of them may be
	// asked for their load instead of the session's order.
	asked       []*askedEngine
	leastLoaded int
}

// askedEngine is an engine that has not admitted the prompt.
type askedEngine struct {
	lease  *Lease
	ask    admission.Ask
	reply  admission.Reply
	record int
	// startInMs is the expected time from the answer to the first event. estimated is set if no owner answered, or if
	// one granted that has not counted for long enough; startInMs is then at least this box's own estimate.
	startInMs clock.Millis
	estimated bool
	// slow is set if the engine was known to be slow when it was chosen.
	slow bool
	// onProbation is set if the engine gets only single trial requests, which don't wait.
	onProbation bool
}

// round asks engines until one admits the prompt. If none does, it waits at the one that can start it first.
func (w *admissionWalk) round(ctx context.Context) (*Lease, error) {
	w.asked, w.request.Full, w.leastLoaded = nil, nil, 0
	if w.slow != nil {
		w.request.Full = []string{w.slow.lease.ID}
	}
	defer w.releaseUnused()
	for len(w.asked) < w.maxAsks() {
		engine, err := w.choose()
		switch {
		case err != nil && len(w.asked) == 0:
			return nil, err
		case err != nil || slices.Contains(w.request.Full, engine.lease.ID):
			return w.wait(ctx)
		case ctx.Err() != nil:
			return nil, w.overloaded()
		}
		if lease, err := w.tryEngine(ctx, engine); !errors.Is(err, errNotAdmitted) {
			return lease, err
		}
	}
	return w.wait(ctx)
}

// tryEngine asks an engine, and has the prompt wait there if it is worth it. The error is errNotAdmitted if others are
// to be asked.
func (w *admissionWalk) tryEngine(ctx context.Context, e *askedEngine) (*Lease, error) {
	w.ask(ctx, e)
	if w.accepts(e) {
		return w.commit(ctx, e)
	}
	w.asked = append(w.asked, e)
	switch {
	case !w.waitsForHolder(e):
	case e.lease.bound == 0:
		return w.wait(ctx)
	default:
		if lease, err := w.waitWithinBound(ctx, e); !errors.Is(err, errNotAdmitted) {
			return lease, err
		}
	}
	w.request.Full = append(w.request.Full, e.lease.ID)
	return nil, errNotAdmitted
}

// maxAsks returns the number of engines to ask in this round. After those of the session's order, some with a low load
// are asked if the load bound prevents the prompt at one of the former.
func (w *admissionWalk) maxAsks() int {
	if len(w.asked) == maxAdmissionAsks && slices.ContainsFunc(w.asked, (*askedEngine).deniedForBound) {
		w.leastLoaded = maxLeastLoaded
	}
	return maxAdmissionAsks + w.leastLoaded
}

// deniedForBound reports whether the engine would start the prompt at once if its load were below the bound. If its
// work prevents that, the owner tells when it will be done.
func (e *askedEngine) deniedForBound() bool {
	return !e.estimated && e.lease.bound > 0 && e.reply.Answer.Verdict == admission.Denied && e.reply.Answer.DrainMs == 0
}

// queueable returns the engine at which the prompt is to wait, or nil if none would start it in time. If the load bound
// alone prevents it at some, it is the last one of these, which was asked for its low load, and else the one that would
// start it first.
func (w *admissionWalk) queueable() *askedEngine {
	inTime := func(e *askedEngine) bool {
		return !e.estimated && !e.onProbation && e.startInMs <= e.ask.InTimeMs
	}
	for _, e := range slices.Backward(w.asked) {
		if inTime(e) && e.deniedForBound() {
			return e
		}
	}
	return w.best(inTime)
}

const (
	// minMovedTokens is the number of cached tokens from which on a prompt waits at the engine that caches them. Fewer
	// can be prefilled elsewhere at little cost: 1,000 tokens take 25 ms at 40 tokens per ms, the rate of the engines in
	// TestHardLoad.
	minMovedTokens = 1000
	// holderMarginDivisor is the divisor of the expected time to the first event that gives the margin, a quarter, by
	// which a prompt must be expected in time to wait where it is cached. The margin covers more urgent work that
	// arrives during the wait.
	holderMarginDivisor = 4
)

// waitsForHolder reports whether the prompt waits at the engine that was asked first and caches its shared parts,
// instead of being prefilled elsewhere. In an overload, sessions that move make engines prefill the same parts again,
// which takes capacity from other prompts: 1.26 million tokens on the rush day, 0.99 million where prompts wait
// (docs/design/0015-admission.md).
func (w *admissionWalk) waitsForHolder(e *askedEngine) bool {
	cached := w.request.Admission.Demand.PromptTokens - e.ask.PrefillTokens
	return len(w.asked) == 1 && e.lease.Rank == 0 && !e.estimated && !e.onProbation &&
		cached >= minMovedTokens && e.startInMs > 0 && e.startInMs+e.startInMs/holderMarginDivisor <= e.ask.InTimeMs
}

// waitWithinBound has the prompt wait at an engine until its load is below the bound. The error is errNotAdmitted if
// its owner denies it. Where the bound is likely the reason, it waits for half of the time in which it is in time, so
// that other engines can be asked in the rest.
func (w *admissionWalk) waitWithinBound(ctx context.Context, e *askedEngine) (*Lease, error) {
	first, patienceMs := *e, w.request.Admission.PatienceMs
	if e.deniedForBound() || e.lease.exceedsOwnBound(e.lease.bound) {
		elapsedMs := w.manager.monotonic() - w.startMs
		w.patienceMs = min(patienceMs, elapsedMs+e.ask.InTimeMs/2+refusalMs) //nolint:mnd // Half.
	}
	w.queueAt(ctx, e)
	w.patienceMs = patienceMs
	if w.accepts(e) {
		return w.commit(ctx, e)
	}
	e.ask.MayQueue = false
	if !e.estimated {
		// The time to the first event in the denial of a wait includes that until the engine is below the bound.
		e.reply, e.startInMs = first.reply, first.startInMs
	}
	return nil, errNotAdmitted
}

// queueAt has the prompt wait at an engine.
func (w *admissionWalk) queueAt(ctx context.Context, e *askedEngine) {
	e.ask.MayQueue = true
	sinceMs := w.manager.monotonic()
	w.ask(ctx, e)
	w.record.WaitedMs += w.manager.monotonic() - sinceMs
}

// wait has the prompt wait at the owner that would start it first. It returns an OverloadedError if none would start it
// in time: most prompts that wait although they will be late are refused later, when their callers have no time left.
func (w *admissionWalk) wait(ctx context.Context) (*Lease, error) {
	if w.slow != nil {
		return nil, w.overloaded()
	}
	if !slices.ContainsFunc(w.asked, func(e *askedEngine) bool { return !e.estimated }) {
		// Nothing is known of the engines, so the prompt is sent to the least loaded one instead of being refused.
		return w.commit(ctx, w.best(func(*askedEngine) bool { return true }))
	}
	if queue := w.queueable(); queue != nil {
		// After these denials the load bound no longer counts, as for permits: an uneven load is better than a refusal
		// while an engine has capacity.
		queue.ask.Bound = 0
		w.queueAt(ctx, queue)
		if w.accepts(queue) {
			return w.commit(ctx, queue)
		}
		if w.turnedSlow(queue) {
			w.recheckedPace = true
			return nil, errNotUsable
		}
	}
	// An engine that this box expects to be in time was passed over only because its estimated load exceeds the bound.
	idle := w.best(func(e *askedEngine) bool { return e.estimated && e.startInMs <= e.ask.InTimeMs })
	if idle != nil {
		return w.commit(ctx, idle)
	}
	return nil, w.overloaded()
}

// best returns the matching engine that would start the prompt first, the least loaded one of several, or nil.
func (w *admissionWalk) best(matches func(e *askedEngine) bool) *askedEngine {
	var best *askedEngine
	for _, e := range w.asked {
		if matches(e) && (best == nil || cmp.Or(cmp.Compare(e.startInMs, best.startInMs),
			cmp.Compare(e.lease.Load, best.lease.Load)) < 0) {
			best = e
		}
	}
	return best
}

// choose chooses the next engine to ask.
func (w *admissionWalk) choose() (*askedEngine, error) {
	m := w.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	lease, err := m.choose(w.request, m.monotonic())
	if err != nil {
		return nil, err
	}
	engine := &askedEngine{
		lease: lease, ask: m.askFor(lease, w.request), onProbation: lease.probation, slow: lease.pace.Slow(m.monotonic()),
	}
	engine.ask.Force = w.request.Admission.Force || lease.stalledTrial
	return engine, nil
}

// ask asks the owner of an engine, with the time that is left now.
func (w *admissionWalk) ask(ctx context.Context, e *askedEngine) {
	m := w.manager
	elapsed := m.monotonic() - w.startMs
	e.ask.InTimeMs = w.request.ObjectiveMs - w.request.ElapsedMs - elapsed
	e.ask.PatienceMs = patienceMs(w.patienceMs - elapsed)
	e.reply = w.admit(ctx, e.lease, e.ask)
	m.recordOwnerPace(e.lease.Member, e.reply)
	e.estimated = e.reply.Unknown || e.reply.Answer.Verdict == admission.Granted && e.reply.Answer.Provisional
	e.startInMs = e.reply.Answer.StartInMs
	if e.estimated {
		e.startInMs = max(e.startInMs, m.estimateStartMs(e.lease.Member, e.ask.PrefillTokens))
	}
	record := AskedUpstream{
		Upstream: e.lease.ID, Answer: e.reply.Answer, Unknown: e.reply.Unknown, OwnerAgeMs: e.reply.OwnerAgeMs,
	}
	if record.Unknown {
		record.Answer.StartInMs = e.startInMs
	}
	w.record.Tokens = AdmissionTokens{Prefill: e.ask.PrefillTokens, Own: e.ask.OwnTokens, Shared: e.ask.SharedTokens}
	if e.ask.MayQueue {
		w.record.Asked[e.record] = record
		return
	}
	e.record = len(w.record.Asked)
	w.record.Asked = append(w.record.Asked, record)
}

// refusalMs is the time that is left for a refusal to reach its caller after a wait, so that the caller doesn't give up
// first. It covers a round trip.
const refusalMs clock.Millis = 100

// patienceMs returns how long a prompt may wait if its caller gives up after the remaining time: all of it but
// refusalMs, or half of a shorter time.
func patienceMs(remaining clock.Millis) clock.Millis { return max(remaining-refusalMs, remaining/2) }

// accepts reports whether the prompt may be sent to an engine after its owner's reply.
func (*admissionWalk) accepts(e *askedEngine) bool {
	switch {
	case e.ask.Force:
		return true
	case e.estimated:
		withinBound := e.lease.bound == 0 || !e.lease.exceedsOwnBound(e.lease.bound)
		return withinBound && e.startInMs <= e.ask.InTimeMs
	default:
		return e.reply.Answer.Verdict == admission.Granted
	}
}

// commit counts the request at an engine that admitted it, if the engine is still a candidate and the caller still
// waits. Otherwise it returns the permit.
func (w *admissionWalk) commit(ctx context.Context, e *askedEngine) (*Lease, error) {
	if !e.slow && w.turnedSlow(e) {
		w.slow, w.recheckedPace = e, true
		return nil, errNotUsable
	}
	reply := e.reply
	e.reply.Release = nil
	if ctx.Err() != nil {
		reply.Release(false)
		return nil, w.overloaded()
	}
	m, l := w.manager, e.lease
	m.mu.Lock()
	now := m.monotonic()
	usable := m.isCandidate(l, w.request, now)
	if usable {
		l.count(now)
		l.recordPrompt(now)
		l.Permit = w.permit(e)
		l.onRelease = reply.Release
		l.admitted = &admitted{
			Admission: w.record, started: reply.Started, prefillTokens: e.ask.PrefillTokens, sentMs: now,
		}
		l.unstartedTokens += e.ask.PrefillTokens
		l.admitted.aheadTokens = float64(l.unstartedTokens) * m.boxesPerReport
	}
	m.mu.Unlock()
	if !usable {
		reply.Release(false)
		return nil, errNotUsable
	}
	if reply.Count != nil {
		reply.Count()
	}
	return l, nil
}

// permit returns how the prompt is counted at an engine that admitted it.
func (w *admissionWalk) permit(e *askedEngine) Permit {
	if e.lease.bound == 0 {
		return Permit{}
	}
	source := sourceOf(!e.reply.Unknown, e.reply.Answer.Provisional)
	if e.ask.Bound == 0 || e.ask.Force {
		source = UnboundedPermit
	}
	return e.lease.permit(source, len(w.request.Full))
}

// releaseUnused returns the permits that owners may have counted for engines to which the prompt was not sent.
func (w *admissionWalk) releaseUnused() {
	for _, e := range w.asked {
		if e.estimated && e.reply.Release != nil {
			e.reply.Release(false)
		}
	}
}

// overloaded returns the OverloadedError of the prompt. Its FirstEventMs follows from the learnt prefill times, or is
// the objective while they are unknown.
func (w *admissionWalk) overloaded() error {
	m := w.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	firstEventMs := w.request.ObjectiveMs
	if rate := m.prefillRates[w.request.Pool]; rate.known() {
		firstEventMs = rate.forTokens(float64(w.record.Tokens.Prefill))
	}
	return &OverloadedError{Admission: w.record, FirstEventMs: firstEventMs}
}

// holdersFirst moves the engines that likely cache shared parts of the prompt to the front, those that cache the most
// first.
func (*Manager) holdersFirst(order []*Member, request PickRequest, now clock.Millis) []*Member {
	shared := request.Prompt.Shared().KeyedParts()
	cached := make(map[*Member]int, len(order))
	for _, member := range order {
		cached[member] = member.parts.cachedTokens(shared, now)
	}
	return slices.SortedStableFunc(slices.Values(order), func(a, b *Member) int { return cached[b] - cached[a] })
}

// isCandidate reports whether the chosen upstream may still receive the request.
func (m *Manager) isCandidate(l *Lease, request PickRequest, now clock.Millis) bool {
	eligible := m.members(request)
	if !l.stalledTrial && m.unreachable(eligible, now) {
		return false
	}
	return slices.Contains(m.candidates(request, eligible, now), l.Member) ||
		l.FromReserve && slices.Contains(m.reserve(request, now), l.Member)
}
