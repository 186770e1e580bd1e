package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/occupancy"
)

// grantAll grants each permit.
func grantAll(*Lease, int) occupancy.Reply { return occupancy.Reply{Granted: true} }

// TestBrittle guards against a box that goes on sending to a brittle upstream after a rejection, or that sends without a
// permit.
func TestBrittle(t *testing.T) {
	brittle := func(t *testing.T, members, maxRejections, boxes int) *fixture {
		t.Helper()
		f := newFixture(t, members)
		f.SetFleetSize(boxes)
		lease := f.pick(t, PickRequest{Pool: "p"})
		lease.RecordBrittleness(maxRejections)
		lease.Release(Succeeded)
		return f
	}
	t.Run("after a rejection the upstream gets nothing until the box may cause another one", func(t *testing.T) {
		for _, c := range []struct {
			boxes, maxRejections int
			pauseMs              clock.Millis
		}{{6, 3, 2000}, {6, 30, minRejectionPauseMs}, {300, 10, maxRejectionPauseMs}} {
			f := brittle(t, 1, c.maxRejections, c.boxes)
			lease := f.pick(t, PickRequest{Pool: "p"})
			require.True(t, lease.RecordRejection())
			lease.Release(Rejected)
			f.now += c.pauseMs - 1
			_, err := f.Pick(PickRequest{Pool: "p"})
			require.ErrorIs(t, err, ErrAllFull)
			f.now++
			lease, err = f.Pick(PickRequest{Pool: "p"})
			if c.pauseMs < brittleTTLMs {
				require.NoError(t, err)
				assert.True(t, lease.strict)
			}
		}
	})
	t.Run("a rejection ejects no upstream", func(t *testing.T) {
		f := brittle(t, 1, 3, 6)
		for range 10 {
			lease := f.pick(t, PickRequest{Pool: "p"})
			lease.RecordRejection()
			lease.Release(Rejected)
			f.now += 2 * clock.Second
			lease.RecordBrittleness(3)
		}
	})
	t.Run("an upstream with no free slot gets nothing", func(t *testing.T) {
		f := brittle(t, 1, 3, 6)
		for range f.list[0].Slots {
			f.pick(t, PickRequest{Pool: "p"})
		}
		for _, request := range []PickRequest{{Pool: "p"}, sticky("s")} {
			_, err := f.PickWithPermit(request, grantAll)
			require.ErrorIs(t, err, ErrAllFull)
		}
	})
	t.Run("a request whose permits owners refuse is not sent", func(t *testing.T) {
		f := brittle(t, 12, 3, 6)
		asked := 0
		for _, request := range []PickRequest{{Pool: "p"}, sticky("s")} {
			asked = 0
			_, err := f.PickWithPermit(request, func(*Lease, int) occupancy.Reply {
				asked++
				return occupancy.Reply{}
			})
			require.ErrorIs(t, err, ErrAllFull)
			assert.Equal(t, maxBrittleRefusals, asked)
		}
		assert.Empty(t, f.InFlight())
	})
	t.Run("an engine gets no more than the load bound allows, below its slots", func(t *testing.T) {
		f := brittle(t, 6, 3, 6)
		for range 12 {
			_, err := f.PickWithPermit(sticky("s"), grantAll)
			require.NoError(t, err)
		}
		for _, count := range f.InFlight() {
			assert.LessOrEqual(t, count, 2*12/6+3)
		}
	})
	t.Run("a session stays with its engine", func(t *testing.T) {
		f, g := brittle(t, 12, 3, 6), newFixture(t, 12)
		assert.Equal(t, g.pick(t, sticky("s")).ID, f.pick(t, sticky("s")).ID)
	})
	t.Run("upstreams are no longer brittle some time after the last response that said so", func(t *testing.T) {
		f := brittle(t, 3, 3, 6)
		assert.Equal(t, map[string]int{"p": 3}, f.Brittle())
		f.now += brittleTTLMs
		assert.Empty(t, f.Brittle())
		lease := f.pick(t, PickRequest{Pool: "p"})
		assert.False(t, lease.strict)
		assert.False(t, lease.RecordRejection())
	})
}
