// Package claim ensures that a request that must not be repeated runs at most once. Each such
// request is claimed on the platform's log before it is sent. The first claim in log order
// wins, regardless of which box made it.
package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"dooryard.example/dooryard/internal/codec"
)

// Errors returned by this package.
var (
	// ErrUnavailable means that no verdict arrived in time. The claimant must not send the
	// request afterwards.
	ErrUnavailable = errors.New("claim log unavailable")
	// ErrMalformed means that a record could not be decoded.
	ErrMalformed = errors.New("malformed claim record")
)

// Type is the type of a record.
type Type string

// Types of a record.
const (
	// TypeClaim requests ownership of the key.
	TypeClaim Type = "claim"
	// TypeSettle records the outcome of the winner's request.
	TypeSettle Type = "settle"
	// TypeRelease states that the claimant has not sent its request and never will, so that
	// another claim may win the key.
	TypeRelease Type = "release"
)

// Bounds of a record.
const (
	keyBytes        = 18
	maxIDBytes      = 64
	maxBatchRecords = 500
	// MaxAnswerBytes is the maximum length of a body stored in a settle record.
	MaxAnswerBytes = 8 << 10
)

// Record is one entry of a claim stream. Its JSON names are short because claim records make
// up most of the log's bytes.
type Record struct {
	Type Type `json:"t"`
	// Key is a hash of the organisation and its idempotency key.
	Key string `json:"k"`
	// Owner is the id of the claiming request.
	Owner string `json:"o"`
	// Digest is a hash of the request's content. It detects a key that is reused for a
	// different request.
	Digest string `json:"d,omitempty"`
	// Answer is the outcome of the request, set only in a TypeSettle record.
	Answer *Answer `json:"a,omitempty"`
}

// Answer is the response sent to the caller, stored for callers that repeat the request.
type Answer struct {
	Status      int    `json:"s"`
	ContentType string `json:"c,omitempty"`
	Body        []byte `json:"b,omitempty"`
	// Truncated is set when the body was too long to be stored.
	Truncated bool `json:"x,omitempty"`
	// Unknown is set when the request may have run but its response was not seen.
	Unknown bool `json:"u,omitempty"`
}

// UnmarshalJSON decodes and validates a record.
func (r *Record) UnmarshalJSON(data []byte) error {
	type wire Record
	decoded, err := codec.Decode[wire](data, ErrMalformed)
	if err != nil {
		return err
	}
	*r = Record(decoded)
	switch {
	case r.Type != TypeClaim && r.Type != TypeSettle && r.Type != TypeRelease:
		return fmt.Errorf("%w: t: unknown type", ErrMalformed)
	case len(r.Key) != base64.RawURLEncoding.EncodedLen(keyBytes):
		return fmt.Errorf("%w: k: wrong length", ErrMalformed)
	case r.Owner == "" || len(r.Owner) > maxIDBytes:
		return fmt.Errorf("%w: o: must have 1 to %d bytes", ErrMalformed, maxIDBytes)
	case (r.Type == TypeSettle) != (r.Answer != nil):
		return fmt.Errorf("%w: a: belongs to a settle record", ErrMalformed)
	}
	return nil
}

// Batch is the content of one log record: one or more claim records in order.
type Batch struct {
	Records []Record `json:"records"`
}

// NewKey returns the claim key for an organisation's idempotency key.
func NewKey(organisation, idempotencyKey string) string {
	return shortHash([]byte(organisation), []byte(idempotencyKey))
}

// NewDigest returns the digest of a request's content. The target is the path and query as sent.
func NewDigest(method, target string, body []byte) string {
	return shortHash([]byte(method), []byte(target), body)
}

func shortHash(parts ...[]byte) string {
	digest := sha256.New()
	for _, part := range parts {
		// Writing to a hash never fails.
		_, _ = digest.Write([]byte(strconv.Itoa(len(part)) + ":"))
		_, _ = digest.Write(part)
	}
	return base64.RawURLEncoding.EncodeToString(digest.Sum(nil)[:keyBytes])
}

// Shards is the number of claim streams. It bounds the rate of appends for claims to Shards
// times the number of batches per second of one stream. It must never change, because a key
// must stay on its stream.
const Shards = 64

// Shard returns the number of the stream that holds a key.
func Shard(key string) int { return int(xxhash.Sum64String(key) % Shards) }

// StreamName returns the name of a shard's log stream.
func StreamName(shard int) string { return fmt.Sprintf("claims-%02d", shard) }
