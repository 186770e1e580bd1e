package balance

import (
	"fmt"
	"slices"
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
