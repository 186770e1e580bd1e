package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestNewsBesideSilentConnections guards against boxes that send requests to an upstream that drains because the
// connections between boxes, on which they were to hear of it, went silent for good.
func TestNewsBesideSilentConnections(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		f.upstream("u1", respondWith("done"))
		f.upstream("u2", respondWith("done"))
		boxes := f.boxes(4)
		advance(f.t, 2*time.Second)
		for _, id := range []string{"u1", "u2"} {
			f.network.SilenceOpen(func(from, to string) bool {
				return strings.HasPrefix(from, "box") && strings.HasPrefix(to, "box")
			})
			f.setDraining(id)
			// A read of the store, a gossip period and a call between boxes.
			advance(f.t, 700*time.Millisecond)
			for _, b := range boxes {
				for _, u := range b.registry.All() {
					assert.True(f.t, u.ID > id || u.Draining, "%s at %s", u.ID, b.settings.Box)
				}
			}
		}
	})
}
