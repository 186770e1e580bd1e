package mesh

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/namekey"
)

// TestLoadOfFormerProcessThatIsToldLate guards against requests that count twice, because a datagram from before the
// handover arrives after it.
func TestLoadOfFormerProcessThatIsToldLate(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		other, former := f.start("d"), f.start("d")
		former.setInFlight(loads{"u": 3})
		advance(f.t, 1100*time.Millisecond)
		late, err := net.ResolveUDPAddr("udp", former.self.Address)
		require.NoError(f.t, err)
		p := former.packet(typeUpdate, 0)
		f.giveUp(former)
		advance(f.t, 100*time.Millisecond)
		other.handle(p, late)
		for range 8 {
			assert.Equal(f.t, 3, other.OthersInFlight()[namekey.Of("u")])
			advance(f.t, 500*time.Millisecond)
		}
	})
}
