// Package claim makes sure that a request which may not be repeated runs at most
// once. Each such request is claimed on the platform's log before it is sent;
// the first claim in log order wins, whoever made it.
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

// Sentinel errors of claims.
var (
	// ErrUnavailable means that no verdict came in time. The claimant must not
	// send the request any more.
	ErrUnavailable = errors.New("claim log unavailable")
	// ErrMalformed means that a record could not be decoded.
	ErrMalformed = errors.New("malformed claim record")
)

// Type is what a record does.
type Type string

// Types of a record.
const (
	// TypeClaim asks for the key.
	TypeClaim Type = "claim"
	// TypeSettle records how the winner's request ended.
	TypeSettle Type = "settle"
	// TypeRelease says that the claimant has not sent its request and never
	// will, so that another claim may win the key.
	TypeRelease Type = "release"
)

// Bounds of a record.
const (
	keyBytes   = 18
	maxIDBytes = 64
	maxBatch   = 500
	// MaxAnswerBytes is the longest body that a settle record keeps.
	MaxAnswerBytes = 8 << 10
)

// Record is one entry of a claim stream. Field names are short: records are most
// of the log's bytes.
type Record struct {
	Type Type `json:"t"`
	// Key is the hash of the organisation and its idempotency key.
	Key string `json:"k"`
	// Owner is the id of the request that claims.
	Owner string `json:"o"`
	// Digest is the hash of what was asked, so that a key is not used for two
	// different things.
	Digest string `json:"d,omitempty"`
	// Answer is how the request ended, in a TypeSettle record.
	Answer *Answer `json:"a,omitempty"`
}

// Answer is what the caller got, kept for callers that ask again.
type Answer struct {
	Status      int    `json:"s"`
	ContentType string `json:"c,omitempty"`
	Body        []byte `json:"b,omitempty"`
	// Cut is set when the body was too long to be kept.
	Cut bool `json:"x,omitempty"`
	// Unknown is set when the request may have run and its answer was not seen.
	Unknown bool `json:"u,omitempty"`
}

// UnmarshalJSON decodes and checks a record.
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

// Batch is the content of one log record: several claim records in order.
type Batch struct {
	Records []Record `json:"records"`
}

// NewKey returns the key of an organisation's idempotency key.
func NewKey(organisation, idempotencyKey string) string {
	return shortHash([]byte(organisation), []byte(idempotencyKey))
}

// NewDigest returns the digest of what a request asks for.
func NewDigest(method, path string, body []byte) string {
	return shortHash([]byte(method), []byte(path), body)
}

func shortHash(parts ...[]byte) string {
	digest := sha256.New()
	for _, part := range parts {
		// Writes to a digest never fail.
		_, _ = digest.Write([]byte(strconv.Itoa(len(part)) + ":"))
		_, _ = digest.Write(part)
	}
	return base64.RawURLEncoding.EncodeToString(digest.Sum(nil)[:keyBytes])
}

// Shards is the fixed number of claim streams. It bounds the log's appends for
// claims (shards times batches a second) and never changes, for a key must stay
// on its stream.
const Shards = 64

// Shard returns the number of the stream of a key.
func Shard(key string) int { return int(xxhash.Sum64String(key) % Shards) }

// StreamName returns the name of a shard's log stream.
func StreamName(shard int) string { return fmt.Sprintf("claims-%02d", shard) }
