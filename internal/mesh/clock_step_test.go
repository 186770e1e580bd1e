package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRestartAfterClockWasSetBack guards against a box that others take for gone or draining for a minute, since the
// machine's clock was set back before it restarted.
func TestRestartAfterClockWasSetBack(t *testing.T) {
	for name, end := range map[string]func(b *box){
		"killed":  func(*box) {},
		"stopped": func(b *box) { b.BroadcastDraining() },
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(f *fixture) {
				other := f.start("d")
				f.restarts = 100
				ended := f.start("d")
				advance(f.t, time.Second)
				require.Equal(f.t, 2, other.Boxes())
				end(ended)
				ended.stop()
				synctest.Wait()
				f.boxes, f.restarts = f.boxes[:1], 50
				next := f.start("d")
				next.setInFlight(loads{"u": 2})
				advance(f.t, 2*minAliveMs.Duration())
				assert.Equal(f.t, 2, other.Boxes())
				assert.Equal(f.t, loads{"u": 2}.keyed(), other.OthersInFlight())
			})
		})
	}
}

// TestLateDatagramOfFormerProcess guards against a datagram of an earlier process that counts after one of the next.
func TestLateDatagramOfFormerProcess(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		other := f.start("d")
		ended := f.start("d")
		advance(f.t, time.Second)
		late := &packet{Type: typePing, From: ended.self, Draining: true}
		ended.stop()
		synctest.Wait()
		f.boxes, f.restarts = f.boxes[:1], 1
		f.start("d")
		advance(f.t, 2*minAliveMs.Duration())
		require.Equal(f.t, 2, other.Boxes())
		assert.Empty(f.t, other.recordPeer(late))
		assert.Equal(f.t, 2, other.Boxes())
	})
}
