package grant

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
)

// ChannelName is the first byte of this package's datagrams.
const ChannelName = 'g'

// CodeBytes is how much of the authentication code the datagrams carry. They are
// the most frequent ones between boxes, and a forged one shifts a little load.
const CodeBytes = 4

// ErrMalformed means that a message could not be decoded.
var ErrMalformed = errors.New("malformed grant message")

// Kinds of messages: the first byte of a body.
const (
	kindAsk byte = iota + 1
	kindReply
	kindHint
	kindHold
	kindNews
)

// Flags of asks and replies.
const (
	flagLookup byte = 1 << iota
	flagWant
	flagSettle
	flagFirst
	flagGranted
	flagUnknown
	flagClosed
)

// askMessage is a question on the wire, in fixed fields.
type askMessage struct {
	Sequence uint16
	Box      Box
	Place    Place
	Session  Session
	Flags    byte
	Held     uint16
	Total    uint16
}

// replyMessage is its answer.
type replyMessage struct {
	Sequence uint16
	Flags    byte
	Over     int8
}

// hintMessage is the answer that names where a session is warm.
type hintMessage struct {
	Sequence uint16
	Hint     Place
}

// holdMessage tells what a box runs on an upstream.
type holdMessage struct {
	Box   Box
	Place Place
	Held  uint16
}

// newsMessage tells the owner of a session's first choice where it went.
type newsMessage struct {
	Session Session
	Place   Place
}

// encodeMessage returns a message's bytes behind its kind. Messages have fixed
// fields only, which always can be encoded.
func encodeMessage[T any](kind byte, message T) []byte {
	body, err := binary.Append([]byte{kind}, binary.BigEndian, message)
	if err != nil {
		return nil
	}
	return body
}

// decodeMessage reads a message whose kind was read.
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
