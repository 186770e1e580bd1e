// Package quarantine remembers under which requests upstreams ended, so that a request
// that ends whatever upstream begins to run it is recognised when it comes again.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
)

// Fingerprint stands for what a request asks. A caller that sends the same again under
// another request id has the same fingerprint.
type Fingerprint uint64

// String is the fingerprint as lines write it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Request is what a fingerprint is made of.
type Request struct {
	Method       string
	Host         string
	Target       string
	Organisation string
	Body         []byte
}

// Fingerprint returns the request's fingerprint. The hash is a cryptographic one, so that no
// organisation can make a request that stands for another's: 0.7 µs for a body of 500 bytes,
// 0.8 ms for one of 1 MiB (BenchmarkFingerprint).
func (r Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.Target, r.Organisation} {
		writeLength(h, len(part))
		h.Write([]byte(part))
	}
	h.Write(r.Body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// writeLength keeps parts apart, so that no two requests share their bytes.
func writeLength(h hash.Hash, length int) {
	h.Write(binary.AppendUvarint(nil, uint64(length)))
}
