// Package mesh is how the boxes of a fleet know each other: small datagrams that
// carry who is there, what each has in flight, and how fresh the routing state
// of each is. Nothing depends on every box hearing every other one.
package mesh

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/position"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/quarantine"
)

// ErrInvalid marks a datagram that can't be used.
var ErrInvalid = errors.New("invalid datagram")

// Identity is who a box is.
type Identity struct {
	Box           string `cbor:"1,keyasint"`
	FailureDomain string `cbor:"2,keyasint"`
	// Address is the box's address for other boxes, of datagrams and of calls.
	Address string `cbor:"3,keyasint"`
	// Incarnation grows with each start of the box.
	Incarnation int64 `cbor:"4,keyasint"`
}

// Knowledge is what a box knows at an instant.
type Knowledge struct {
	// Version is that of the routing state in force, 0 for none.
	Version int64 `cbor:"1,keyasint" json:"version"`
	// Position is that of the newest change of the upstreams.
	Position position.Position `cbor:"6,keyasint" json:"position"`
	// AgeMs is how long ago Version was proved to be the newest, below 0 if
	// never.
	AgeMs clock.Millis `cbor:"3,keyasint" json:"age_ms"`
	// StoreLost is set while the box can't read its store.
	StoreLost bool `cbor:"4,keyasint,omitempty" json:"store_lost"`
	// Era is that of the store's answer which proved Version.
	Era int64 `cbor:"5,keyasint,omitempty" json:"era"`
}

// packetType tells datagrams apart.
type packetType uint8

// Types of datagrams.
const (
	// typePing wants a reply.
	typePing packetType = 1
	// typeReply answers a ping and returns its time.
	typeReply packetType = 2
	// typeUpdate says that the sender's knowledge has changed.
	typeUpdate packetType = 3
)

// packet is one datagram.
type packet struct {
	Type packetType `cbor:"1,keyasint"`
	From Identity   `cbor:"2,keyasint"`
	// AskedMs is the asker's own steady instant, returned in the reply.
	AskedMs   clock.Millis `cbor:"3,keyasint,omitempty"`
	Knowledge Knowledge    `cbor:"4,keyasint"`
	// InFlight is what the sender has running, by upstream.
	InFlight map[namekey.Key]int `cbor:"5,keyasint,omitempty"`
	// Leaving is set once the sender is about to stop.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Known are a few other boxes.
	Known []Identity `cbor:"7,keyasint,omitempty"`
	// Kept are parts of prompts that the sender had engines read, as far as it has
	// not told this receiver yet.
	Kept []prompt.Kept `cbor:"8,keyasint,omitempty"`
	// Endings are news of the sender about upstreams that ended, which the receiver has not
	// said to have heard; EndingsTo is the number that follows them.
	Endings   []quarantine.Ending `cbor:"9,keyasint,omitempty"`
	EndingsTo int64               `cbor:"10,keyasint,omitempty"`
	// EndingsHeard is up to which number the sender has heard the receiver's.
	EndingsHeard int64 `cbor:"11,keyasint,omitempty"`
	// Running is how many requests the sender runs, by pool, in a large fleet; there InFlight
	// is left out.
	Running map[namekey.Key]int `cbor:"12,keyasint,omitempty"`
}

// maxPacketBytes keeps a datagram from being cut into pieces on usual links, as
// far as its content allows.
const maxPacketBytes = 8 << 10

func (p *packet) encode() ([]byte, error) {
	data, err := cbor.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode datagram: %w", err)
	}
	return data, nil
}

// decode reads a datagram and checks it.
func decode(data []byte) (*packet, error) {
	var p packet
	if err := cbor.Unmarshal(data, &p); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := p.checkFrom(); err != nil {
		return nil, err
	}
	for _, known := range p.Known {
		if err := known.check(); err != nil {
			return nil, err
		}
	}
	return &p, nil
}

// checkFrom checks the sender. A reply may name just the box and its incarnation.
func (p *packet) checkFrom() error {
	if p.Type == typeReply && p.From.Box != "" && p.From.FailureDomain == "" && p.From.Address == "" {
		return nil
	}
	return p.From.check()
}

func (i Identity) check() error {
	if i.Box == "" || i.FailureDomain == "" {
		return fmt.Errorf("%w: box and failure domain are needed", ErrInvalid)
	}
	if _, err := netip.ParseAddrPort(i.Address); err != nil {
		return fmt.Errorf("%w: address: %w", ErrInvalid, err)
	}
	return nil
}
