package balance

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/upstream"
)

// A single upstream may be stalled, too: it accepts connections and nothing comes back, while others of its pool
// respond. A health check shows whether it is only slow. Without one, each request that can't be retried would wait
// there until its deadline.

const (
	// minAnsweredByOthers is how many attempts at the other upstreams of the pool must have got a response since the
	// upstream is silent, and minAnsweredPercent is their share.
	minAnsweredByOthers = 5
	minAnsweredPercent  = 80
	// memberCheckIntervalMs is the time between the first two health checks of an upstream. It doubles with each one
	// that gets no response, at most maxMemberCheckDoublings times, since many boxes may check the upstream.
	memberCheckIntervalMs   clock.Millis = 250
	maxMemberCheckDoublings int          = 4
)

// memberSilence is what a box knows about an upstream that doesn't respond.
type memberSilence struct {
	// unanswered is the number of attempts since the last response. The first one began at sinceMs.
	unanswered int
	sinceMs    clock.Millis
	// stalled is set while the upstream gets no new requests because it did not respond to a health check either.
	stalled bool
	// failedChecks is the number of such health checks. The latest one began at checkedMs.
	failedChecks int
	checkedMs    clock.Millis
}

func (s *memberSilence) recordSent(now clock.Millis) {
	if s.unanswered == 0 {
		s.sinceMs = now
	}
	s.unanswered++
}

// recordAnswer records a response. A stalled upstream is checked soon, since the response may be a late one.
func (s *memberSilence) recordAnswer() {
	if s.stalled {
		s.failedChecks = 0
		return
	}
	*s = memberSilence{}
}

// checkDue reports whether another health check may be sent.
func (s *memberSilence) checkDue(now clock.Millis) bool {
	return now-s.checkedMs >= memberCheckIntervalMs<<min(s.failedChecks, maxMemberCheckDoublings)
}

// SilentMember is an upstream that is due for a health check.
type SilentMember struct {
	ID, Pool string
	Client   *upstream.Client
	// Unanswered is the number of attempts that got no response, the first one SinceMs ago.
	Unanswered int
	SinceMs    clock.Millis
	member     *Member
}

// SilentMembers returns the upstreams that are due for a health check, and records that they are checked.
func (m *Manager) SilentMembers() []SilentMember {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	list := []SilentMember{}
	for _, member := range m.byID {
		s := &member.silence
		if !s.stalled && !m.silentAlone(member, now) || !s.checkDue(now) || member.unavailable(now) {
			continue
		}
		s.checkedMs = now
		list = append(list, SilentMember{
			ID: member.ID, Pool: member.Pool, Client: member.client, Unanswered: s.unanswered, SinceMs: now - s.sinceMs,
			member: member,
		})
	}
	return list
}

// silentAlone reports whether an upstream has not responded for a while, although the others of its pool do.
func (m *Manager) silentAlone(member *Member, now clock.Millis) bool {
	s := &member.silence
	// Few attempts are sent to an upstream that an overdue request has shown to be slow.
	overdue := s.unanswered > 0 && member.overdueMs > s.sinceMs
	if s.unanswered < minSilentAttempts && !overdue || now-s.sinceMs < maxUpstreamSilenceMs {
		return false
	}
	sum := m.attemptsOf(member.Pool).between(s.sinceMs, now-maxUpstreamSilenceMs)
	others := sum.started - s.unanswered
	return sum.answered >= minAnsweredByOthers && percent*sum.answered >= minAnsweredPercent*others
}

// RecordHealthCheck records the outcome of a health check, and reports whether this changes if the upstream gets new
// requests.
func (m *Manager) RecordHealthCheck(checked SilentMember, responded bool) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &checked.member.silence
	changed = s.stalled == responded
	if responded {
		*s = memberSilence{}
		return changed
	}
	s.stalled = true
	s.failedChecks++
	return changed
}
