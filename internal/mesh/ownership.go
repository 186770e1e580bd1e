package mesh

import (
	"slices"

	"dooryard.example/dooryard/internal/namekey"
)

// When a box starts, dies or is silent for some time, upstreams get other owners. Boxes learn of it at different times,
// up to seconds apart, and ask different owners meanwhile, each of which counts a part of the requests. The count of an
// owner is therefore incomplete from the time at which its own view changes, or at which it is asked although another
// box is the owner in its view. Boxes then also go by their own estimates of the load.

// ownerView is the list of owners of this box's failure domain when it last decided on a request.
type ownerView struct{ list []hashedIdentity }

// checkOwnership makes counts incomplete that this box doesn't keep alone. It is called before each decision.
func (m *Mesh) checkOwnership(upstream namekey.Key) {
	m.mu.Lock()
	list, before := m.ownersLocked(m.self.FailureDomain), m.ownerView.list
	m.ownerView.list = list
	m.mu.Unlock()
	if before != nil && !slices.Equal(list, before) {
		m.unsettle(func(key namekey.Key) bool { return !m.owns(before, key) || !m.owns(list, key) })
	}
	if !m.owns(list, upstream) {
		m.unsettle(func(key namekey.Key) bool { return key == upstream })
	}
}

// owns reports whether this box is the owner of an upstream among a list of boxes.
func (m *Mesh) owns(list []hashedIdentity, upstream namekey.Key) bool {
	owner, _ := firstOwner(list, upstream, m.self.FailureDomain)
	return owner.Box == m.self.Box
}

func (m *Mesh) unsettle(isIncomplete func(upstream namekey.Key) bool) {
	m.ledger.Unsettle(isIncomplete)
	m.admissionOwner.unsettle(isIncomplete)
}
