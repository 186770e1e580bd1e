package dispatch

import (
	"context"
	"io"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
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
				from := responseSource{onPart: ignore, onBody: ignore, onBroken: ignore}
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
		tooLate       bool
		canceled      bool
	}{
		{"the origin is known", "id: 1\ndata: a\n\n", routing.Stream, known, true, false, true},
		{"the origin is doubtful", "id: 1\ndata: a\n\n", routing.Stream, nil, true, false, false},
		{"the origin is doubtful before the first event", "id: 1\n", routing.Stream, nil, true, false, true},
		{"events have no ids", "data: a\n\n", routing.Stream, known, true, false, false},
		{"another box chose the upstream", "id: 1\ndata: a\n\n", routing.Stream, nil, false, false, false},
		{"upstreams need more time than is left", "id: 1\ndata: a\n\n", routing.Stream, known, true, true, false},
		{"another box chose the upstream, before the first event", "id: 1\n", routing.Stream, nil, false, false, false},
		{"it may not run twice", "id: 1\ndata: a\n\n", routing.Unsafe, known, true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _ := newLoop(t)
				s.request.Route = &routing.Route{Kind: c.kind, Resumable: true, Attempts: 2, MaxGapMs: gapMs}
				s.request.Dialect, s.request.Writer = &opaque.Dialect{}, exchange.NewWriter(httptest.NewRecorder())
				used := clock.New()
				s.request.State, s.request.DeadlineMs = &routing.State{}, used.Monotonic()+20*gapMs
				yes := func() bool { return true }
				s.pipe = New(Dependencies{
					Clock: used, OriginRetracted: func(*opaque.Request) bool { return false },
					RecheckKey: func(*opaque.Request) error { return nil },
					CanRetry:   func(string) bool { return true }, MayRetry: func(string) bool { return true },
					OnStreamOrigin: func(*opaque.Request) {}, NoneWithin: func(string, clock.Millis) bool { return c.tooLate },
					OnEnd:          func(opaque.EndCheck) {},
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
					origin: c.origin, recordsOrigin: c.recordsOrigin, isFinal: !c.recordsOrigin, onPart: func() {}, onBody: func() {},
					onBroken: func() {}, survival: func() upstream.Survival { return upstream.Responding },
				}
				_ = s.relayStream(from, response, cancel)
				assert.Equal(t, c.canceled, ctx.Err() != nil)
				cancel(nil)
			})
		})
	}
}

// endlessEvent is a body of one event that never ends, of which it counts the bytes.
type endlessEvent struct{ bytes int }

// Read implements io.Reader.
func (e *endlessEvent) Read(data []byte) (int, error) {
	if e.bytes > 2*maxEventBytes {
		return 0, io.EOF
	}
	for i := range data {
		data[i] = 'x'
	}
	e.bytes += len(data)
	return len(data), nil
}

// TestEndlessEventIsNotHeld guards against an event that an upstream never ends and that fills the memory of the box.
func TestEndlessEventIsNotHeld(t *testing.T) {
	memory := exchange.NewMemory(64 << 20)
	s := newResumableStream(t, memory)
	body := &endlessEvent{}
	from := responseSource{onPart: func() {}, onBody: func() {}, onBroken: func() {}}
	failed := s.relayStream(from, responseOf(body, -1), func(error) {})
	require.ErrorIs(t, failed.err, errEventTooLong)
	assert.Less(t, body.bytes, maxEventBytes+2*streamBufferBytes)
	sizes := memory.Sizes()
	assert.Positive(t, sizes.PeakBytes)
	assert.Zero(t, sizes.UsedBytes)
}

// newResumableStream returns the loop of a request for a resumable stream.
func newResumableStream(t *testing.T, memory *exchange.Memory) *retryLoop {
	t.Helper()
	s, _ := newLoop(t)
	s.request.Route = &routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 1}
	s.request.Dialect, s.request.Writer = &opaque.Dialect{}, exchange.NewWriter(httptest.NewRecorder())
	s.request.State = &routing.State{}
	s.pipe = New(Dependencies{
		Memory: memory, Clock: clock.New(), OriginRetracted: func(*opaque.Request) bool { return false },
		OnStreamOrigin: func(*opaque.Request) {}, OnEnd: func(opaque.EndCheck) {}, RecordEvent: func(decision.Event) {},
	})
	return s
}

// TestLongEventsFitIntoTheMemory guards against a box whose memory is used up by streams with long events.
func TestLongEventsFitIntoTheMemory(t *testing.T) {
	const streams, limit = 40, 4 << 20
	synctest.Test(t, func(t *testing.T) {
		memory, recorders := exchange.NewMemory(limit), [streams]*httptest.ResponseRecorder{}
		event := "id: 1\ndata: " + strings.Repeat("x", maxEventBytes*3/4) + "\n\n"
		var running sync.WaitGroup
		for i := range streams {
			recorders[i] = httptest.NewRecorder()
			running.Go(func() {
				s := newResumableStream(t, memory)
				s.request.Writer = exchange.NewWriter(recorders[i])
				s.request.DeadlineMs = clock.New().Monotonic() + 60*clock.Second
				s.newRequest()
				body, sent := io.Pipe()
				go func() {
					for part := range slices.Chunk([]byte(event+event), 64<<10) {
						_ = clock.New().Sleep(t.Context(), 10)
						_, _ = sent.Write(part)
					}
					_ = sent.Close()
				}()
				response := responseOf(body, -1)
				response.TransferEncoding = []string{"chunked"}
				from := responseSource{onPart: func() {}, onBody: func() {}, onBroken: func() {}}
				assert.Nil(t, s.relayStream(from, response, func(error) {}))
			})
		}
		running.Wait()
		for _, r := range recorders {
			assert.Equal(t, 2*len(event), r.Body.Len())
		}
		sizes := memory.Sizes()
		assert.Zero(t, sizes.UsedBytes)
		assert.Positive(t, sizes.Waits)
		assert.LessOrEqual(t, sizes.PeakBytes, int64(limit))
	})
}
