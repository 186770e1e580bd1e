package balance

import (
	"cmp"
	"fmt"
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/upstream"
)

// ErrPartitioned means that this box can't reach the upstreams of the pool. Other boxes may reach them. It
// wraps ErrNoUpstream.
var ErrPartitioned = fmt.Errorf("%w: none can be reached from this box", ErrNoUpstream)

const (
	// failedDialTTLMs is how long a failed dial is a reason to check the other upstreams of the pool.
	failedDialTTLMs clock.Millis = 1500
	// openedDialTTLMs is how long an opened connection is a reason not to check its upstream.
	openedDialTTLMs clock.Millis = 1000
	// maxMemberSilenceMs is how long an upstream may be silent while requests are in flight there before it is
	// dialed. Most requests to a plain service and most prefills take less.
	maxMemberSilenceMs clock.Millis = 400
	// maxReachabilityProbes is how many upstreams of a pool are dialed at once to learn whether the pool can be
	// reached.
	maxReachabilityProbes = 8
)

// failing reports whether the latest dial to a member has failed, or would fail because the path to it is
// known to be partitioned.
func (m *Manager) failing(member *Member) bool {
	return m.pathTo(member.FailureDomain).partitioned || member.dialFailing()
}

// dialFailing reports whether the latest dial to an upstream has failed and nothing was received from it since. An
// upstream that has as many connections as it accepts resets new ones and responds on the others.
func (m *Member) dialFailing() bool {
	dials := m.client.Dials()
	return dials.Failing() && clock.Millis(m.lastResponseMs.Load()) <= dials.FailedMs
}

// unreachable reports whether this box can't reach any of the members that take requests. That is so
// during a partition, while their pool is stalled, or when all of them have crashed. Connections from before may still
// work, but have been idle since: a partition may refuse only new ones.
func (m *Manager) unreachable(members []*Member, now clock.Millis) bool {
	available := 0
	for _, member := range members {
		if member.unavailable(now) {
			continue
		}
		if _, stalled := m.stalledSinceMs[member.Pool]; !stalled && !m.failing(member) {
			return false
		}
		available++
	}
	return available > 0
}

// Unreachable returns the names of the pools whose upstreams this box can't reach, in order.
func (m *Manager) Unreachable() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	pools := []string{}
	for pool, members := range m.pools {
		if m.unreachable(members, now) {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// UnreachableKeys returns the keys of the pools whose upstreams this box can't reach.
func (m *Manager) UnreachableKeys() []namekey.Key {
	keys := []namekey.Key{}
	for _, pool := range m.Unreachable() {
		keys = append(keys, namekey.Of(pool))
	}
	return keys
}

// ReachabilityProbes returns upstreams to dial:
//
//   - Of pools that this box can't reach or of which the latest dials to at least half of the upstreams failed. So the
//     box soon knows all upstreams of a partition, and notices its end although it sends nothing there.
//   - Upstreams that send nothing while requests are in flight there, and those that did not respond to such a
//     dial. They get no new requests until one opens. Requests in flight stay, since a sound upstream may be silent
//     for a while.
func (m *Manager) ReachabilityProbes() []*upstream.Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	targets := []*upstream.Client{}
	for _, members := range m.pools {
		if m.unreachable(members, now) || m.mostlyFailing(members, now) {
			targets = append(targets, m.reachabilityTargets(members, now)...)
			continue
		}
		for _, member := range members {
			if (member.unresponsive() || member.silent(now)) && member.probeDue(now) {
				targets = append(targets, member.client)
			}
		}
	}
	return targets
}

// probeDue reports whether an upstream may be dialed again, and if so records that it is.
func (m *Member) probeDue(now clock.Millis) bool {
	if now-m.probedMs < probeIntervalMs {
		return false
	}
	m.probedMs = now
	return true
}

// silent reports whether an upstream has sent nothing for maxMemberSilenceMs while requests of this box were in flight,
// and was not dialed recently.
func (m *Member) silent(now clock.Millis) bool {
	lastMs := max(m.inFlightSinceMs, clock.Millis(m.lastResponseMs.Load()))
	return m.inFlight > 0 && now-lastMs > maxMemberSilenceMs && !openedWithin(m.client.Dials(), now)
}

// unresponsive reports whether the host of an upstream did not respond to the latest dial, nor sent anything since.
func (m *Member) unresponsive() bool { return m.dialFailing() && m.client.Dials().Unresponsive }

// mostlyFailing reports whether dials to at least half of the members have failed recently.
func (m *Manager) mostlyFailing(members []*Member, now clock.Millis) bool {
	available, failed := 0, 0
	for _, member := range members {
		if member.unavailable(now) {
			continue
		}
		available++
		if member.dialFailing() && now-member.client.Dials().FailedMs < failedDialTTLMs {
			failed++
		}
	}
	return failed > 0 && 2*failed >= available
}

// openedWithin reports whether the latest dial opened a connection less than openedDialTTLMs ago.
func openedWithin(dials upstream.Dials, now clock.Millis) bool {
	return !dials.Failing() && dials.OpenedMs > 0 && now-dials.OpenedMs < openedDialTTLMs
}

// reachabilityTargets selects the members that were not dialed for the longest time. It leaves out those
// behind a partitioned path, which is probed as a whole.
func (m *Manager) reachabilityTargets(members []*Member, now clock.Millis) []*upstream.Client {
	type candidate struct {
		member   *Member
		dialedMs clock.Millis
	}
	candidates := []candidate{}
	for _, member := range members {
		dials := member.client.Dials()
		if member.unavailable(now) || openedWithin(dials, now) || m.pathTo(member.FailureDomain).partitioned {
			continue
		}
		candidates = append(candidates, candidate{member: member, dialedMs: max(dials.OpenedMs, dials.FailedMs)})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.dialedMs, b.dialedMs) })
	targets := []*upstream.Client{}
	for _, c := range candidates[:min(maxReachabilityProbes, len(candidates))] {
		if c.member.probeDue(now) {
			targets = append(targets, c.member.client)
		}
	}
	return targets
}
