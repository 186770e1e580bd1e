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
	// maxAdmissionAsks is how many engines a prompt asks whether it may be sent there at once.
	maxAdmissionAsks = 4
	// maxAdmissionRounds is how often a prompt asks again after an engine that had admitted it became unusable.
	maxAdmissionRounds = 4
)

// AdmitFunc asks the owner of the lease's engine.
type AdmitFunc func(ctx context.Context, lease *Lease, ask admission.Ask) admission.Reply

// PickWithAdmission picks an engine like Pick for a request whose Admission is set, and has its owner admit the prompt.
// It may wait until the context ends. The error is an OverloadedError if no engine can serve the prompt in time.
func (m *Manager) PickWithAdmission(ctx context.Context, request PickRequest, admit AdmitFunc) (*Lease, error) {
	w := &admissionWalk{manager: m, request: request, admit: admit, startMs: m.monotonic()}
	w.record.Force = request.Admission.Force
	for range maxAdmissionRounds {
		lease, err := w.round(ctx)
		switch {
		case errors.Is(err, errNotUsable):
			w.record.Rechecked++
		case err != nil && ctx.Err() != nil:
			return nil, fmt.Errorf("%w: %w", context.Cause(ctx), err)
		default:
			m.recordAdmission(request, err)
			return lease, err
		}
		w.request.again = true
	}
	return nil, w.overloaded()
}

// errNotUsable means that an engine became unusable after it had admitted the prompt.
var errNotUsable = errors.New("the engine became unusable")

// admissionWalk is the search of one prompt for an engine that admits it.
type admissionWalk struct {
	manager *Manager
	request PickRequest
	admit   AdmitFunc
	startMs clock.Millis
	record  Admission
	// asked are the engines asked in this round that have not admitted the prompt.
	asked []*askedEngine
}

// askedEngine is an engine that has not admitted the prompt.
type askedEngine struct {
	lease  *Lease
	ask    admission.Ask
	reply  admission.Reply
	record int
	// doubtful is set if no owner that has counted for long enough answered. startInMs is then this box's estimate, and
	// otherwise the owner's.
	doubtful  bool
	startInMs clock.Millis
	// onProbation is set if the engine gets only single trial requests, which don't wait.
	onProbation bool
}

// round asks engines until one admits the prompt. If none does, it waits at the one that can start it first.
func (w *admissionWalk) round(ctx context.Context) (*Lease, error) {
	w.asked, w.request.Full = nil, nil
	defer w.releaseDoubtful()
	for len(w.asked) < maxAdmissionAsks {
		engine, err := w.choose()
		if err != nil && len(w.asked) == 0 {
			return nil, err
		}
		if err != nil || slices.Contains(w.request.Full, engine.lease.ID) {
			break
		}
		if ctx.Err() != nil {
			return nil, w.overloaded()
		}
		w.ask(ctx, engine)
		if w.accepts(engine) {
			return w.commit(ctx, engine)
		}
		w.asked = append(w.asked, engine)
		if w.waitsForHolder(engine) {
			break
		}
		w.request.Full = append(w.request.Full, engine.lease.ID)
	}
	return w.wait(ctx)
}

// minMovedTokens is the number of tokens that another engine would have to prefill in addition for a prompt to wait at
// the engine that caches them. Fewer take less time than the question to another owner saves.
const minMovedTokens = 1000

// waitsForHolder reports whether the prompt waits at the engine that was asked first and caches its shared parts,
// instead of being prefilled elsewhere: in an overload, sessions that move make engines prefill the same parts again,
// which takes capacity from other prompts.
func (w *admissionWalk) waitsForHolder(e *askedEngine) bool {
	cached := w.request.Admission.Demand.PromptTokens - e.ask.PrefillTokens
	return len(w.asked) == 1 && e.lease.Rank == 0 && !e.doubtful && !e.onProbation &&
		cached >= minMovedTokens && e.startInMs > 0 && e.startInMs+e.startInMs/holderMargin <= e.ask.InTimeMs
}

// holderMargin is the inverse of the margin by which a prompt must be expected in time to wait where it is cached.
const holderMargin = 4

// wait has the prompt wait at the owner that would start it first. It returns an OverloadedError if none would start it
// in time: a prompt that waits although it will be late is mostly refused later, when its caller has no time left.
func (w *admissionWalk) wait(ctx context.Context) (*Lease, error) {
	if !slices.ContainsFunc(w.asked, func(e *askedEngine) bool { return !e.doubtful }) {
		// Nothing is known of the engines, so that the prompt is sent to the least loaded one instead of being refused.
		return w.commit(ctx, w.first(func(*askedEngine) bool { return true }))
	}
	queue := w.first(func(e *askedEngine) bool {
		return !e.doubtful && !e.onProbation && e.startInMs <= e.ask.InTimeMs
	})
	if queue != nil {
		// After so many refusals the load bound no longer counts, as for permits: an engine with capacity is better than
		// a refusal.
		queue.ask.MayQueue, queue.ask.Bound = true, 0
		sinceMs := w.manager.monotonic()
		w.ask(ctx, queue)
		w.record.WaitedMs += w.manager.monotonic() - sinceMs
		if w.accepts(queue) {
			return w.commit(ctx, queue)
		}
	}
	// Of an engine that could start the prompt in time, only an estimated load above the bound is known.
	idle := w.first(func(e *askedEngine) bool { return e.doubtful && e.startInMs <= e.ask.InTimeMs })
	if idle != nil {
		return w.commit(ctx, idle)
	}
	return nil, w.overloaded()
}

// first returns the matching engine that would start the prompt first, the least loaded one of several, or nil.
func (w *admissionWalk) first(matches func(e *askedEngine) bool) *askedEngine {
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
	engine := &askedEngine{lease: lease, ask: m.askFor(lease, w.request), onProbation: lease.probation}
	engine.ask.Force = w.request.Admission.Force || lease.stalledTrial
	return engine, nil
}

// ask asks the owner of an engine, with the time that is left now.
func (w *admissionWalk) ask(ctx context.Context, e *askedEngine) {
	m := w.manager
	elapsed := m.monotonic() - w.startMs
	e.ask.InTimeMs = w.request.ObjectiveMs - w.request.ElapsedMs - elapsed
	e.ask.PatienceMs = patienceMs(w.request.Admission.PatienceMs - elapsed)
	e.reply = w.admit(ctx, e.lease, e.ask)
	e.doubtful = e.reply.Unknown || e.reply.Answer.Verdict == admission.Granted && e.reply.Answer.Provisional
	e.startInMs = e.reply.Answer.StartInMs
	if e.doubtful {
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

// refusalMs is the time that is left for a refusal to reach its caller after a wait. It covers a round trip.
const refusalMs clock.Millis = 100

// patienceMs returns how long a prompt may wait if its caller gives up after a time.
func patienceMs(remaining clock.Millis) clock.Millis { return max(remaining-refusalMs, remaining/2) }

// accepts reports whether the prompt may be sent to an engine after its owner's reply.
func (*admissionWalk) accepts(e *askedEngine) bool {
	switch {
	case e.ask.Force:
		return true
	case e.doubtful:
		withinBound := e.lease.bound == 0 || !e.lease.exceedsOwnBound(e.lease.bound)
		return withinBound && e.startInMs <= e.ask.InTimeMs
	default:
		return e.reply.Answer.Verdict == admission.Granted
	}
}

// commit counts the request at an engine that admitted it, if the engine is still a candidate and the caller still
// waits. Otherwise it returns the permit.
func (w *admissionWalk) commit(ctx context.Context, e *askedEngine) (*Lease, error) {
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
	return l, nil
}

// releaseDoubtful returns the permits that owners may have counted for engines to which the prompt was not sent.
func (w *admissionWalk) releaseDoubtful() {
	for _, e := range w.asked {
		if e.doubtful && e.reply.Release != nil {
			e.reply.Release(false)
		}
	}
}

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
