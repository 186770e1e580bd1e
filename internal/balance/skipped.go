package balance

import (
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// Skipped is the engine that ranks first for a session but was not chosen, and the reason.
type Skipped struct {
	// Upstream is the engine's ID, or "" if the first engine was chosen.
	Upstream string
	Reason   SkipReason
}

// SkipReason is the reason for which an engine was skipped.
type SkipReason string

// Reasons for skipping an engine.
const (
	// SkipTried means that the request was sent there before.
	SkipTried SkipReason = "tried before"
	// SkipVersion means that the engine runs another software version than the one that began the stream.
	SkipVersion SkipReason = "another software version"
	// SkipDraining means that the engine is draining.
	SkipDraining SkipReason = "leaving"
	// SkipEvacuated means that its failure domain is evacuated.
	SkipEvacuated SkipReason = "failure domain evacuated"
	// SkipBackoff means that the engine asked this box to back off.
	SkipBackoff SkipReason = "at rest"
	// SkipCold means that the engine is cold and this box has used up its share of the rate that the
	// engine bears.
	SkipCold SkipReason = "cold"
	// SkipEjected means that the engine failed, and is ejected or receives only single trial
	// requests.
	SkipEjected SkipReason = "ejected"
	// SkipDomainUnreachable means that the path to its failure domain is partitioned.
	SkipDomainUnreachable SkipReason = "failure domain unreachable"
	// SkipStalled means that the engine accepts connections and does not respond.
	SkipStalled SkipReason = "stalled"
	// SkipSpread means that the session is spread over several engines and another one of them was
	// chosen.
	SkipSpread SkipReason = "one of several for a popular session"
	// SkipSlow means that the engine is slow at this moment.
	SkipSlow SkipReason = "slow"
	// SkipOverloaded means that the engine has reached its load bound.
	SkipOverloaded SkipReason = "over the load bound"
)

// skippedEngine returns the engine that ranks first for the session in the whole pool, unless it
// was chosen.
func (m *Manager) skippedEngine(lease *Lease, request PickRequest, now clock.Millis) Skipped {
	first := rank(request.Prompt.Session(), m.pools[request.Pool])[0]
	if first == lease.Member {
		return Skipped{}
	}
	reason := m.skipReason(first, request, now)
	if reason == SkipOverloaded && lease.Spread > 1 {
		reason = SkipSpread
	}
	return Skipped{Upstream: first.ID, Reason: reason}
}

func (m *Manager) skipReason(member *Member, request PickRequest, now clock.Millis) SkipReason {
	switch {
	case slices.Contains(request.Tried, member.ID):
		return SkipTried
	case request.Version != nil && member.SoftwareVersion != *request.Version:
		return SkipVersion
	case member.draining():
		return SkipDraining
	case member.evacuated:
		return SkipEvacuated
	case member.signals.backingOff(now):
		return SkipBackoff
	case m.pathTo(member.FailureDomain).partitioned:
		return SkipDomainUnreachable
	case m.coldDelayMs(member, now) > 0:
		return SkipCold
	case member.silence.stalled:
		return SkipStalled
	case !member.acceptsRequest(now):
		return SkipEjected
	case m.paces.used && member.pace.Slow(now):
		return SkipSlow
	default:
		return SkipOverloaded
	}
}
