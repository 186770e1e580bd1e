package mesh

import (
	"math/rand/v2"
	"net"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/pace"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/quarantine"
	"dooryard.example/dooryard/internal/streams"
)

// FuzzDatagram guards against a datagram that ends the process.
func FuzzDatagram(f *testing.F) {
	for _, message := range []any{
		originTold{Kind: originTell, Records: []streams.Record{record(1)}},
		originQuestion{Kind: originAsk, Number: 1, Stream: 2, Pool: 3},
		originReply{Kind: originAnswer, Number: 1, Answer: streams.Answer{Origin: 1, View: streams.View{Sole: 1}}},
		partsTold{Kind: partTell, Events: []quarantine.PartEvent{{}}},
		paceFindingMessage{Kind: paceFindingKind},
		attemptsQuestion{Kind: attemptsAsk, Pool: 1, ToMs: 1},
		attemptsReply{Kind: attemptsAnswer, Number: 1},
		askMessage{Kind: admissionAsk, Number: 1, Slots: 1},
		answerMessage{Kind: admissionAnswer, Number: 1},
		endMessage{Kind: admissionRelease, Number: 1},
		renewalMessage{Numbers: []byte{0, 0, 0, 1}},
	} {
		data, err := cbor.Marshal(message)
		require.NoError(f, err)
		f.Add(data)
	}
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	f.Fuzz(func(_ *testing.T, data []byte) { newIsolated().process(data, from) })
}

// newIsolated returns the member of a box that has nobody to talk to.
func newIsolated() *Mesh {
	none := func() map[namekey.Key]int { return nil }
	return New(Dependencies{
		Self: Identity{Box: "b", FailureDomain: "d", Address: "127.0.0.1:1"}, Clock: clock.New(), PeriodMs: 250,
		Conn: discardConn{}, Contacts: func() []Contact { return nil },
		StateSummary: func() StateSummary { return StateSummary{} }, OnPeerState: func(PeerState) {},
		InFlight: none, InFlightByPool: none, Unreachable: func() []namekey.Key { return nil },
		AnnouncementsSince:  func(from int64, _ int) ([]prompt.CachedPart, int64) { return nil, from },
		RecordAnnouncements: func([]prompt.CachedPart) {},
		CrashEventsSince:    func(from int64, _ int) ([]quarantine.CrashEvent, int64) { return nil, from },
		RecordCrashEvents:   func([]quarantine.CrashEvent) {},
		PartEventsSince:     func(from int64, _ int) ([]quarantine.PartEvent, int64) { return nil, from },
		RecordPartEvents:    func([]quarantine.PartEvent) bool { return true },
		RecordOrigins:       func([]streams.Record) {},
		AnswerOrigin:        func(streams.ID, namekey.Key) streams.Answer { return streams.Answer{} },
		AttemptsBetween:     func(namekey.Key, clock.Millis, clock.Millis) (started, answered int) { return 1, 1 },
		PaceFindings:        func() []pace.Finding { return nil }, RecordPaceFindings: func([]pace.Finding) {},
		Random: rand.New(rand.NewPCG(1, 2)),
	})
}

// discardConn discards what is written.
type discardConn struct{ net.PacketConn }

func (discardConn) WriteTo(data []byte, _ net.Addr) (int, error) { return len(data), nil }
