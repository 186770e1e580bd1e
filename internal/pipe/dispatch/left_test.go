package dispatch

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
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
		CheckBeforeSend: func(context.Context, *opaque.Request) error { return errors.New("not now") },
		HoldWhile: func(_ *opaque.Request, waits func() bool) func() {
			held = !waits()
			return func() { done = true }
		},
	})
	s.request.Writer = exchange.NewWriter(httptest.NewRecorder())
	require.Error(t, p.Run(s.request))
	assert.True(t, held)
	assert.True(t, done)
}
