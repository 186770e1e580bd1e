package mesh

import (
	"github.com/fxamacker/cbor/v2"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/pace"
)

// paceFindingKind tells other boxes at once that an upstream was found slow. A slow spell is about as long as the boxes
// of a small fleet take to hear of it by pings. Boxes of earlier releases ignore it.
const paceFindingKind originMessageKind = 22

// paceFindingMessage is a message of the kind paceFindingKind.
type paceFindingMessage struct {
	_       struct{} `cbor:",toarray"`
	Kind    originMessageKind
	Finding pace.Finding
}

// Bounds of the rate at which a box sends findings at once; the others follow with pings. In a fleet of 32 boxes, a
// finding takes 31 datagrams of 15 bytes.
const (
	maxSentFindings = 5
	sentFindingsMs  = clock.Second
)

// sentFindings counts the findings sent in a span of time.
type sentFindings struct {
	sinceMs clock.Millis
	count   int
}

// SendPaceFinding tells the other boxes of a fleet of up to 32 that this box found an upstream slow.
func (m *Mesh) SendPaceFinding(finding pace.Finding) {
	for _, address := range m.paceListeners() {
		m.sendOriginMessage(address, paceFindingMessage{Kind: paceFindingKind, Finding: finding})
	}
}

// paceListeners returns the addresses of the boxes to tell of a finding, or none if the fleet is too large or this box
// has sent too many.
func (m *Mesh) paceListeners() []string {
	now := m.clock.Monotonic()
	m.mu.Lock()
	defer m.mu.Unlock()
	if now-m.sentFindings.sinceMs >= sentFindingsMs {
		m.sentFindings = sentFindings{sinceMs: now}
	}
	if m.directPeers >= smallFleetBoxes || m.sentFindings.count >= maxSentFindings {
		return nil
	}
	m.sentFindings.count++
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
	var message paceFindingMessage
	err := cbor.Unmarshal(data, &message)
	if err == nil {
		m.recordPaceFindings([]pace.Finding{message.Finding})
	}
	return err
}
