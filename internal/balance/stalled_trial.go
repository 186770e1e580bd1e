package balance

import "dooryard.example/dooryard/internal/clock"

// stalledTrialIntervalMs is the time from the start of a stall until the first trial request, and between two of them.
const stalledTrialIntervalMs = 2 * clock.Second

// stalledTrial is a request that is sent to a stalled pool without health checks to learn whether it responds again. Of
// all requests that arrive meanwhile one pays for it, and other boxes serve the others.
type stalledTrial struct {
	allowedMs clock.Millis
	sent      bool
}

// AllowStalledTrial lets one request go to a stalled pool that has no health checks, if a trial is due.
func (m *Manager) AllowStalledTrial(pool string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, last := m.monotonic(), m.stalledSinceMs[pool]
	if t, found := m.stalledTrials[pool]; found && t.allowedMs > last {
		if !t.sent {
			return
		}
		last = t.allowedMs
	}
	if now-last >= stalledTrialIntervalMs {
		m.stalledTrials[pool] = &stalledTrial{allowedMs: now}
	}
}

// takeStalledTrial reports whether the request is the trial request of its pool. One that can be retried elsewhere if
// there is no response is preferred for another interval.
func (m *Manager) takeStalledTrial(request PickRequest, eligible []*Member, now clock.Millis) bool {
	t := m.stalledTrials[request.Pool]
	if _, stalled := m.stalledSinceMs[request.Pool]; !stalled || t == nil || t.sent {
		return false
	}
	if !request.MayRetry && now-t.allowedMs < stalledTrialIntervalMs || m.allFailing(eligible, now) {
		return false
	}
	t.sent = true
	return true
}

// allFailing reports whether no connection can be opened to any of the members that take requests.
func (m *Manager) allFailing(members []*Member, now clock.Millis) bool {
	for _, member := range members {
		if !member.unavailable(now) && !m.failing(member) {
			return false
		}
	}
	return true
}
