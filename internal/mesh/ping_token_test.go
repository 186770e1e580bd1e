package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestReplyToEarlierProcess guards against a confirmation of a time that was measured by the clock of an earlier process.
func TestReplyToEarlierProcess(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		t := f.t
		one, two := f.start("d"), f.start("d")
		advance(t, time.Second)
		reply := func(token int64) *packet {
			return &packet{Type: typeReply, From: one.self, PingToken: token, StateSummary: StateSummary{Version: 99}}
		}
		ofEarlier := two.pingToken(two.clock.Monotonic())
		two.stop()
		advance(t, time.Second)
		f.boxes, f.restarts = f.boxes[:1], 1
		restarted := f.start("d")
		advance(t, 3*time.Second)
		handled := func(token int64) PeerState {
			restarted.handle(reply(token), nil)
			restarted.mu.Lock()
			defer restarted.mu.Unlock()
			require.NotEmpty(t, restarted.answers)
			return restarted.answers[len(restarted.answers)-1]
		}
		last := handled(ofEarlier)
		assert.Equal(t, int64(99), last.StateSummary.Version, "the state itself is news")
		assert.Zero(t, last.PingedMs)
		now := restarted.clock.Monotonic()
		assert.Equal(t, now, handled(restarted.pingToken(now)).PingedMs)
		assert.Zero(t, handled(restarted.pingToken(now+1)).PingedMs, "a time in the future")
	})
}
