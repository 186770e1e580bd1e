package mesh

import (
	"github.com/fxamacker/cbor/v2"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/pace"
)

// paceTell tells other boxes at once that an upstream was found slow. A slow spell is about as long as the boxes of a
// small fleet take to hear of it by pings. Boxes of earlier releases ignore it.
const paceTell originMessageKind = 22

// paceTold is a message of the kind paceTell.
type paceTold struct {
	_       struct{} `cbor:",toarray"`
	Kind    originMessageKind
	Finding pace.Finding
}

// Bounds of the rate at which a box tells findings at once; the others follow with pings. In a fleet of 32 boxes, a
// finding takes 31 datagrams of 15 bytes.
const (
	maxPaceTells = 5
	paceTellsMs  = clock.Second
)

// paceTells counts the findings told in a span of time.
type paceTells struct {
	sinceMs clock.Millis
	count   int
}

// TellPace tells the other boxes of a fleet of up to 32 that this box found an upstream slow.
func (m *Mesh) TellPace(finding pace.Finding) {
	for _, address := range m.paceListeners() {
		m.sendOriginMessage(address, paceTold{Kind: paceTell, Finding: finding})
	}
}

// paceListeners returns the addresses of the boxes to tell of a finding, or none if the fleet is too large or this box
// has told too many.
func (m *Mesh) paceListeners() []string {
	now := m.clock.Monotonic()
	m.mu.Lock()
	defer m.mu.Unlock()
	if now-m.paceTells.sinceMs >= paceTellsMs {
		m.paceTells = paceTells{sinceMs: now}
	}
	if m.directPeers >= smallFleetBoxes || m.paceTells.count >= maxPaceTells {
		return nil
	}
	m.paceTells.count++
	addresses, aliveTimeout := []string{}, m.aliveTimeoutLocked()
	for _, p := range m.peers {
		if p.alive(now, aliveTimeout) {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// exchangesPaces reports whether the boxes of the fleet tell each other of slow upstreams.
func (m *Mesh) exchangesPaces() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.directPeers < smallFleetBoxes
}

func (m *Mesh) handlePaceMessage(data []byte) error {
	var told paceTold
	err := cbor.Unmarshal(data, &told)
	if err == nil {
		m.recordPaceFindings([]pace.Finding{told.Finding})
	}
	return err
}
