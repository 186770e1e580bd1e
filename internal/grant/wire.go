package grant

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
)

// ChannelPrefix is the first byte of this package's datagrams.
const ChannelPrefix = 'g'

// MACBytes is the length to which the authentication code of the datagrams is truncated. They are
// the most frequent datagrams between boxes, and a forged one can shift only a small amount of
// load.
const MACBytes = 4

// ErrMalformed means that a message could not be decoded.
var ErrMalformed = errors.New("malformed grant message")

// Message kinds, encoded as the first byte of a body.
const (
	kindAsk byte = iota + 1
	kindReply
	kindHint
	kindInFlight
	kindPlacement
)

// Flags of ask and reply messages.
const (
	flagLookup byte = 1 << iota
	flagWant
	flagBelowMean
	flagFirst
	flagGranted
	flagUnknown
	flagUnavailable
)

// askMessage is a question, encoded as fixed-size fields.
type askMessage struct {
	Sequence uint16
	Box      Box
	MemberID MemberID
	Session  Session
	Flags    byte
	InFlight uint16
	Total    uint16
}

// replyMessage is the reply to an askMessage.
type replyMessage struct {
	Sequence uint16
	Flags    byte
	Excess   int8
}

// hintMessage is the reply that names the member with the session's cached prefix.
type hintMessage struct {
	Sequence uint16
	Hint     MemberID
}

// inFlightMessage reports the number of requests that a box has in flight on an upstream.
type inFlightMessage struct {
	Box      Box
	MemberID MemberID
	InFlight uint16
}

// placementMessage informs the owner of a session's first choice of the member that the session was
// sent to.
type placementMessage struct {
	Session  Session
	MemberID MemberID
}

// encodeMessage returns the kind followed by the encoded message. Encoding can't fail, because
// messages have only fixed-size fields.
func encodeMessage[T any](kind byte, message T) []byte {
	body, err := binary.Append([]byte{kind}, binary.BigEndian, message)
	if err != nil {
		return nil
	}
	return body
}

// decodeMessage decodes the message that follows the kind.
func decodeMessage[T any](body []byte) (T, error) {
	var message T
	if len(body) != 1+binary.Size(message) {
		return message, fmt.Errorf("%w: %d bytes", ErrMalformed, len(body))
	}
	if err := binary.Read(bytes.NewReader(body[1:]), binary.BigEndian, &message); err != nil {
		return message, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return message, nil
}
