package mesh

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/streams"
)

// record returns the record of the n-th stream.
func record(n int) streams.Record {
	return streams.Record{ID: streams.IDOf(fmt.Sprint("s", n)), Origin: streams.OriginKey(n + 1)}
}

// known counts the streams of which a box finds out the origin by asking others.
func (b *box) known(f *fixture, count int) int {
	known := 0
	for n := range count {
		answers, _ := b.AskOrigin(f.t.Context(), record(n).ID, namekey.Of("p"))
		for _, a := range answers {
			if a.Origin == record(n).Origin {
				known++
			}
		}
	}
	return known
}

// startStreamFleet starts boxes in three failure domains and waits until they know each other.
func (f *fixture) startStreamFleet(boxes int) {
	for i := range boxes {
		f.start(fmt.Sprint("d", i%3))
	}
	advance(f.t, time.Minute)
}

// TestOrigins guards against a stream whose version is lost with the box that began it.
func TestOrigins(t *testing.T) {
	const count = 20
	records := []streams.Record{}
	for n := range count {
		records = append(records, record(n))
	}
	for _, boxes := range []int{3, 6, 40, largeTestFleet} {
		t.Run(fmt.Sprintf("are known in a fleet of %d boxes without the one that told them", boxes), func(t *testing.T) {
			runInBubble(t, func(f *fixture) {
				f.startStreamFleet(boxes)
				f.boxes[0].TellOrigins(records)
				advance(f.t, 10*time.Millisecond)
				f.network.SetPartition(func(from, to string) bool { return from == "box-0" || to == "box-0" })
				assert.Equal(f.t, count, f.boxes[1].known(f, count))
				assert.Equal(f.t, count, f.boxes[2].known(f, count))
			})
		})
		t.Run(fmt.Sprintf("are known in a fleet of %d boxes if a failure domain is cut off", boxes), func(t *testing.T) {
			runInBubble(t, func(f *fixture) {
				f.startStreamFleet(boxes)
				f.boxes[0].TellOrigins(records)
				advance(f.t, 10*time.Millisecond)
				cutOff := map[string]bool{}
				for _, b := range f.boxes {
					cutOff[b.self.Box] = b.self.FailureDomain == "d2"
				}
				f.network.SetPartition(func(from, to string) bool { return cutOff[from] != cutOff[to] })
				if boxes > 3 {
					assert.Equal(f.t, count, f.boxes[4].known(f, count))
				}
				_, all := f.boxes[1].AskOrigin(f.t.Context(), 77, namekey.Of("p"))
				assert.False(f.t, all, "a failure domain has not answered")
			})
		})
	}
	t.Run("are known if a datagram is lost", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startStreamFleet(6)
			f.boxes[0].TellOrigins(records)
			lost := 0
			f.network.SetPacketLoss(func() bool {
				lost++
				return lost%4 == 0
			})
			assert.Equal(f.t, count, f.boxes[1].known(f, count))
		})
	})
	t.Run("boxes of an earlier release are neither told nor asked, nor read for others, nor continue streams", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startStreamFleet(4)
			first := f.boxes[0]
			// A report that arrives undoes what the test sets.
			setOld := func() {
				synctest.Wait()
				first.Mesh.mu.Lock()
				defer first.Mesh.mu.Unlock()
				first.peers["box-1"].keepsStreams, first.peers["box-3"].keepsStreams = false, false
			}
			setOld()
			first.TellOrigins(records)
			synctest.Wait()
			assert.Zero(f.t, f.boxes[1].recorded()+f.boxes[3].recorded())
			assert.Equal(f.t, count, f.boxes[2].recorded())
			setOld()
			assert.Equal(f.t, count, first.known(f, count))
			setOld()
			assert.True(f.t, first.IsStoreReader())
			for range 10 {
				setOld()
				to, found := first.ForwardTarget(ForwardRequest{Pool: namekey.Of("p"), Continues: true})
				assert.True(f.t, found)
				assert.Equal(f.t, "box-2", to.Box)
			}
		})
	})
	t.Run("messages of the wrong form are ignored", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startStreamFleet(2)
			for _, data := range [][]byte{{0x82, 16, 3}, {0x81, 17}, {0x84, 18, 1, 1, 1}, {0x80}, {0x82, 19, 3}, {0x82, 20, 0x80}, {0x82, 22, 3}} {
				before := f.boxes[0].Sizes().Ignored
				_, err := f.boxes[1].write(f.boxes[0].self.Address, data)
				require.NoError(f.t, err)
				advance(f.t, 10*time.Millisecond)
				assert.Equal(f.t, before+1, f.boxes[0].Sizes().Ignored, "%x", data)
			}
		})
	})
}

// TestOriginBytes bounds the bytes of a stream that is told while two versions serve. At 2,500 boxes and 59,000
// requests a second, 24 of them a box, streams may use half of the 3 KB a second in both directions if half of the
// requests begin one.
func TestOriginBytes(t *testing.T) {
	const limit = 3000 / 2 / (24 / 2) / 2
	for _, boxes := range []int{6, largeTestFleet} {
		runInBubble(t, func(f *fixture) {
			f.startStreamFleet(boxes)
			const count = 50
			before := f.boxes[0].Sizes().SentBytes
			for n := range count {
				f.boxes[0].TellOrigins([]streams.Record{record(n)})
			}
			each := (f.boxes[0].Sizes().SentBytes - before) / count
			f.t.Logf("%d boxes: %d bytes a stream", boxes, each)
			assert.LessOrEqual(f.t, each, int64(limit))
		})
	}
}

// BenchmarkStreamOwners measures the choice of a stream's owners at target size.
func BenchmarkStreamOwners(b *testing.B) {
	m := New(Dependencies{
		Self: Identity{Box: "box-0", FailureDomain: "d0", Address: "127.0.0.1:1"}, Clock: clock.New(), PeriodMs: 250,
		Random: rand.New(rand.NewPCG(1, 2)),
	})
	for i := 1; i < 2500; i++ {
		box := fmt.Sprint("box-", i)
		m.peers[box] = &peer{
			Identity:   Identity{Box: box, FailureDomain: fmt.Sprint("d", i%8), Address: "127.0.0.1:1"},
			lastSeenMs: m.clock.Monotonic(), firstSeenMs: 1, keepsStreams: true,
		}
	}
	m.directPeers = len(m.peers)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		m.streamOwnersLocked(streams.ID(n), m.ownersPerStreamLocked())
	}
}
