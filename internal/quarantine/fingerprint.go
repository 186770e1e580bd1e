// Package quarantine tracks which requests were running on upstreams that crashed. A request that
// crashes every upstream that starts to run it is recognised when the caller retries it, and is
// rejected for some time.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
)

// Fingerprint identifies the content of a request. A retry under another request ID has the same
// fingerprint.
type Fingerprint uint64

// String returns the fingerprint in the form used in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Request holds the parts of a request that its fingerprint covers.
type Request struct {
	Method       string
	Host         string
	Target       string
	Organisation string
	Body         []byte
}

// Fingerprint returns the fingerprint of the request. It is a cryptographic hash, so that no
// organisation can craft a request with the fingerprint of another organisation's request. Hashing
// takes 0.7 µs for a body of 500 bytes and 0.8 ms for one of 1 MiB (BenchmarkFingerprint).
func (r Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.Target, r.Organisation} {
		writeLength(h, len(part))
		h.Write([]byte(part))
	}
	h.Write(r.Body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// writeLength writes the length of a part before the part itself, so that different requests never
// yield the same input to the hash.
func writeLength(h hash.Hash, length int) {
	h.Write(binary.AppendUvarint(nil, uint64(length)))
}
