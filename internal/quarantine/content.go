// Package quarantine remembers under which requests upstreams ended, so that a request
// that ends whatever upstream begins to run it is recognised when it comes again.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
)

// Content stands for what a request asks. A caller that sends the same again under
// another request id sends the same content.
type Content uint64

// String is the content as lines write it.
func (c Content) String() string { return fmt.Sprintf("%016x", uint64(c)) }

// Request is what a content is made of.
type Request struct {
	Method       string
	Host         string
	Target       string
	Organisation string
	Body         []byte
}

// Content returns the request's content. The hash is a cryptographic one, so that no
// organisation can make a request that stands for another's: 0.7 µs for a body of 500 bytes,
// 0.8 ms for one of 1 MiB (BenchmarkContent).
func (r Request) Content() Content {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.Target, r.Organisation} {
		writeLength(h, len(part))
		h.Write([]byte(part))
	}
	h.Write(r.Body)
	return Content(binary.BigEndian.Uint64(h.Sum(nil)))
}

// writeLength keeps parts apart, so that no two requests share their bytes.
func writeLength(h hash.Hash, length int) {
	h.Write(binary.AppendUvarint(nil, uint64(length)))
}
