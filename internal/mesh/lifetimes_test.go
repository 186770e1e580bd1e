package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// restartAfter starts the next process of a box whose process has ended, after a span.
func (f *fixture) restartAfter(number int, span time.Duration) *box {
	f.t.Helper()
	f.boxes[number].stop()
	synctest.Wait()
	advance(f.t, span)
	others := f.boxes
	f.boxes, f.restarts = others[:number:number], int64(clock.New().Now())
	next := f.start(others[number].self.FailureDomain)
	f.boxes = append(f.boxes, others[number+1:]...)
	return next
}

// startFleet starts boxes in two failure domains, which run for some time.
func (f *fixture) startFleet(boxes int) {
	f.t.Helper()
	f.restarts = int64(clock.New().Now())
	for i := range boxes {
		f.start([]string{"d0", "d1"}[i%2])
	}
	advance(f.t, 20*time.Second)
}

// leave lets a process announce that it stops, and that it has stopped.
func (b *box) leave() {
	b.BroadcastDraining()
	b.BroadcastEnd()
}

// restartsSeen returns the restarts that all boxes reported, apart from those they are no witnesses of.
func (f *fixture) restartsSeen() []Restart {
	seen := []Restart{}
	for _, b := range f.boxes {
		b.mu.Lock()
		for _, r := range b.restartsSeen {
			if r.Witness {
				seen = append(seen, r)
			}
		}
		b.mu.Unlock()
	}
	return seen
}

// told returns how the box was told that earlier processes of it had ended.
func (b *box) told() []ProcessEnd {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ends
}

// endings returns how the processes have ended of which the box was told.
func (b *box) endings() []Ending {
	endings := []Ending{}
	for _, e := range b.told() {
		endings = append(endings, e.Ending)
	}
	return endings
}

// TestLastProcess guards against processes that end without a line, of which nobody can tell.
func TestLastProcess(t *testing.T) {
	for name, downFor := range map[string]time.Duration{
		"at once": 0, "within the alive timeout": time.Second, "after it": 5 * time.Second, "after the box was forgotten": 3 * time.Minute,
	} {
		t.Run("that was killed is told "+name, func(t *testing.T) {
			runInBubble(t, func(f *fixture) {
				f.startFleet(6)
				next := f.restartAfter(2, downFor)
				advance(f.t, 5*time.Second)
				require.Equal(f.t, []Ending{EndedWithoutLeaving}, next.endings())
				end := next.told()[0]
				assert.NotEmpty(f.t, end.ToldBy)
				assert.InDelta(f.t, downFor.Milliseconds()+int64(tellAfterMs), int64(end.SilentMs), 600)
				assert.InDelta(f.t, 20_000, int64(end.RanMs), 600)
				seen := f.restartsSeen()
				require.Len(f.t, seen, restartWitnesses)
				for _, r := range seen {
					assert.Equal(f.t, next.self.Box, r.Box)
					assert.Equal(f.t, EndedWithoutLeaving, r.Ending)
					assert.InDelta(f.t, downFor.Milliseconds(), int64(r.SilentMs), 600)
					assert.InDelta(f.t, 20_000, int64(r.RanMs), 600)
				}
			})
		})
		t.Run("that left is told "+name, func(t *testing.T) {
			runInBubble(t, func(f *fixture) {
				f.startFleet(6)
				f.boxes[2].leave()
				next := f.restartAfter(2, downFor)
				advance(f.t, 5*time.Second)
				assert.Equal(f.t, []Ending{EndedInOrder}, next.endings())
				assert.Empty(f.t, f.restartsSeen())
			})
		})
	}
	t.Run("that was killed while it drained", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startFleet(6)
			f.boxes[2].BroadcastDraining()
			next := f.restartAfter(2, time.Second)
			advance(f.t, 5*time.Second)
			assert.Equal(f.t, []Ending{EndedWhileStopping}, next.endings())
			assert.Len(f.t, f.restartsSeen(), restartWitnesses)
		})
	})
	t.Run("of an earlier release that drained has left", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startFleet(3)
			old := f.boxes[2].self
			for _, b := range f.boxes[:2] {
				b.handle(&packet{Type: typeUpdate, From: old, Draining: true}, nil)
			}
			next := f.restartAfter(2, time.Second)
			advance(f.t, 5*time.Second)
			assert.Equal(f.t, []Ending{EndedInOrder}, next.endings())
		})
	})
	t.Run("two that are killed within the alive timeout are both told", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startFleet(6)
			f.restartAfter(2, 300*time.Millisecond)
			advance(f.t, 400*time.Millisecond)
			next := f.restartAfter(2, 300*time.Millisecond)
			advance(f.t, 5*time.Second)
			require.Equal(f.t, []Ending{EndedWithoutLeaving, EndedWithoutLeaving}, next.endings())
			assert.InDelta(f.t, 400, int64(next.told()[1].RanMs), 200)
			assert.Len(f.t, f.restartsSeen(), 2*restartWitnesses)
		})
	})
	t.Run("is told once each", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startFleet(6)
			for range 3 {
				next := f.restartAfter(2, time.Second)
				advance(f.t, 10*time.Second)
				require.Equal(f.t, []Ending{EndedWithoutLeaving}, next.endings())
			}
		})
	})
	t.Run("isn't told in a fleet that starts anew", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startFleet(6)
			for _, b := range f.boxes {
				b.stop()
			}
			synctest.Wait()
			f.boxes = nil
			f.startFleet(6)
			for _, b := range f.boxes {
				assert.Empty(f.t, b.told())
			}
			assert.Empty(f.t, f.restartsSeen())
		})
	})
	t.Run("is told after the clock of the box was set back", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startFleet(6)
			f.boxes[2].stop()
			synctest.Wait()
			others := f.boxes
			f.boxes, f.restarts = others[:2:2], -1000
			next := f.start("d0")
			f.boxes = append(f.boxes, others[3:]...)
			advance(f.t, 3*minAliveMs.Duration())
			require.Equal(f.t, []Ending{EndedWithoutLeaving}, next.endings())
			assert.Zero(f.t, next.told()[0].RanMs, "it is not known")
		})
	})
	t.Run("is told in a large fleet, and seen by one box", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startFleet(largeFleetBoxes + 40)
			advance(f.t, 20*time.Second)
			next := f.restartAfter(2, time.Second)
			advance(f.t, 20*time.Second)
			require.Equal(f.t, []Ending{EndedWithoutLeaving}, next.endings())
			advance(f.t, 2*time.Minute)
			assert.Len(f.t, f.restartsSeen(), 1)
		})
	})
}

// TestReplacedProcess guards against a process that is told to have ended by itself, since another one replaced it in
// order while it still ran.
func TestReplacedProcess(t *testing.T) {
	t.Run("has ended in order", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startFleet(6)
			former, next := f.replace(2)
			advance(f.t, 5*time.Second)
			assert.Empty(f.t, next.told(), "it still runs")
			former.BroadcastEnd()
			former.stop()
			advance(f.t, 2*formerTimeoutMs.Duration())
			assert.Equal(f.t, []Ending{EndedInOrder}, next.endings())
			assert.Empty(f.t, f.restartsSeen())
		})
	})
	t.Run("is no restart at boxes that drain themselves", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startFleet(6)
			for _, b := range f.boxes[3:] {
				b.BroadcastDraining()
			}
			for range 8 {
				// The rounds of boxes begin at different times after this one.
				advance(f.t, 1030*time.Millisecond)
				f.replace(2)
			}
			advance(f.t, time.Second)
			assert.Empty(f.t, f.restartsSeen())
		})
	})
	t.Run("has ended in order among boxes that drain themselves", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startFleet(3)
			for _, b := range f.boxes[:2] {
				b.BroadcastDraining()
			}
			advance(f.t, time.Second)
			f.boxes[2].leave()
			next := f.restartAfter(2, time.Second)
			advance(f.t, 5*time.Second)
			assert.Equal(f.t, []Ending{EndedInOrder}, next.endings())
		})
	})
	t.Run("was killed", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			f.startFleet(6)
			former, next := f.replace(2)
			advance(f.t, 5*time.Second)
			former.stop()
			advance(f.t, 2*formerTimeoutMs.Duration())
			assert.Equal(f.t, []Ending{EndedWhileStopping}, next.endings())
		})
	})
}
