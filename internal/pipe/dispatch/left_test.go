package dispatch

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/routing"
)

// TestCallerLeftBeforeSend guards against requests that are sent for a caller that has left since an upstream was
// picked, and cut right afterwards.
func TestCallerLeftBeforeSend(t *testing.T) {
	left := opaque.NewRefusal(opaque.StatusCallerDisconnected, opaque.CallerDisconnected, 0, errors.New("left"))
	s, _ := newLoop(t)
	s.request.Dialect, s.request.Route = &opaque.Dialect{}, &routing.Route{}
	s.pipe = New(Dependencies{
		Clock: clock.New(), Rescreen: func(*opaque.Request) error { return nil },
		CheckCaller: func(*opaque.Request) error { return left },
	})
	err := s.buildRequest(&balance.Lease{Member: &balance.Member{}}).BeforeSend()
	refusal := (*opaque.RefusalError)(nil)
	require.ErrorAs(t, err, &refusal)
	assert.Equal(t, opaque.CallerDisconnected, refusal.Cause)
}

// TestHoldWhileResponseWaits guards against a connection that is not told of a response that waits to be read, or is
// still asked about it after the request.
func TestHoldWhileResponseWaits(t *testing.T) {
	s, memory := newLoop(t)
	held, done := false, false
	s.request.Route = &routing.Route{}
	p := New(Dependencies{
		Clock: clock.New(), Memory: memory, GraceEnded: t.Context(), OnFirstSend: func(string) {},
		OnDue:           func(*opaque.Request) {},
		CheckBeforeSend: func(context.Context, *opaque.Request) error { return errors.New("not now") },
		HoldWhile: func(_ *opaque.Request, waits func() bool) func() {
			held = !waits()
			return func() { done = true }
		},
	})
	require.Error(t, p.Run(s.request))
	assert.True(t, held)
	assert.True(t, done)
}

// TestOnDueOnlyWhenDue guards against callers that leave early and are counted as if the box had acted on time.
func TestOnDueOnlyWhenDue(t *testing.T) {
	for name, c := range map[string]struct {
		leavesAfter time.Duration
		due         int32
	}{"a caller that leaves": {20 * time.Millisecond, 0}, "one that stays": {time.Minute, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, memory := newLoop(t)
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				defer time.AfterFunc(c.leavesAfter, leave).Stop()
				var due atomic.Int32
				now := clock.New()
				p := New(Dependencies{
					Clock: now, Memory: memory, GraceEnded: t.Context(), OnFirstSend: func(string) {},
					OnDue: func(*opaque.Request) { due.Add(1) },
					CheckBeforeSend: func(ctx context.Context, _ *opaque.Request) error {
						<-ctx.Done()
						return ctx.Err()
					},
					HoldWhile: func(*opaque.Request, func() bool) func() { return func() {} },
				})
				s.request.Route = &routing.Route{}
				s.request.HTTP = httptest.NewRequestWithContext(ctx, http.MethodGet, "/", http.NoBody)
				s.request.DeadlineMs = now.Monotonic() + clock.Second
				s.request.RespondByMs = s.request.DeadlineMs
				require.Error(t, p.Run(s.request))
				synctest.Wait()
				assert.Equal(t, c.due, due.Load())
			})
		})
	}
}
