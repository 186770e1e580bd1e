// Package streams finds out which software version began a stream that a caller takes up, perhaps at another box.
// Upstreams of several versions may serve side by side, and what two versions write doesn't fit together: a stream may
// go on only at the version that began it.
package streams

import "github.com/cespare/xxhash/v2"

// Origin is where the first event of a stream came from. Upstreams of the same origin may continue the stream.
type Origin struct {
	Pool string
	// Version is the software version of the upstream, or "" if upstreams don't report one.
	Version string
}

// OriginKey is the hash of an origin. Boxes exchange it instead of the origin. It is short since it only has to tell
// apart the few versions that the pools of a route run.
type OriginKey uint32

// Unknown is the key of an unknown origin.
const Unknown OriginKey = 0

// Key returns the key of the origin. It is never Unknown.
func (o Origin) Key() OriginKey {
	return max(1, OriginKey(xxhash.Sum64String(o.Pool+"\x00"+o.Version)))
}

// ID identifies a stream: the hash of the ID of the request that brought its first event.
type ID uint64

// IDOf returns the ID of the stream that a request began.
func IDOf(request string) ID { return ID(xxhash.Sum64String(request)) }

// Record tells the origin of a stream.
type Record struct {
	_      struct{} `cbor:",toarray"`
	ID     ID
	Origin OriginKey
}
