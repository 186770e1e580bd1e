package mesh

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/pace"
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
	// admissionLongAsk is an ask with times above 65.5 s. It is sent only to owners whose answers have shown that they
	// read it.
	admissionLongAsk admissionMessageKind = 13
	// admissionRenewal tells which requests of the sender still run.
	admissionRenewal admissionMessageKind = 14
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
		// InTime and Patience are in milliseconds and limited to the range that takes three bytes, about 65 s. Repeated
		// asks renew them. In a long ask, Patience is the time from InTime on in tenths of a second, so that requests of
		// one kind have equal values whenever they ask, and InTime is in tenths of a second if askTenths is set.
		InTime      clock.Millis
		Patience    uint16
		SlowPercent uint16
		// Flags holds the urgency above askFlagBits bits.
		Flags uint8
	}
	// answerMessage is an admission.Answer in at most 19 bytes.
	answerMessage struct {
		_                  struct{} `cbor:",toarray"`
		Kind               admissionMessageKind
		Number             uint32
		StartInMs, DrainMs uint32
		// Flags holds the verdict in the lowest answerFlagBits bits, and the pace above answerPaceShift bits. A further
		// field would make boxes of earlier releases reject the message.
		Flags uint8
	}
	// renewalMessage tells which requests still run, in at most 5 bytes and 4 for each.
	renewalMessage struct {
		_    struct{} `cbor:",toarray"`
		Kind admissionMessageKind
		// Numbers holds the numbers of the requests, 4 bytes each in big-endian order.
		Numbers []byte
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
	// askTenths is set in a long ask if InTime is in tenths of a second.
	askTenths uint8 = 1 << 6
	// maxLongUrgency keeps the urgency of a long ask below askTenths. Owners tell apart no more urgencies.
	maxLongUrgency = 15

	answerVerdict     uint8 = 1<<answerFlagBits - 1
	answerFlagBits          = 2
	answerLate        uint8 = 1 << 2
	answerProvisional uint8 = 1 << 3
	// answerPaceShift bits are below the code of the pace: 0 from owners of earlier releases, answerPaceUsual if no slow
	// pace is known, and above it a slow pace in steps of paceStep percent. Boxes of earlier releases ignore it.
	answerPaceShift       = 4
	answerPaceUsual uint8 = 1
	maxAnswerPace   uint8 = math.MaxUint8 >> answerPaceShift
	paceStep              = 64
)

const (
	// tenthMs is the unit of the times of a long ask.
	tenthMs clock.Millis = 100
	// maxLongSpanMs limits the times of a long ask to those that an owner takes.
	maxLongSpanMs = 3600 * clock.Second
	// numberBytes is the size of a request number in a renewal, and maxRenewedNumbers keeps the message within 1,400
	// bytes.
	numberBytes       = 4
	maxRenewedNumbers = (1400 - 24) / numberBytes
)

func newAskMessage(a admission.Ask) askMessage {
	return askMessage{
		Kind: admissionAsk, Number: a.ID.Number,
		Pool: a.Pool, Upstream: a.Upstream, Organisation: a.Organisation, Session: a.Session,
		PrefillTokens: saturate[uint32](a.PrefillTokens), OwnTokens: saturate[uint32](a.OwnTokens),
		SharedTokens: saturate[uint32](a.SharedTokens), MemoryTokens: saturate[uint32](a.MemoryTokens),
		Slots: saturate[uint16](a.Slots), Bound: saturate[uint16](a.Bound),
		InTime:   min(max(a.InTimeMs, -math.MaxUint16), math.MaxUint16),
		Patience: saturate[uint16](a.PatienceMs), SlowPercent: saturate[uint16](a.SlowPercent),
		Flags: uint8(min(max(a.Urgency, 0), maxUrgency))<<askFlagBits |
			flag(a.MayQueue, askMayQueue) | flag(a.Force, askForce),
	}
}

// isLong reports whether the times of an ask exceed the range of an askMessage.
func isLong(a admission.Ask) bool { return max(a.PatienceMs, a.InTimeMs, -a.InTimeMs) > math.MaxUint16 }

// newLongAskMessage returns an ask with times of up to an hour.
func newLongAskMessage(a admission.Ask) askMessage {
	a.Urgency = min(a.Urgency, maxLongUrgency)
	a.InTimeMs = min(max(a.InTimeMs, -maxLongSpanMs), maxLongSpanMs)
	p := newAskMessage(a)
	p.Kind, p.InTime = admissionLongAsk, a.InTimeMs
	p.Patience = saturate[uint16]((min(a.PatienceMs, maxLongSpanMs) - a.InTimeMs + tenthMs/2) / tenthMs)
	if max(a.InTimeMs, -a.InTimeMs) > math.MaxUint16 {
		p.InTime /= tenthMs
		p.Flags |= askTenths
	}
	return p
}

// ask returns the ask of the box at an address.
func (p askMessage) ask(box string) admission.Ask {
	patienceMs := clock.Millis(p.Patience)
	if p.Kind == admissionLongAsk {
		if p.Flags&askTenths != 0 {
			p.InTime = min(max(p.InTime, -math.MaxUint16), math.MaxUint16) * tenthMs
		}
		p.Flags &^= askTenths
		patienceMs = p.InTime + patienceMs*tenthMs
	}
	return admission.Ask{
		ID:   admission.ID{Box: box, Number: p.Number},
		Pool: p.Pool, Upstream: p.Upstream, Organisation: p.Organisation, Session: p.Session,
		Urgency: int(p.Flags >> askFlagBits), PrefillTokens: int(p.PrefillTokens),
		OwnTokens: int(p.OwnTokens), SharedTokens: int(p.SharedTokens),
		Slots: int(p.Slots), MemoryTokens: int(p.MemoryTokens), Bound: int(p.Bound),
		InTimeMs: p.InTime, PatienceMs: patienceMs, SlowPercent: int(p.SlowPercent),
		MayQueue: p.Flags&askMayQueue != 0, Force: p.Flags&askForce != 0,
	}
}

func newAnswerMessage(number uint32, a admission.Answer) answerMessage {
	return answerMessage{
		Kind: admissionAnswer, Number: number,
		StartInMs: saturate[uint32](a.StartInMs), DrainMs: saturate[uint32](a.DrainMs),
		Flags: uint8(a.Verdict)&answerVerdict | flag(a.Late, answerLate) | flag(a.Provisional, answerProvisional) |
			paceCode(a.SlowPercent)<<answerPaceShift,
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
		SlowPercent: decodedPace(p.Flags >> answerPaceShift),
	}, nil
}

// readsLongAsks reports whether the owner reads long asks. Those of earlier releases tell no pace.
func (p answerMessage) readsLongAsks() bool { return p.Flags>>answerPaceShift >= answerPaceUsual }

// paceCode returns the code of a pace in an answer, rounded to a step.
func paceCode(percent int) uint8 {
	if percent <= pace.SlowPercent {
		return answerPaceUsual
	}
	steps := (percent - pace.UsualPercent + paceStep/2) / paceStep
	return uint8(min(int(maxAnswerPace), int(answerPaceUsual)+steps))
}

// decodedPace returns the pace of a code, or 0 if none is told.
func decodedPace(code uint8) int {
	if code <= answerPaceUsual {
		return 0
	}
	return pace.UsualPercent + int(code-answerPaceUsual)*paceStep
}

// newRenewalMessage returns the message that tells of at most maxRenewedNumbers requests.
func newRenewalMessage(numbers []uint32) renewalMessage {
	p := renewalMessage{Kind: admissionRenewal, Numbers: make([]byte, 0, numberBytes*len(numbers))}
	for _, number := range numbers {
		p.Numbers = binary.BigEndian.AppendUint32(p.Numbers, number)
	}
	return p
}

// numbers returns the numbers of the requests. It returns ErrInvalid if their encoding is incomplete.
func (p renewalMessage) numbers() ([]uint32, error) {
	if len(p.Numbers)%numberBytes != 0 {
		return nil, fmt.Errorf("%w: %d bytes of request numbers", ErrInvalid, len(p.Numbers))
	}
	numbers := make([]uint32, 0, len(p.Numbers)/numberBytes)
	for encoded := range slices.Chunk(p.Numbers, numberBytes) {
		numbers = append(numbers, binary.BigEndian.Uint32(encoded))
	}
	return numbers, nil
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
		data[1] >= byte(admissionAsk) && data[1] <= byte(admissionRenewal)
}

// decodeAdmission decodes a message about admission. It returns ErrInvalid if the form or a value is not that of T.
func decodeAdmission[T askMessage | answerMessage | endMessage | renewalMessage](data []byte) (T, error) {
	var message T
	if err := cbor.Unmarshal(data, &message); err != nil {
		return message, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return message, nil
}
