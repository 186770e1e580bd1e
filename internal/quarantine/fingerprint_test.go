package quarantine

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestFingerprint(t *testing.T) {
	base := Request{Method: "POST", Host: "a.example", Target: "/a/1", Organisation: "one", Body: []byte("x")}
	t.Run("is the same for the same request", func(t *testing.T) {
		again := base
		again.Body = []byte("x")
		assert.Equal(t, base.Fingerprint(), again.Fingerprint())
	})
	t.Run("depends on each part and on the boundaries between parts", func(t *testing.T) {
		seen := map[Fingerprint]bool{base.Fingerprint(): true}
		for _, change := range []func(r *Request){
			func(r *Request) { r.Method = "PUT" },
			func(r *Request) { r.Host = "b.example" },
			func(r *Request) { r.Target = "/a/2" },
			func(r *Request) { r.Organisation = "two" },
			func(r *Request) { r.Body = []byte("y") },
			func(r *Request) { r.Target, r.Organisation = "/a/1o", "ne" },
			func(r *Request) { r.Organisation, r.Body = "onex", nil },
		} {
			other := base
			change(&other)
			assert.False(t, seen[other.Fingerprint()])
			seen[other.Fingerprint()] = true
		}
	})
}

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{500, 1 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r := Request{Method: "POST", Host: "a.example", Target: "/a/1", Organisation: "one", Body: bytes.Repeat([]byte("x"), size)}
			b.ReportAllocs()
			for range b.N {
				_ = r.Fingerprint()
			}
		})
	}
}
