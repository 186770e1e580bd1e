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

// TestCrashEvents checks how soon all boxes know the fingerprint under which upstreams crashed,
// when each crash is observed by a different box.
func TestCrashEvents(t *testing.T) {
	const fingerprint quarantine.Fingerprint = 7
	// recordThree lets three boxes record one crash each.
	recordThree := func(f *fixture) {
		for i := range 3 {
			f.boxes[i].ledger.RecordCrash(fingerprint, namekey.Of("u"+strconv.Itoa(i)))
		}
	}
	start := func(f *fixture, boxes int) {
		for range boxes {
			f.start("d")
		}
		advance(f.t, 6*time.Second)
	}
	t.Run("reach six boxes within a round", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			start(f, 6)
			recordThree(f)
			advance(f.t, 300*time.Millisecond)
			assert.Equal(f.t, 6, f.quarantining(fingerprint))
		})
	})
	t.Run("reach 74 boxes within three rounds", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			start(f, 74)
			recordThree(f)
			advance(f.t, 750*time.Millisecond)
			assert.Equal(f.t, 74, f.quarantining(fingerprint))
		})
	})
	t.Run("reach the 150 boxes of a large fleet within 6 s", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			start(f, 150)
			recordThree(f)
			advance(f.t, 6*time.Second)
			assert.Equal(f.t, 150, f.quarantining(fingerprint))
		})
	})
	t.Run("reach both boxes when half of the datagrams are lost", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			start(f, 2)
			random := rand.New(rand.NewPCG(1, 2))
			f.network.SetPacketLoss(func() bool { return random.IntN(2) == 0 })
			for i := range 3 {
				f.boxes[i%2].ledger.RecordCrash(fingerprint, namekey.Of("u"+strconv.Itoa(i)))
			}
			advance(f.t, 3*time.Second)
			assert.Equal(f.t, 2, f.quarantining(fingerprint))
		})
	})
	t.Run("reach a box that starts later", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			start(f, 3)
			recordThree(f)
			advance(f.t, 30*time.Second)
			f.start("d")
			advance(f.t, time.Second)
			assert.Equal(f.t, 4, f.quarantining(fingerprint))
		})
	})
	t.Run("reach both sides of a partition once it heals", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			start(f, 4)
			left := map[string]bool{"box-0": true, "box-1": true}
			f.network.SetPartition(func(from, to string) bool { return left[from] != left[to] })
			recordThree(f)
			advance(f.t, 5*time.Second)
			assert.Zero(f.t, f.quarantining(fingerprint))
			f.network.SetPartition(func(string, string) bool { return false })
			advance(f.t, time.Second)
			assert.Equal(f.t, 4, f.quarantining(fingerprint))
		})
	})
	t.Run("an answered request ends the quarantine on all boxes", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			start(f, 4)
			recordThree(f)
			advance(f.t, time.Second)
			f.boxes[3].ledger.RecordAnswer(fingerprint)
			advance(f.t, time.Second)
			assert.Zero(f.t, f.quarantining(fingerprint))
		})
	})
	t.Run("are not sent again to a box that acknowledged them", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			start(f, 3)
			recordThree(f)
			advance(f.t, 2*time.Second)
			first := f.boxes[0]
			p := first.forReceiver(first.packet(typePing, 0), "box-1")
			assert.Empty(f.t, p.CrashEvents)
		})
	})
}
