// Package mesh implements the gossip protocol between the boxes of a fleet. Boxes exchange small
// datagrams with their liveness, their requests in flight and the freshness of their routing state.
// The protocol does not depend on every box receiving messages from every other one.
package mesh

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/evacuation"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/pace"
	"dooryard.example/dooryard/internal/position"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/quarantine"
)

// ErrInvalid is returned for a datagram that can't be decoded or fails validation.
var ErrInvalid = errors.New("invalid datagram")

// Identity identifies a box.
type Identity struct {
	Box           string `cbor:"1,keyasint"`
	FailureDomain string `cbor:"2,keyasint"`
	// Address is where other boxes reach this one, both for datagrams and for HTTP calls.
	Address string `cbor:"3,keyasint"`
	// Incarnation increases with each start of the box.
	Incarnation int64 `cbor:"4,keyasint"`
}

// StateSummary is the state of a box at one instant.
type StateSummary struct {
	// Version is the version of the active routing state, or 0 if there is none.
	Version int64 `cbor:"1,keyasint" json:"version"`
	// Position is the position of the newest change to the upstreams.
	Position position.Position `cbor:"6,keyasint" json:"position"`
	// AgeMs is the time since Version was last confirmed as the newest, or negative if it never
	// was.
	AgeMs clock.Millis `cbor:"3,keyasint" json:"age_ms"`
	// StoreUnavailable is set while the box can't read its store.
	StoreUnavailable bool `cbor:"4,keyasint,omitempty" json:"store_lost"`
	// Era is the store era of the response that confirmed Version.
	Era int64 `cbor:"5,keyasint,omitempty" json:"era"`
	// Evacuations summarizes the evacuated failure domains.
	Evacuations evacuation.Summary `cbor:"7,keyasint" json:"evacuations"`
	// UpstreamsAgeMs is the time since the store last showed that there is no change of the upstreams after Position. It
	// is 0 if that is unknown, as at boxes of earlier releases, and else at least 1.
	UpstreamsAgeMs clock.Millis `cbor:"8,keyasint,omitempty" json:"upstreams_age_ms"`
}

// packetType distinguishes the kinds of datagrams.
type packetType uint8

// Types of datagrams.
const (
	// typePing requests a reply.
	typePing packetType = 1
	// typeReply answers a ping and echoes its PingToken.
	typeReply packetType = 2
	// typeUpdate announces that the sender's state has changed.
	typeUpdate packetType = 3
)

// packet is one datagram.
type packet struct {
	Type packetType `cbor:"1,keyasint"`
	From Identity   `cbor:"2,keyasint"`
	// PingToken is set by the sender of a ping, and the reply echoes it. Only the sender interprets it.
	PingToken    int64        `cbor:"3,keyasint,omitempty"`
	StateSummary StateSummary `cbor:"4,keyasint"`
	// InFlight is the sender's requests in flight, by upstream.
	InFlight map[namekey.Key]int `cbor:"5,keyasint,omitempty"`
	// Draining is set once the sender is about to stop.
	Draining bool `cbor:"6,keyasint,omitempty"`
	// Known names a few other boxes.
	Known []Identity `cbor:"7,keyasint,omitempty"`
	// Announcements are prompt parts that the sender's requests put into engine caches and that it
	// has not sent to this receiver yet.
	Announcements []prompt.CachedPart `cbor:"8,keyasint,omitempty"`
	// CrashEvents are the sender's reports of crashed upstreams that the receiver has not
	// acknowledged. CrashEventsNext is the sequence number that follows them.
	CrashEvents     []quarantine.CrashEvent `cbor:"9,keyasint,omitempty"`
	CrashEventsNext int64                   `cbor:"10,keyasint,omitempty"`
	// CrashEventsAcked acknowledges the receiver's reports up to this sequence number.
	CrashEventsAcked int64 `cbor:"11,keyasint,omitempty"`
	// InFlightByPool is the sender's requests in flight, by pool. A large fleet uses it instead of
	// InFlight.
	InFlightByPool map[namekey.Key]int `cbor:"12,keyasint,omitempty"`
	// Unreachable are the pools whose upstreams the sender can't reach.
	Unreachable []namekey.Key `cbor:"13,keyasint,omitempty"`
	// TakesForwarded is set by boxes that serve requests which other boxes forward. Those of earlier releases don't.
	TakesForwarded bool `cbor:"14,keyasint,omitempty"`
	// KeepsStreams is set by boxes that let a stream go on only at its software version, tell the versions of
	// upstreams, and answer questions about streams. Those of earlier releases don't.
	KeepsStreams bool `cbor:"15,keyasint,omitempty"`
	// PartEvents, PartEventsNext and PartEventsAcked are what CrashEvents and the fields after it are, for crashes by
	// parts of prompts. Boxes of earlier releases ignore them.
	PartEvents      []quarantine.PartEvent `cbor:"16,keyasint,omitempty"`
	PartEventsNext  int64                  `cbor:"17,keyasint,omitempty"`
	PartEventsAcked int64                  `cbor:"18,keyasint,omitempty"`
	// PaceFindings are the upstreams that the sender found slow in the last second. Fleets of up to smallFleetBoxes boxes
	// exchange them. Boxes of earlier releases ignore them.
	PaceFindings []pace.Finding `cbor:"19,keyasint,omitempty"`
	// ConfirmsUpstreams is set by boxes that tell the age of the list of upstreams. Those of earlier releases don't.
	ConfirmsUpstreams bool `cbor:"20,keyasint,omitempty"`
	// GaveUpAddress is set by a draining process that has left the address of the box to a later process. Its own address
	// differs, and it counts as a box of its own until it ends. Boxes of earlier releases forget it when they hear of the
	// later process.
	GaveUpAddress bool `cbor:"21,keyasint,omitempty"`
	// Phase is that of the sender. Boxes of earlier releases don't tell it.
	Phase phase `cbor:"22,keyasint,omitempty"`
	// Predecessors are earlier processes of the receiver, of which it is told at its start. Boxes of earlier releases
	// ignore them.
	Predecessors []lifetime `cbor:"23,keyasint,omitempty"`
}

// maxPacketBytes is the size of the receive buffer. The limits on cached parts, crash reports and
// named boxes keep most datagrams small enough not to be fragmented on common links.
const maxPacketBytes = 8 << 10

func (p *packet) encode() ([]byte, error) {
	data, err := cbor.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode datagram: %w", err)
	}
	return data, nil
}

// decode decodes and validates a datagram.
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
	for _, l := range p.Predecessors {
		if err := l.check(); err != nil {
			return nil, err
		}
	}
	if p.GaveUpAddress {
		p.From.Box = p.From.process()
	}
	return &p, nil
}

// checkFrom validates the sender. A reply may carry only the sender's box and incarnation.
func (p *packet) checkFrom() error {
	if p.Type == typeReply && p.From.Box != "" && p.From.FailureDomain == "" && p.From.Address == "" {
		return nil
	}
	return p.From.check()
}

// process returns a name of the process, which differs from that of the box.
func (i Identity) process() string { return fmt.Sprintf("%s, process %d", i.Box, i.Incarnation) }

func (i Identity) check() error {
	if i.Box == "" || i.FailureDomain == "" {
		return fmt.Errorf("%w: box and failure domain are required", ErrInvalid)
	}
	if _, err := netip.ParseAddrPort(i.Address); err != nil {
		return fmt.Errorf("%w: address: %w", ErrInvalid, err)
	}
	return nil
}
