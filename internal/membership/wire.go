// Package membership tells which boxes of a failure domain live. Boxes ping each
// other over UDP; an unanswered ping makes a box suspect, and one that does not
// contradict within a few seconds is removed. Small facts about each box ride
// along. The state machine reads no clock and sends nothing itself.
package membership

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed means that a packet could not be decoded.
var ErrMalformed = errors.New("malformed packet")

// ID names a box on the wire: a short hash of its name.
type ID uint32

// NewID returns the id of a box.
func NewID(name string) ID { return ID(xxhash.Sum64String(name)) }

// kind is what a packet asks for.
type kind uint8

const (
	kindPing kind = iota + 1
	kindAck
	// kindRelay asks the receiver to ping the target for the sender.
	kindRelay
	// kindJoin asks for all members; kindMembers answers it.
	kindJoin
	kindMembers
	// kindSums tells another failure domain the sums of this one.
	kindSums
)

// Status is where a box stands.
type Status uint8

// Statuses of a box, in the order of their precedence within an incarnation.
const (
	Alive Status = iota + 1
	Suspect
	Dead
	// Left is a planned stop. It is final for an incarnation.
	Left
)

// String returns the status in words.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// packet is one datagram. Arrays keep the field names off the wire.
type packet struct {
	_           struct{} `cbor:",toarray"`
	Kind        kind
	Sequence    uint32
	From        ID
	Incarnation uint32
	// Target is the box to ping in kindRelay and the box that answered in an
	// ack that was relayed; else 0.
	Target  ID
	Updates []update
	Facts   []factEntry
}

// update is news about one box.
type update struct {
	_           struct{} `cbor:",toarray"`
	ID          ID
	Incarnation uint32
	Status      Status
	// SilentMs is how long a suspect has been silent.
	SilentMs uint32
	// Box is set in news of a box that lives, for those that don't know it.
	Box *Box
}

// Box is what the fleet knows of a box.
type Box struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Domain        string
	GossipAddress string
	PeerAddress   string
}

// Facts are small facts that a box tells of itself.
type Facts struct {
	_ struct{} `cbor:",toarray"`
	// TableOffset is the offset that its table has reached.
	TableOffset int64
	// InFlight is how many requests it runs and keeps waiting.
	InFlight uint32
	// Demand is how much its heaviest limited organisations ask for.
	Demand []Demand
	// Boxes is how many boxes these facts sum up; 0 for the facts of one.
	Boxes uint32
}

// Demand is how many requests a second an organisation sends to one box.
type Demand struct {
	_            struct{} `cbor:",toarray"`
	Organisation uint32
	PerSecond    uint32
}

// OrganisationID returns the short name of an organisation on the wire.
func OrganisationID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// factEntry is the facts of one box with their version.
type factEntry struct {
	_       struct{} `cbor:",toarray"`
	ID      ID
	Version uint32
	Facts   Facts
}

const (
	maxNameBytes = 64
	maxListed    = 128
	maxDemand    = 16
)

var decoding = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxListed, MaxMapPairs: 16, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encode returns a packet's bytes.
func encode(p *packet) ([]byte, error) {
	body, err := cbor.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode packet: %w", err)
	}
	return body, nil
}

// decode reads and checks a packet.
func decode(body []byte) (packet, error) {
	var p packet
	if err := decoding.Unmarshal(body, &p); err != nil {
		return packet{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return p, p.check()
}

// fits reports whether a box's names can be used, and whether the id is its own.
func (b *Box) fits(id ID) bool {
	return b.Name != "" && len(b.Name) <= maxNameBytes && len(b.Domain) <= maxNameBytes && NewID(b.Name) == id
}

func (p *packet) check() error {
	if p.Kind < kindPing || p.Kind > kindSums {
		return fmt.Errorf("%w: kind %d", ErrMalformed, p.Kind)
	}
	for _, u := range p.Updates {
		if u.Status < Alive || u.Status > Left {
			return fmt.Errorf("%w: status %d", ErrMalformed, u.Status)
		}
		if u.Box != nil && !u.Box.fits(u.ID) {
			return fmt.Errorf("%w: name of box", ErrMalformed)
		}
	}
	for _, f := range p.Facts {
		if len(f.Facts.Demand) > maxDemand {
			return fmt.Errorf("%w: demand of box", ErrMalformed)
		}
	}
	return nil
}
