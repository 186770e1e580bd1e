package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestUnresponsiveStoreReader guards against a store reader that stops answering but is not
// replaced. In a large fleet a box counts as alive for minutes after its last message, because each
// box is pinged rarely, although the store reader is pinged in each round. While an unresponsive
// reader still counted as alive, all other boxes of its domain read the store themselves.
func TestUnresponsiveStoreReader(t *testing.T) {
	runLargeFleet(t, func(f *fixture) {
		t := f.t
		readers := func() []*box {
			list := []*box{}
			for _, b := range f.boxes {
				if b.self.FailureDomain == "d1" && b.IsStoreReader() {
					list = append(list, b)
				}
			}
			return list
		}
		before := readers()
		if !assert.Len(t, before, 1) {
			return
		}
		isolated := before[0].self.Box
		f.network.SetPartition(func(from, to string) bool { return from == isolated || to == isolated })
		advance(t, 5*time.Second)
		after := readers()
		assert.Len(t, after, 2, "the isolated reader and its successor")
	})
}
