// Package membership detects which boxes of a failure domain are alive. Boxes ping each other over
// UDP. A box that leaves a ping unanswered becomes a suspect, and is removed unless it refutes the
// suspicion within a few seconds. Pings and acks also carry small facts about the boxes. The state
// machine neither reads a clock nor sends messages itself.
package membership

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed is returned for a packet that can't be decoded or fails validation.
var ErrMalformed = errors.New("malformed packet")

// ID is the short hash of a name that identifies a box or a failure domain on the wire.
type ID uint32

// NewID returns the ID for a name.
func NewID(name string) ID { return ID(xxhash.Sum64String(name)) }

// kind is the type of a packet.
type kind uint8

const (
	kindPing kind = iota + 1
	kindAck
	// kindPingRequest asks the receiver to ping the target on behalf of the sender.
	kindPingRequest
	// kindJoin requests all members, and kindMembers is the response.
	kindJoin
	kindMembers
	// kindDomainFacts sends the summed facts of this failure domain to another one.
	kindDomainFacts
)

// Status is the liveness state of a box.
type Status uint8

// Statuses of a box, by ascending precedence within an incarnation.
const (
	Alive Status = iota + 1
	Suspect
	Dead
	// Left is the status after a planned stop. It is final for an incarnation.
	Left
)

// String returns the name of the status.
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

// packet is one datagram. It is encoded as an array to keep field names off the wire.
type packet struct {
	_           struct{} `cbor:",toarray"`
	Kind        kind
	Sequence    uint32
	From        ID
	Incarnation uint32
	// Target is the box to ping in a kindPingRequest packet and the box that answered in a
	// forwarded ack. It is 0 otherwise.
	Target  ID
	Updates []update
	Facts   []factEntry
}

// update is a status change of one box.
type update struct {
	_           struct{} `cbor:",toarray"`
	ID          ID
	Incarnation uint32
	Status      Status
	// SilentMs is how long a suspect has been silent.
	SilentMs uint32
	// Box is set in updates about a live box, for receivers that don't know it.
	Box *Box
}

// Box describes a box to the rest of the fleet.
type Box struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Domain        string
	GossipAddress string
	PeerAddress   string
}

// Facts are small facts that a box gossips about itself.
type Facts struct {
	_ struct{} `cbor:",toarray"`
	// TableOffset is the log offset that the box's table has reached.
	TableOffset int64
	// InFlight is the number of running and queued requests.
	InFlight uint32
	// Demand is the demand of the limited organisations with the highest request rates.
	Demand []Demand
	// Boxes is the number of boxes whose facts are summed, or 0 for the facts of a single box.
	Boxes uint32
}

// Demand is the rate of requests that an organisation sends to one box.
type Demand struct {
	_            struct{} `cbor:",toarray"`
	Organisation uint32
	PerSecond    uint32
}

// OrganisationID returns the short hash that identifies an organisation on the wire.
func OrganisationID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// factEntry holds the versioned facts of one box, or the summed facts of a failure domain.
type factEntry struct {
	_       struct{} `cbor:",toarray"`
	ID      ID
	Version uint32
	Facts   Facts
}

const (
	maxNameBytes   = 64
	maxArrayLength = 128
	maxDemand      = 16
)

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayLength, MaxMapPairs: 16, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encode encodes a packet.
func encode(p *packet) ([]byte, error) {
	body, err := cbor.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode packet: %w", err)
	}
	return body, nil
}

// decode decodes and validates a packet.
func decode(body []byte) (packet, error) {
	var p packet
	if err := decMode.Unmarshal(body, &p); err != nil {
		return packet{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return p, p.validate()
}

// valid reports whether the names of a box are within bounds and its name matches the ID.
func (b *Box) valid(id ID) bool {
	return b.Name != "" && len(b.Name) <= maxNameBytes && len(b.Domain) <= maxNameBytes && NewID(b.Name) == id
}

func (p *packet) validate() error {
	if p.Kind < kindPing || p.Kind > kindDomainFacts {
		return fmt.Errorf("%w: kind %d", ErrMalformed, p.Kind)
	}
	for _, u := range p.Updates {
		if u.Status < Alive || u.Status > Left {
			return fmt.Errorf("%w: status %d", ErrMalformed, u.Status)
		}
		if u.Box != nil && !u.Box.valid(u.ID) {
			return fmt.Errorf("%w: invalid box name", ErrMalformed)
		}
	}
	for _, f := range p.Facts {
		if len(f.Facts.Demand) > maxDemand {
			return fmt.Errorf("%w: too many demand entries", ErrMalformed)
		}
	}
	return nil
}
