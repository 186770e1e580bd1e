package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// loadOf returns arrivals within a span. Of the first ones, one in a number finds its server above the bound, until as
// many have as given.
func loadOf(arrivals, overloaded, oneIn int, span time.Duration) []loadArrival {
	list := make([]loadArrival, arrivals)
	for i := range list {
		list[i] = loadArrival{at: time.Time{}.Add(span * time.Duration(i) / time.Duration(arrivals)), held: 5, total: 10}
		if i%oneIn == 0 && i < overloaded*oneIn {
			list[i].held = 6
		}
	}
	return list
}

// TestWindowsOf violates the load bound in single windows, as a router with that fault would.
func TestWindowsOf(t *testing.T) {
	const servers = 10
	for _, c := range []struct {
		name                        string
		arrivals, overloaded, oneIn int
		span                        time.Duration
		violated                    bool
	}{
		{"more than 3 in 100 within five seconds", 600, 20, 1, 6 * time.Second, true},
		{"3 in 100", 840, 21, 1, 6 * time.Second, false},
		{"fewer than 20", 100, 19, 1, 6 * time.Second, false},
		{"a window among many", 10_000, 20, 1, 90 * time.Second, true},
		{"the same number in a longer time", 10_000, 20, 500, 90 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			stats := windowsOf(loadOf(c.arrivals, c.overloaded, c.oneIn, c.span), servers)
			assert.Equal(t, c.violated, len(stats.findings()) > 0, "%+v", stats)
			assert.Equal(t, c.overloaded, stats.Overloaded)
		})
	}
	t.Run("a server at the bound", func(t *testing.T) {
		a := loadArrival{held: 5, total: 10}
		assert.False(t, a.overloaded(servers), "twice the mean of one, and three")
	})
}

// TestServerLoads guards against requests that count after their end, or that count the one that arrives.
func TestServerLoads(t *testing.T) {
	l := newServerLoads(2)
	one, two := &server{}, &server{}
	release := l.hold(one)
	l.hold(two)
	release()
	release = l.hold(one)
	assert.Equal(t, 2, l.total)
	release()
	assert.Equal(t, map[*server]int{one: 0, two: 1}, l.held)
}
