package deadline

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

func TestLastResponseLeavesBeforeTheDeadline(t *testing.T) {
	limits := Limits{RoundTripMs: 10, MaxLeadMs: 250, MaxLeadPercent: 5}
	for _, c := range []struct {
		name             string
		waitMs           clock.Millis
		path             Path
		latenessMs, want clock.Millis
	}{
		{"a near caller on a kept connection", 3000, Path{RoundTripMs: 1}, 0, 11},
		{"a far one", 3000, Path{RoundTripMs: 30}, 0, 31},
		{"the connection was opened for the request", 3000, Path{RoundTripMs: 30, New: true}, 0, 61},
		{"the caller took its time after the handshake", 3000, Path{RoundTripMs: 30, New: true, OpeningMs: 20}, 0, 81},
		{"the box is late", 3000, Path{}, 40, 51},
		{"a short deadline limits the lead to a share of it", 100, Path{RoundTripMs: 30}, 40, 5},
		{"the setting limits it", 60_000, Path{RoundTripMs: 300, New: true}, 40, 250},
		{"no time", 0, Path{RoundTripMs: 30}, 40, 0},
		{"a deadline that has passed", -100, Path{RoundTripMs: 30}, 40, 0},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, limits.LeadMs(c.waitMs, c.path, c.latenessMs)) })
	}
}

func TestLatenessIsForgotten(t *testing.T) {
	l := &Lateness{}
	l.Observe(1000, 30)
	l.Observe(2000, 10)
	assert.Equal(t, clock.Millis(30), l.UsualMs(3000))
	l.Observe(7000, 5)
	assert.Equal(t, clock.Millis(30), l.UsualMs(9000), "the span before counts")
	assert.Equal(t, clock.Millis(5), l.UsualMs(13_000))
	assert.Zero(t, l.UsualMs(40_000))
}

// TestRareDelaysAreNotUsual guards against sound responses that are given up for seconds after one long delay.
func TestRareDelaysAreNotUsual(t *testing.T) {
	l := &Lateness{}
	for range 100 {
		l.Observe(1000, 2)
	}
	l.Observe(1000, 300)
	assert.Equal(t, clock.Millis(2), l.UsualMs(1000))
	for range 10 {
		l.Observe(1000, 40)
	}
	assert.Equal(t, clock.Millis(40), l.UsualMs(1000))
	l.Observe(1000, 1_000_000)
	l.Observe(1000, -1)
	assert.Equal(t, clock.Millis(40), l.UsualMs(1000), "values out of range")
}
