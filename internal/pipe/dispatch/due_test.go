package dispatch

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
)

// TestEndOfUnbegunResponses guards against requests of callers that have left which count as acts of a punctual box, and
// against responses that are ended although they have begun.
func TestEndOfUnbegunResponses(t *testing.T) {
	const dueMs = clock.Second
	for _, c := range []struct {
		name              string
		leavesMs          clock.Millis
		responding, waits bool
		// silentMs is since when a response that has not arrived whole is silent when the last one must leave.
		silentMs        clock.Millis
		observed, ended bool
	}{
		{name: "a silent upstream", observed: true, ended: true},
		{name: "a response that has begun", responding: true, observed: true},
		{name: "a part of one that has just arrived", silentMs: stalledMs - 1, observed: true},
		{name: "one that stalls", silentMs: stalledMs, observed: true, ended: true},
		{name: "one that waits to be read", waits: true, observed: true},
		{name: "a caller that has left", leavesMs: dueMs / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _ := newLoop(t)
				observed, ended := false, false
				s.pipe = New(Dependencies{Clock: clock.New(), OnDue: func(*opaque.Request) { observed = true }})
				s.cancel = func() { ended = true }
				s.responding.Store(c.responding)
				if c.silentMs > 0 {
					s.progressMs.Store(int64(s.pipe.deps.Clock.Monotonic() + dueMs - c.silentMs))
				}
				hasUnread := func() bool { return c.waits }
				s.hasUnread.Store(&hasUnread)
				caller, leave := context.WithCancel(t.Context())
				defer leave()
				beforeDue, endDue := s.pipe.deps.Clock.WithTimeout(caller, dueMs)
				defer endDue()
				s.beforeDue = beforeDue
				defer context.AfterFunc(beforeDue, s.endUnbegun)()
				if c.leavesMs > 0 {
					require.NoError(t, clock.New().Sleep(t.Context(), c.leavesMs))
					leave()
				}
				require.NoError(t, clock.New().Sleep(t.Context(), 2*dueMs))
				synctest.Wait()
				assert.Equal(t, c.observed, observed)
				assert.Equal(t, c.ended, ended)
			})
		})
	}
}
