package mesh

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/quarantine"
)

// TestEndings shows how soon all boxes know under which fingerprint upstreams ended, each end
// seen by another box.
func TestEndings(t *testing.T) {
	const fingerprint quarantine.Fingerprint = 7
	// three has three boxes see an end each.
	three := func(f *fixture) {
		for i := range 3 {
			f.boxes[i].ledger.Ended(fingerprint, namekey.Of("u"+strconv.Itoa(i)))
		}
	}
	start := func(f *fixture, boxes int) {
		for range boxes {
			f.start("d")
		}
		pass(f.t, 6*time.Second)
	}
	t.Run("six boxes within a round", func(t *testing.T) {
		bubble(t, func(f *fixture) {
			start(f, 6)
			three(f)
			pass(f.t, 300*time.Millisecond)
			assert.Equal(f.t, 6, f.holding(fingerprint))
		})
	})
	t.Run("74 boxes within three rounds", func(t *testing.T) {
		bubble(t, func(f *fixture) {
			start(f, 74)
			three(f)
			pass(f.t, 750*time.Millisecond)
			assert.Equal(f.t, 74, f.holding(fingerprint))
		})
	})
	t.Run("150 boxes, a large fleet, within 6 s", func(t *testing.T) {
		bubble(t, func(f *fixture) {
			start(f, 150)
			three(f)
			pass(f.t, 6*time.Second)
			assert.Equal(f.t, 150, f.holding(fingerprint))
		})
	})
	t.Run("two boxes of which half of the datagrams are lost", func(t *testing.T) {
		bubble(t, func(f *fixture) {
			start(f, 2)
			random := rand.New(rand.NewPCG(1, 2))
			f.network.SetLoss(func() bool { return random.IntN(2) == 0 })
			for i := range 3 {
				f.boxes[i%2].ledger.Ended(fingerprint, namekey.Of("u"+strconv.Itoa(i)))
			}
			pass(f.t, 3*time.Second)
			assert.Equal(f.t, 2, f.holding(fingerprint))
		})
	})
	t.Run("a box that starts later, from any other one", func(t *testing.T) {
		bubble(t, func(f *fixture) {
			start(f, 3)
			three(f)
			pass(f.t, 30*time.Second)
			f.start("d")
			pass(f.t, time.Second)
			assert.Equal(f.t, 4, f.holding(fingerprint))
		})
	})
	t.Run("both sides of a cut once it heals", func(t *testing.T) {
		bubble(t, func(f *fixture) {
			start(f, 4)
			left := map[string]bool{"box-0": true, "box-1": true}
			f.network.SetCut(func(from, to string) bool { return left[from] != left[to] })
			three(f)
			pass(f.t, 5*time.Second)
			assert.Zero(f.t, f.holding(fingerprint))
			f.network.SetCut(func(string, string) bool { return false })
			pass(f.t, time.Second)
			assert.Equal(f.t, 4, f.holding(fingerprint))
		})
	})
	t.Run("an answer lets it go everywhere", func(t *testing.T) {
		bubble(t, func(f *fixture) {
			start(f, 4)
			three(f)
			pass(f.t, time.Second)
			f.boxes[3].ledger.Answered(fingerprint)
			pass(f.t, time.Second)
			assert.Zero(f.t, f.holding(fingerprint))
		})
	})
	t.Run("a box that was told everything is told nothing again", func(t *testing.T) {
		bubble(t, func(f *fixture) {
			start(f, 3)
			three(f)
			pass(f.t, 2*time.Second)
			first := f.boxes[0]
			p := first.addressed(first.packet(typePing, 0), "box-1")
			assert.Empty(f.t, p.Endings)
		})
	})
}
