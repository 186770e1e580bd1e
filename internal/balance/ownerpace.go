package balance

import (
	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/pace"
)

// In a fleet of more than 32 boxes, boxes don't tell each other of slow upstreams. The owner of an engine learns its
// pace from the asks of all boxes and from the times of its prompts, and its answers contain it. A prompt that was
// granted such an engine asks others once (turnedSlow): a box rarely sends two prompts to an engine within a hold, so
// that the finding would otherwise come too late.

// paceFromOwner is the source of paces that owners tell.
const paceFromOwner = "owner"

// ownerPaceAgeMs is the age up to which an owner tells a pace. What it tells counts from that age on, so that the hold
// ends no later than for the box that found the upstream slow, and newer reports of this box count more.
const ownerPaceAgeMs clock.Millis = 300

// ownerPace is what an owner has told of the pace of an engine.
type ownerPace struct {
	// fromMs and untilMs are the begin and the end of the hold of the newest pace that the owner told.
	fromMs, untilMs clock.Millis
}

// recordOwnerPace records the pace of an engine in its owner's answer as a finding of another box, if paces are learned
// or reported.
func (m *Manager) recordOwnerPace(member *Member, reply admission.Reply) {
	percent := reply.Answer.SlowPercent
	if reply.Unknown || percent <= pace.SlowPercent || !m.paces.learning.Load() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	fromMs := m.monotonic() - ownerPaceAgeMs
	m.paces.used = true
	if member.pace.Hear(percent, 0, fromMs) {
		m.recordPaceChange(member, percent, paceFromOwner)
	}
	member.ownerPace = ownerPace{fromMs: fromMs, untilMs: fromMs + member.pace.HoldMs()}
}

// paceForOwner returns the pace of an engine to tell its owner, or 0 if nothing recent is known of it. What an owner
// told is not told back: owner and boxes would otherwise keep a finding alive by telling it to each other.
func (m *Member) paceForOwner(now clock.Millis) int {
	percent, heard := m.heldPace(now), m.ownerPace
	if percent > pace.SlowPercent && now < heard.untilMs && m.foundSlowMs <= heard.fromMs {
		return 0
	}
	return percent
}
