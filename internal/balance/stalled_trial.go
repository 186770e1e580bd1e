package balance

import "dooryard.example/dooryard/internal/clock"

// stalledTrialIntervalMs is the time from the start of a stall until the first trial request, and between two of them.
// Each trial request may get no response, and a longer interval would delay the return to the box's own upstreams.
const stalledTrialIntervalMs = 2 * clock.Second

// stalledTrial is a request that is sent to a stalled pool without health checks to find out whether it responds again.
// Other boxes serve the requests that arrive in the meantime, so only one is delayed if the pool is still stalled.
type stalledTrial struct {
	// allowedMs is when a trial was allowed, and sent is set once a request has been sent as the trial.
	allowedMs clock.Millis
	sent      bool
}

// AllowStalledTrial allows one request to go to a stalled pool that has no health checks, if a trial is due.
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

// takeStalledTrial reports whether the request is the trial request of its pool, and records it as sent. For one more
// interval, only a request that can be retried elsewhere is taken, so that its caller is served in any case.
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
