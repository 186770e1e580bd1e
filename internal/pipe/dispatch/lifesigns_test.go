package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

// TestLifeSigns guards against an upstream that has crashed, but counts as one that outlived the request.
func TestLifeSigns(t *testing.T) {
	for _, c := range []struct {
		name    string
		partsMs []clock.Millis
		want    bool
	}{
		{"a response of one part", []clock.Millis{0}, false},
		{"a response that ends before a fatal part would crash its upstream", []clock.Millis{0, 20, 90, 400}, false},
		{"a response that goes on for a second", []clock.Millis{0, 100, 600, 900, 1100}, true},
		{"a box that stood still after the first part", []clock.Millis{0, 5000, 5000, 5001}, false},
		{"a response with pauses", []clock.Millis{0, 2000, 4000}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			signs, outlived := lifeSigns{}, false
			for _, at := range c.partsMs {
				outlived = signs.record(10_000+at) || outlived
			}
			assert.Equal(t, c.want, outlived)
		})
	}
}
