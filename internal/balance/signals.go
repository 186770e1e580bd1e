package balance

import (
	"errors"
	"fmt"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/registry"
)

// Errors of the check right before a request is sent.
var (
	// ErrBackingOff means that the upstream asked this box to back off.
	ErrBackingOff = errors.New("the upstream asked this box to back off")
	// ErrDraining means that the upstream has announced that it will shut down.
	ErrDraining = errors.New("the upstream is draining")
	// ErrEvacuated means that operators have evacuated the upstream's failure domain.
	ErrEvacuated = errors.New("the upstream's failure domain is evacuated")
)

// AllBackingOffError means that upstreams would accept the request, but all of them are backing off. It
// wraps ErrNoUpstream.
type AllBackingOffError struct {
	// Upstreams is the number of upstreams that are backing off.
	Upstreams int
	// NextUpstream is the upstream whose backoff ends first, in RetryInMs. It asked for the backoff when
	// it refused the request RefusedRequest.
	NextUpstream   string
	RetryInMs      clock.Millis
	RefusedRequest string
}

// Error implements error.
func (e *AllBackingOffError) Error() string {
	return fmt.Sprintf("%v: %d upstreams are backing off; %s is first, in %d ms, as asked in the refusal of request %s",
		ErrNoUpstream, e.Upstreams, e.NextUpstream, e.RetryInMs, e.RefusedRequest)
}

// Unwrap returns ErrNoUpstream.
func (*AllBackingOffError) Unwrap() error { return ErrNoUpstream }

// upstreamSignals are the backoff and draining signals that an upstream sent to this box in its
// responses. They belong to its incarnation: changes of its registry entry, its health and its load
// don't affect them.
//
// A signal applies to the box that received it and is not shared with others. An upstream that
// wants all boxes to back off signals each of them.
type upstreamSignals struct {
	incarnation    string
	backoffUntilMs clock.Millis
	// refusedRequest is the request that the upstream refused when it asked for the backoff.
	refusedRequest    string
	announcedDraining bool
	// backoffSetMs is when the upstream last asked for a backoff.
	backoffSetMs clock.Millis
	// successorUntilMs is the end of the longest backoff that was requested after a connection broke
	// or could not be opened, and that may have come from the server's next incarnation.
	successorUntilMs clock.Millis
	// departedMs is when the upstream's entry disappeared.
	departedMs clock.Millis
}

// signalsTTLMs is how long a box keeps the signals of an upstream after its entry disappeared.
// Signals in responses that arrive later are also kept only until then, but a backoff that lasts
// longer is kept until it ends. The time is many times the duration of an upstream's shutdown or of
// a store outage.
const signalsTTLMs = 10 * 60 * clock.Second

func (s *upstreamSignals) backingOff(now clock.Millis) bool { return now < s.backoffUntilMs }

// expired reports whether the signals of an upstream without an entry no longer apply.
func (s *upstreamSignals) expired(now clock.Millis) bool {
	return !s.backingOff(now) && now-s.departedMs > signalsTTLMs
}

// draining reports whether the upstream is draining, according to its entry or its
// responses, whichever says so first.
func (m *Member) draining() bool { return m.drainingEntry || m.signals.announcedDraining }

// unavailable reports whether the upstream accepts no new requests from this box.
func (m *Member) unavailable(now clock.Millis) bool {
	return m.draining() || m.evacuated || m.signals.backingOff(now)
}

// BackOff records that the upstream refused a request and asked this box to back off for a duration.
// It reports whether the upstream was not backing off before. If several backoffs overlap, the one
// that ends last applies. After the backoff the upstream receives single trial requests, as after an
// ejection, until it answers one: if all waiting requests were sent at once, they would overload it
// again. Only if nearly all of its pool is on probation (Settings.PanicPercent), it receives all.
func (l *Lease) BackOff(duration clock.Millis, request string) bool {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	now := l.manager.monotonic()
	changed := !l.signals.backingOff(now)
	l.backOff(now, now+duration, request)
	if successor := l.manager.byID[l.ID]; successor != nil && successor != l.Member {
		// The restart was noticed while the response was on its way, so that either incarnation may have sent it.
		successor.backOff(now, now+duration, request)
	}
	return changed
}

// backOff records a backoff until a time, requested now.
func (m *Member) backOff(now, until clock.Millis, request string) {
	m.signals.backoffSetMs = now
	if until > m.signals.backoffUntilMs {
		m.signals.backoffUntilMs, m.signals.refusedRequest = until, request
	}
	if m.connectionLost {
		m.signals.successorUntilMs = max(m.signals.successorUntilMs, until)
	}
	m.probation = true
}

// MarkDraining records that the upstream announced that it is draining, and reports whether that
// was not known before.
func (l *Lease) MarkDraining() bool {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	changed := !l.draining()
	l.signals.announcedDraining = true
	return changed
}

// IsDraining reports whether the upstream is known to be draining.
func (l *Lease) IsDraining() bool {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	return l.draining()
}

// CheckBeforeSend returns an error if the request must not be sent once its connection is open: the
// upstream may have asked for a backoff, or announced that it is draining, since it was picked. Otherwise it counts the
// request as sent. If a backoff has begun and ended since, the request is sent only as a trial request.
func (l *Lease) CheckBeforeSend() error {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	now := l.manager.monotonic()
	afterBackoff := l.countedMs < l.signals.backoffUntilMs
	switch {
	case l.draining():
		return ErrDraining
	case l.evacuated && !l.mayUseReserve():
		return ErrEvacuated
	case l.signals.backingOff(now), afterBackoff && !l.trialDue(now):
		return ErrBackingOff
	case afterBackoff:
		l.recordTrial(now)
	}
	l.recordSent(now)
	return nil
}

// BackingOff returns the number of upstreams that are backing off, by pool. Zeros are omitted.
func (m *Manager) BackingOff() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, counts := m.monotonic(), map[string]int{}
	for _, member := range m.byID {
		if member.signals.backingOff(now) {
			counts[member.Pool]++
		}
	}
	return counts
}

// signalsFor returns the signals of an upstream that is new to the list. The parameter previous holds
// the known signals of its server, or nil. An incarnation whose entry was gone for a while keeps its
// signals.
//
// A backoff that is attributed to the previous incarnation may have been requested by the next one, if
// it was received after connections to the previous one broke or were refused, or shortly before the
// restart was noticed. A backoff whose incarnation is uncertain is therefore kept. If it was the
// previous one's, the box does without the upstream's capacity for some seconds.
func (m *Manager) signalsFor(u registry.Upstream, previous *upstreamSignals) *upstreamSignals {
	if stored := m.departedSignals[u.ID]; stored != nil {
		delete(m.departedSignals, u.ID)
		previous = stored
	}
	switch {
	case previous == nil:
		return &upstreamSignals{incarnation: u.Incarnation()}
	case previous.incarnation == u.Incarnation():
		return previous
	default:
		until := m.successorBackoffUntil(previous)
		return &upstreamSignals{
			incarnation: u.Incarnation(), backoffUntilMs: until, refusedRequest: previous.refusedRequest,
			backoffSetMs: previous.backoffSetMs, successorUntilMs: until,
		}
	}
}

// maxRestartLagMs is the usual maximum time until boxes notice the restart of a server. It is twice
// the sum of a heartbeat interval and a poll of the store.
const maxRestartLagMs = 3 * clock.Second

// successorBackoffUntil returns the end of the backoff that the next incarnation inherits from a
// previous one.
func (m *Manager) successorBackoffUntil(previous *upstreamSignals) clock.Millis {
	if m.monotonic()-previous.backoffSetMs <= maxRestartLagMs {
		return previous.backoffUntilMs
	}
	return previous.successorUntilMs
}

// storeSignals keeps the signals of an upstream whose entry is gone: entries expire while the store
// that holds them is unavailable, and reappear later.
func (m *Manager) storeSignals(member *Member) {
	member.signals.departedMs = m.monotonic()
	m.departedSignals[member.ID] = member.signals
}

// noUpstreamError returns the reason for which none of the eligible members accepts a request.
func (m *Manager) noUpstreamError(eligible []*Member, now clock.Millis) error {
	e, evacuated, cold, rejected, others, partitioned := &AllBackingOffError{}, 0, 0, 0, 0, false
	for _, member := range eligible {
		switch {
		case member.draining():
			continue
		case member.evacuated:
			evacuated++
			continue
		case !member.signals.backingOff(now) && m.coldDelayMs(member, now) > 0:
			cold++
			continue
		case !member.signals.backingOff(now) && now < member.rejectedUntilMs:
			rejected++
			continue
		case !member.signals.backingOff(now):
			others++
			partitioned = partitioned || m.failing(member)
			continue
		}
		e.Upstreams++
		if remaining := member.signals.backoffUntilMs - now; e.Upstreams == 1 || remaining < e.RetryInMs {
			e.NextUpstream, e.RetryInMs, e.RefusedRequest = member.ID, remaining, member.signals.refusedRequest
		}
	}
	switch {
	case partitioned:
		return ErrPartitioned
	case e.Upstreams > 0:
		return e
	case cold > 0 && others == 0:
		return ErrAllCold
	case rejected > 0 && others == 0:
		return ErrAllFull
	case evacuated > 0 && others == 0:
		return ErrAllEvacuated
	default:
		return ErrNoUpstream
	}
}
