package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/prompt"
)

// PartKey identifies a part of a prompt. It does not depend on the organisation or the pool, since a part may crash
// upstreams whatever else the request holds.
type PartKey uint64

// String returns the key in the form used in logs.
func (k PartKey) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// PartKeyOf returns the key of a part by its ID. It is a cryptographic hash, so that no caller can craft a part with
// the key of another one.
func PartKeyOf(id string) PartKey {
	sum := sha256.Sum256([]byte(id))
	return PartKey(binary.BigEndian.Uint64(sum[:]))
}

// maxPartsPerRequest limits the parts of a prompt that are judged. Hashing as many takes 40 µs.
const maxPartsPerRequest = 256

// Parts are the parts of a request's prompt that other requests may share, and the pool that the request is sent to.
type Parts struct {
	Pool namekey.Key
	Keys []PartKey
}

// PartsOf returns the shared parts of a prompt. Of a prompt with more parts than are judged, it returns the first ones.
func PartsOf(pool string, p prompt.Prompt) Parts {
	shared := p.Shared()
	if len(shared) == 0 {
		return Parts{}
	}
	shared = shared[:min(len(shared), maxPartsPerRequest)]
	parts := Parts{Pool: namekey.Of(pool), Keys: make([]PartKey, len(shared))}
	for i, part := range shared {
		parts.Keys[i] = PartKeyOf(part.ID)
	}
	return parts
}
