package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/pkg/config"
)

// bounded are the defaults with bounds on freshness.
func bounded(leaveMs, inForceMs, maxAgeMs int64, graceS float64) config.Gateway {
	g := config.Gateway{}
	g.Freshness = config.Freshness{LeaveMs: leaveMs, InForceMs: inForceMs, MaxAgeMs: maxAgeMs}
	g.Shutdown.GraceS = graceS
	return defaults(g)
}

func TestTimingOf(t *testing.T) {
	for _, c := range []struct {
		name string
		g    config.Gateway
		want timing
	}{
		{"the usual bounds", bounded(2000, 2000, 5000, 8), timing{periodMs: 250, pollMs: 1000, lapseMs: 1700, noticeMs: 2600}},
		{"leaving in half the time", bounded(1000, 2000, 0, 8), timing{periodMs: 100, pollMs: 300, lapseMs: 700, noticeMs: 2600}},
		{"versions in half the time", bounded(2000, 1000, 0, 8), timing{periodMs: 100, pollMs: 300, lapseMs: 1700, noticeMs: 2600}},
		{"the shortest that settings take", bounded(650, 650, 0, 8), timing{periodMs: 41, pollMs: 68, lapseMs: 350, noticeMs: 2600}},
		{"long bounds", bounded(9000, 9000, 0, 30), timing{periodMs: 250, pollMs: 1000, lapseMs: 1700, noticeMs: 2600}},
		{"keys that are trusted for a short time", bounded(3000, 3000, 1000, 8), timing{periodMs: 250, pollMs: 500, lapseMs: 1700, noticeMs: 2600}},
		{"a short grace", bounded(2000, 2000, 0, 3), timing{periodMs: 250, pollMs: 1000, lapseMs: 1700, noticeMs: 1500}},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, timingOf(c.g)) })
	}
	t.Run("a box reads by itself in time to keep the shorter bound", func(t *testing.T) {
		for _, leave := range []int64{650, 800, 1000, 1500, 2000, 3000, 5000} {
			for _, inForce := range []int64{650, 1000, 2000, 4000} {
				g := bounded(leave, inForce, 0, 8)
				at := timingOf(g).ownReadAgeMs(g, timingOf(g).periodMs)
				assert.LessOrEqual(t, at, clock.Millis(min(leave, inForce))-ownReadLeadMs, "%d %d", leave, inForce)
			}
		}
	})
	t.Run("a poll that is set is kept", func(t *testing.T) {
		g := bounded(2000, 2000, 0, 8)
		g.Store.PollMs = 700
		assert.Equal(t, clock.Millis(700), PollMs(g))
	})
}

// TestLeavingBounds has an upstream's entry disappear right after the store was away for a
// while, when that may mean nothing, and one leave while its failure domain's source is
// silent. Either way no work may reach it later than the operators allow.
func TestLeavingBounds(t *testing.T) {
	for _, leaveMs := range []int64{1000, 2000} {
		bound := func(g *config.Gateway) { g.Freshness.LeaveMs, g.Freshness.MaxAgeMs = leaveMs, 0 }
		t.Run(fmt.Sprintf("an entry that disappears after the store's return, %d ms", leaveMs), func(t *testing.T) {
			bubble(t, func(f *fleet) {
				f.upstream("u1", answer("one"))
				f.upstream("u2", answer("two"))
				b := f.box(1, bound)
				pass(f.t, time.Second)
				f.store.setAway("box-1", true)
				pass(f.t, 3*time.Second)
				f.store.setAway("box-1", false)
				f.store.remove("u1")
				pass(f.t, clock.Millis(leaveMs).Duration())
				for range 20 {
					_, body, err := b.get("/safe/")
					require.NoError(f.t, err)
					assert.Equal(f.t, "two", body)
				}
			})
		})
		t.Run(fmt.Sprintf("a silent source, %d ms", leaveMs), func(t *testing.T) {
			bubble(t, func(f *fleet) {
				f.upstream("u1", answer("done"))
				first := f.box(1, bound)
				boxes := []*running{first}
				for i := 2; i <= 3; i++ {
					boxes = append(boxes, f.box(i, bound, func(g *config.Gateway) { g.Contacts = []string{first.settings.PeersAddress} }))
				}
				pass(f.t, 3*time.Second)
				f.store.setSilent(sourceOf(boxes).settings.Box, true)
				f.leaves("u1")
				pass(f.t, clock.Millis(leaveMs).Duration())
				for _, b := range boxes {
					assertStatus(f.t, b, "/safe/", http.StatusServiceUnavailable)
				}
			})
		})
	}
}
