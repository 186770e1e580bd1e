package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/routing"
)

// TestUnreadResponseIsNoSilence guards against a box that gets little processor time and breaks off responses whose
// next part has arrived.
func TestUnreadResponseIsNoSilence(t *testing.T) {
	const span clock.Millis = 400
	synctest.Test(t, func(t *testing.T) {
		s, _ := newLoop(t)
		s.pipe = New(Dependencies{
			Clock: clock.New(), MayRetry: func(string) bool { return true },
			RecheckKey: func(*opaque.Request) error { return nil },
		})
		s.request.Dialect, s.request.Route = &opaque.Dialect{}, &routing.Route{}
		waits, canceled := atomic.Bool{}, atomic.Bool{}
		hasUnread := waits.Load
		s.newRequest().OnSend(hasUnread)
		waits.Store(true)
		timer := s.startRetryTimer(span, func(clock.Millis) bool { return true }, func(cause error) {
			require.ErrorIs(t, cause, errTimeout)
			canceled.Store(true)
		})
		defer timer.stop()
		wait := func(ms clock.Millis) {
			require.NoError(t, clock.New().Sleep(context.Background(), ms))
			synctest.Wait()
		}
		wait(5 * span)
		assert.False(t, canceled.Load(), "while the response waits to be read")
		waits.Store(false)
		wait(span)
		assert.True(t, canceled.Load(), "once the upstream is silent")
	})
}
