package mesh

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// admissionMessageKind distinguishes messages about admission. Its values differ from those of permitMessageKind and
// originMessageKind, so boxes of earlier releases ignore these messages.
type admissionMessageKind uint8

// Kinds of messages about admission.
const (
	// admissionAsk asks an owner to admit a request. It is repeated under its number while the ask is queued.
	admissionAsk admissionMessageKind = 8
	// admissionAnswer answers an ask, and later grants or denies a queued one.
	admissionAnswer admissionMessageKind = 9
	// admissionStarted tells that the first event of a request has come.
	admissionStarted admissionMessageKind = 10
	// admissionRelease and admissionReleaseServed end a request. The former also withdraws a queued ask.
	admissionRelease       admissionMessageKind = 11
	admissionReleaseServed admissionMessageKind = 12
)

type (
	// askMessage is an admission.Ask in at most 64 bytes.
	askMessage struct {
		_    struct{} `cbor:",toarray"`
		Kind admissionMessageKind
		// Number is chosen by the asking box.
		Number                                               uint32
		Pool, Upstream, Organisation, Session                namekey.Key
		PrefillTokens, OwnTokens, SharedTokens, MemoryTokens uint32
		Slots, Bound                                         uint16
		// InTimeMs and PatienceMs are limited to the range that takes three bytes, about 65 s. Repeated asks renew them.
		InTimeMs    clock.Millis
		PatienceMs  uint16
		SlowPercent uint16
		// Flags holds the urgency above askFlagBits bits.
		Flags uint8
	}
	// answerMessage is an admission.Answer in at most 18 bytes.
	answerMessage struct {
		_                  struct{} `cbor:",toarray"`
		Kind               admissionMessageKind
		Number             uint32
		StartInMs, DrainMs uint32
		// Flags holds the verdict in the lowest answerFlagBits bits.
		Flags uint8
	}
	// endMessage tells of a start or an end in at most 7 bytes.
	endMessage struct {
		_      struct{} `cbor:",toarray"`
		Kind   admissionMessageKind
		Number uint32
	}
)

// Flags of asks and answers.
const (
	askMayQueue uint8 = 1 << 0
	askForce    uint8 = 1 << 1
	askFlagBits       = 2
	// maxUrgency keeps the flags of an ask within two bytes. Less urgent requests count as equally urgent.
	maxUrgency = math.MaxUint8 >> askFlagBits

	answerVerdict     uint8 = 1<<answerFlagBits - 1
	answerFlagBits          = 2
	answerLate        uint8 = 1 << 2
	answerProvisional uint8 = 1 << 3
)

func newAskMessage(a admission.Ask) askMessage {
	return askMessage{
		Kind: admissionAsk, Number: a.ID.Number,
		Pool: a.Pool, Upstream: a.Upstream, Organisation: a.Organisation, Session: a.Session,
		PrefillTokens: saturate[uint32](a.PrefillTokens), OwnTokens: saturate[uint32](a.OwnTokens),
		SharedTokens: saturate[uint32](a.SharedTokens), MemoryTokens: saturate[uint32](a.MemoryTokens),
		Slots: saturate[uint16](a.Slots), Bound: saturate[uint16](a.Bound),
		InTimeMs:   min(max(a.InTimeMs, -math.MaxUint16), math.MaxUint16),
		PatienceMs: saturate[uint16](a.PatienceMs), SlowPercent: saturate[uint16](a.SlowPercent),
		Flags: uint8(min(max(a.Urgency, 0), maxUrgency))<<askFlagBits |
			flag(a.MayQueue, askMayQueue) | flag(a.Force, askForce),
	}
}

// ask returns the ask of the box at an address.
func (p askMessage) ask(box string) admission.Ask {
	return admission.Ask{
		ID:   admission.ID{Box: box, Number: p.Number},
		Pool: p.Pool, Upstream: p.Upstream, Organisation: p.Organisation, Session: p.Session,
		Urgency: int(p.Flags >> askFlagBits), PrefillTokens: int(p.PrefillTokens),
		OwnTokens: int(p.OwnTokens), SharedTokens: int(p.SharedTokens),
		Slots: int(p.Slots), MemoryTokens: int(p.MemoryTokens), Bound: int(p.Bound),
		InTimeMs: p.InTimeMs, PatienceMs: clock.Millis(p.PatienceMs), SlowPercent: int(p.SlowPercent),
		MayQueue: p.Flags&askMayQueue != 0, Force: p.Flags&askForce != 0,
	}
}

func newAnswerMessage(number uint32, a admission.Answer) answerMessage {
	return answerMessage{
		Kind: admissionAnswer, Number: number,
		StartInMs: saturate[uint32](a.StartInMs), DrainMs: saturate[uint32](a.DrainMs),
		Flags: uint8(a.Verdict)&answerVerdict | flag(a.Late, answerLate) | flag(a.Provisional, answerProvisional),
	}
}

// answer returns the answer. It returns ErrInvalid if the verdict is unknown.
func (p answerMessage) answer() (admission.Answer, error) {
	verdict := admission.Verdict(p.Flags & answerVerdict)
	if verdict > admission.Queued {
		return admission.Answer{}, fmt.Errorf("%w: admission verdict %d", ErrInvalid, verdict)
	}
	return admission.Answer{
		Verdict: verdict, StartInMs: clock.Millis(p.StartInMs), DrainMs: clock.Millis(p.DrainMs),
		Late: p.Flags&answerLate != 0, Provisional: p.Flags&answerProvisional != 0,
	}, nil
}

// saturate converts a number to an unsigned type, limited to the range of the type.
func saturate[U uint16 | uint32, N int | clock.Millis](n N) U {
	return U(min(max(n, 0), N(^U(0))))
}

func flag(set bool, bit uint8) uint8 {
	if set {
		return bit
	}
	return 0
}

// isAdmissionMessage reports whether a datagram is about admission. The second byte is the kind.
func isAdmissionMessage(data []byte) bool {
	return isPermitMessage(data) && len(data) > 1 &&
		data[1] >= byte(admissionAsk) && data[1] <= byte(admissionReleaseServed)
}

// decodeAdmission decodes a message about admission. It returns ErrInvalid if the form or a value is not that of T.
func decodeAdmission[T askMessage | answerMessage | endMessage](data []byte) (T, error) {
	var message T
	if err := cbor.Unmarshal(data, &message); err != nil {
		return message, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return message, nil
}
