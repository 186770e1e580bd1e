package balance

import (
	"fmt"
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// ErrVersionGone means that a stream can't go on because all upstreams of the pool that run its software version
// are gone or draining. It wraps ErrNoUpstream.
var ErrVersionGone = fmt.Errorf("%w: none runs the software version that began the stream", ErrNoUpstream)

// members returns the members of the pool, or those that run the software version of a stream that goes on.
func (m *Manager) members(request PickRequest) []*Member {
	all := m.pools[request.Pool]
	if request.Version == nil {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(member *Member) bool {
		return member.SoftwareVersion != *request.Version
	})
}

// versionGone reports whether the request is for a software version that no upstream runs which is not draining.
func versionGone(request PickRequest, members []*Member) bool {
	serves := func(member *Member) bool { return !member.draining() }
	return request.Version != nil && !slices.ContainsFunc(members, serves)
}

// versionDoubtMs is how long after an upstream responds again its entry may be outdated, if it has restarted under its
// ID at another version: until it has written the entry and boxes have read it.
const versionDoubtMs = 3 * clock.Second

// RecordCrash records that an incarnation of an upstream crashed. Another one may run under the same entry from then
// on.
func (m *Manager) RecordCrash(upstream namekey.Key, at clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if member := m.byKey[upstream]; member != nil {
		member.crashedMs = max(member.crashedMs, at)
	}
}

// lastFailureMs returns when the host of the upstream last refused a connection or a box found the upstream to have
// crashed, or 0.
func (m *Member) lastFailureMs() clock.Millis { return max(m.client.Dials().FailedMs, m.crashedMs) }

// versionDoubtful reports whether the upstream may run another version than its entry tells: it has failed, so it may
// have restarted, and the entry was not confirmed since it responds again; or this box has just started, so it has not
// seen whether the upstream failed.
func (m *Manager) versionDoubtful(member *Member) bool {
	if member.keepsID() && (m.firstConfirmedMs == 0 || m.confirmedMs < m.firstConfirmedMs+versionDoubtMs) {
		return true
	}
	failedMs := member.lastFailureMs()
	if failedMs == 0 {
		return false
	}
	return member.respondedAfterMs < failedMs || m.confirmedMs < member.respondedMs+versionDoubtMs
}

// keepsID reports whether the upstream may restart under its ID. Only then it needs a start time.
func (m *Member) keepsID() bool { return m.StartedMs > 0 }

// recordRespondedAgain records the first response of an upstream after it failed.
func (m *Manager) recordRespondedAgain(member *Member) {
	if failedMs := member.lastFailureMs(); failedMs > member.respondedAfterMs {
		member.respondedAfterMs, member.respondedMs = failedMs, m.monotonic()
	}
}

// VersionDoubtful reports whether the upstream may run another version than its entry tells.
func (l *Lease) VersionDoubtful() bool {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	return l.manager.versionDoubtful(l.Member)
}

// RecordStart records the start time that the process of the upstream tells, and reports whether it is the one of its
// entry. Another one may run another version.
func (l *Lease) RecordStart(startedMs clock.Millis) (matches bool) {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	if startedMs == l.StartedMs {
		return true
	}
	l.crashedMs = l.manager.monotonic()
	return false
}

// MayKeepID reports whether the upstream may restart under its ID.
func (l *Lease) MayKeepID() bool { return l.keepsID() }

// SetConfirmed sets when the entries of the upstreams were last known to be the newest.
func (m *Manager) SetConfirmed(atMs clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmedMs = atMs
	if m.firstConfirmedMs == 0 {
		m.firstConfirmedMs = atMs
	}
}

// certain returns the members whose version is not doubtful.
func (m *Manager) certain(members []*Member) []*Member {
	return slices.DeleteFunc(slices.Clone(members), m.versionDoubtful)
}

// lessDoubtful returns the members of which no connection to this box has broken, or all if there are none. One that
// broke may have restarted at another version, which its entry does not tell yet.
func lessDoubtful(members []*Member) []*Member {
	sound := slices.DeleteFunc(slices.Clone(members), func(member *Member) bool {
		return member.connectionLost || member.streamBroken
	})
	if len(sound) == 0 {
		return members
	}
	return sound
}

// RecordBrokenStream records that a stream from the upstream broke.
func (l *Lease) RecordBrokenStream() {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.streamBroken = true
}
