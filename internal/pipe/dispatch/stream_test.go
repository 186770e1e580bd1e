package dispatch

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/internal/streams"
	"dooryard.example/dooryard/internal/upstream"
)

// TestStreamThatEndsAtTheDeadline guards against the part of a stream that an upstream has made until the deadline, at
// which it stops in order, and that passes for whole because this process ran late.
func TestStreamThatEndsAtTheDeadline(t *testing.T) {
	const deadlineMs clock.Millis = 3000
	for _, c := range []struct {
		name     string
		endMs    clock.Millis
		complete bool
	}{
		{"ends before", deadlineMs - 1, true},
		{"ends at the deadline", deadlineMs, false},
		{"ends later", deadlineMs + 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _ := newLoop(t)
				s.request.Route = &routing.Route{Kind: routing.Stream}
				s.request.Dialect, s.request.Writer = &opaque.Dialect{}, exchange.NewWriter(httptest.NewRecorder())
				s.request.State = &routing.State{}
				now := clock.New()
				s.pipe = New(Dependencies{Clock: now, OnEnd: func(opaque.EndCheck) {}})
				s.request.DeadlineMs = now.Monotonic() + deadlineMs
				s.newRequest()
				body, rest := io.Pipe()
				go func() {
					_ = now.Sleep(t.Context(), c.endMs)
					_ = rest.Close()
				}()
				response := responseOf(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), body), -1)
				response.TransferEncoding = []string{"chunked"}
				ignore := func() {}
				from := responseSource{onPart: ignore, onStart: ignore, onBroken: ignore}
				failed := s.relayStream(from, response, func(error) {})
				assert.Equal(t, c.complete, failed == nil)
			})
		})
	}
}

// TestPausingStreamIsCanceledOnlyToGoOn guards against a stream that is broken off because it pauses, although nothing
// may continue it.
func TestPausingStreamIsCanceledOnlyToGoOn(t *testing.T) {
	const gapMs clock.Millis = 300
	known := &streams.Origin{Pool: "p", Version: "v1"}
	for _, c := range []struct {
		name, begin   string
		kind          routing.Kind
		origin        *streams.Origin
		recordsOrigin bool
		canceled      bool
	}{
		{"the origin is known", "id: 1\ndata: a\n\n", routing.Stream, known, true, true},
		{"the origin is doubtful", "id: 1\ndata: a\n\n", routing.Stream, nil, true, false},
		{"the origin is doubtful before the first event", "id: 1\n", routing.Stream, nil, true, true},
		{"events have no ids", "data: a\n\n", routing.Stream, known, true, false},
		{"another box chose the upstream", "id: 1\ndata: a\n\n", routing.Stream, nil, false, false},
		{"it may not run twice", "id: 1\ndata: a\n\n", routing.Unsafe, known, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _ := newLoop(t)
				s.request.Route = &routing.Route{Kind: c.kind, Resumable: true, Attempts: 2, MaxGapMs: gapMs}
				s.request.Dialect, s.request.Writer = &opaque.Dialect{}, exchange.NewWriter(httptest.NewRecorder())
				s.request.State = &routing.State{}
				yes := func() bool { return true }
				s.pipe = New(Dependencies{
					Clock: clock.New(), OriginRetracted: func(*opaque.Request) bool { return false },
					CanRetry: func(string) bool { return true }, OnStreamOrigin: func(*opaque.Request) {}, OnEnd: func(opaque.EndCheck) {},
					RespondsWithin: func(string, clock.Millis) bool { return true },
					HasCandidate:   func(balance.PickRequest) bool { return yes() },
				})
				ctx, cancel := context.WithCancelCause(t.Context())
				body, rest := io.Pipe()
				// The upstream pauses for ten times as long as is acceptable, or until its attempt is canceled.
				go func() {
					_ = clock.New().Sleep(ctx, 10*gapMs)
					_ = rest.Close()
				}()
				response := responseOf(io.MultiReader(strings.NewReader(c.begin), body), -1)
				from := responseSource{
					origin: c.origin, recordsOrigin: c.recordsOrigin, onPart: func() {}, onStart: func() {},
					onBroken: func() {}, survival: func() upstream.Survival { return upstream.Responding },
				}
				_ = s.relayStream(from, response, cancel)
				assert.Equal(t, c.canceled, ctx.Err() != nil)
				cancel(nil)
			})
		})
	}
}
