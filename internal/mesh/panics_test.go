package mesh

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/prompt"
)

// TestMeshOutlivesPanics guards against a box that ends because a round or a datagram of another box makes it panic.
func TestMeshOutlivesPanics(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		rounds, datagrams := atomic.Int64{}, atomic.Int64{}
		defer guard.Handle(func(p guard.Panic) {
			if p.Part == "gossip round" {
				rounds.Add(1)
			} else {
				datagrams.Add(1)
			}
		})()
		one, two := f.start("d"), f.start("d")
		announce := func(list []prompt.CachedPart) {
			one.mu.Lock()
			one.announcements = list
			one.mu.Unlock()
		}
		announce([]prompt.CachedPart{{Part: namekey.Key(1), Upstream: 7}})
		advance(f.t, 2*time.Second)
		// What was sent before is out of range now.
		announce(nil)
		advance(f.t, 2*time.Second)
		assert.NotZero(f.t, rounds.Load())
		assert.NotZero(f.t, datagrams.Load())
		announce([]prompt.CachedPart{{Part: namekey.Key(1), Upstream: 7}, {Part: namekey.Key(2), Upstream: 7}})
		advance(f.t, 2*time.Second)
		assert.Equal(f.t, 2, two.Boxes())
		two.mu.Lock()
		defer two.mu.Unlock()
		assert.Len(f.t, two.received, 2)
	})
}
