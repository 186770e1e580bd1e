package mesh

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
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

// TestStoreReaderOfEarlierRelease guards against a list of upstreams that nobody confirms while the only reader of a
// failure domain runs a release that doesn't tell its age.
func TestStoreReaderOfEarlierRelease(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		t := f.t
		for range 3 {
			f.start("d1")
		}
		advance(t, 2*time.Second)
		readers := func(of ...*box) []string {
			names := []string{}
			for _, b := range of {
				if b.IsStoreReader() {
					names = append(names, b.self.Box)
				}
			}
			return names
		}
		before := readers(f.boxes...)
		require.Len(t, before, 1)
		rest := slices.DeleteFunc(slices.Clone(f.boxes), func(b *box) bool { return b.self.Box == before[0] })
		synctest.Wait()
		for _, b := range rest {
			b.Mesh.mu.Lock()
			b.peers[before[0]].confirmsUpstreams = false
			b.Mesh.mu.Unlock()
		}
		assert.Len(t, readers(rest...), 1, "the boxes of this release choose one of their own")
	})
}
