package mesh

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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

// TestPartEvents checks how soon all boxes know a fatal part when each crash is observed by a different box, that one box
// of the fleet sends trial requests, and that boxes of the last release ignore the reports.
func TestPartEvents(t *testing.T) {
	// crash lets three boxes record one crash each.
	crash := func(f *fixture) {
		for i := range 3 {
			f.boxes[i].recordPartCrash("u"+strconv.Itoa(i), partsOf("fatal"))
		}
	}
	holding := func(f *fixture) int {
		count := 0
		for _, b := range f.boxes {
			if b.parts.Recheck(partsOf("fatal")).Refused() {
				count++
			}
		}
		return count
	}
	for _, c := range []struct {
		boxes  int
		within time.Duration
	}{{6, 100 * time.Millisecond}, {74, 100 * time.Millisecond}, {150, 6 * time.Second}} {
		t.Run("reach "+strconv.Itoa(c.boxes)+" boxes within "+c.within.String(), func(t *testing.T) {
			runInBubble(t, func(f *fixture) {
				for i := range c.boxes {
					f.start("d" + strconv.Itoa(i%3))
				}
				advance(f.t, 6*time.Second)
				crash(f)
				advance(f.t, c.within)
				assert.Equal(f.t, c.boxes, holding(f))
			})
		})
	}
	t.Run("one box sends the trial requests with a part", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			for i := range 9 {
				f.start("d" + strconv.Itoa(i%3))
			}
			advance(f.t, 6*time.Second)
			for part := range quarantine.PartKey(50) {
				count := 0
				for _, b := range f.boxes {
					if b.SendsTrials(part) {
						count++
					}
				}
				assert.Equal(f.t, 1, count)
			}
		})
	})
	t.Run("are ignored by boxes of the last release", func(t *testing.T) {
		p := packet{
			Type: typePing, From: Identity{Box: "b", FailureDomain: "d", Address: "127.0.0.1:1"},
			PartEvents: []quarantine.PartEvent{{Part: 1, Pool: 2, Upstream: 3}}, PartEventsNext: 4,
		}
		data, err := p.encode()
		require.NoError(t, err)
		var earlier struct {
			Type packetType `cbor:"1,keyasint"`
			From Identity   `cbor:"2,keyasint"`
		}
		require.NoError(t, cbor.Unmarshal(data, &earlier))
		assert.Equal(t, p.From, earlier.From)
	})
}
