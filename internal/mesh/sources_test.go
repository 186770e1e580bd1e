package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// In a large fleet a box counts as there for minutes after it was last heard, since each is asked
// that seldom. The box that reads the store for a failure domain is asked in each round; while it
// still counted though it answered nobody, all others of its domain read the store themselves.
func TestSilentSourceOfLargeFleet(t *testing.T) {
	largeTest(t, func(f *fixture) {
		t := f.t
		readers := func() []*box {
			list := []*box{}
			for _, b := range f.boxes {
				if b.self.FailureDomain == "d1" && b.IsSource() {
					list = append(list, b)
				}
			}
			return list
		}
		before := readers()
		if !assert.Len(t, before, 1) {
			return
		}
		gone := before[0].self.Box
		f.network.SetCut(func(from, to string) bool { return from == gone || to == gone })
		pass(t, 5*time.Second)
		after := readers()
		assert.Len(t, after, 2, "the one that is cut off, and its successor")
	})
}
