package dispatch

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/internal/streams"
	"dooryard.example/dooryard/internal/upstream"
)

// TestUnconfirmedEndIsRejectedOnlyIfOthersGoOn guards against parts of responses that pass for whole although another
// attempt would show the rest, and against whole ones that are lost because nothing can confirm them.
func TestUnconfirmedEndIsRejectedOnlyIfOthersGoOn(t *testing.T) {
	const resumable, otherStream, buffered = "a resumable stream", "another stream", "a response that is no stream"
	known := &streams.Origin{Pool: "p", Version: "v1"}
	for _, c := range []struct {
		name, of  string
		found     upstream.Survival
		origin    *streams.Origin
		retracted bool
		sent      int
		budget    bool
		want      bool
	}{
		{"that another upstream continues", resumable, upstream.Unchecked, known, false, 1, true, true},
		{"whose attempts are used up", resumable, upstream.Unchecked, known, false, 2, true, false},
		{"whose retry the budget does not pay", resumable, upstream.Unchecked, known, false, 1, false, false},
		{"whose upstream was found to have restarted", resumable, upstream.Unchecked, known, true, 2, true, true},
		{"whose upstream was doubtful from the beginning", resumable, upstream.Unchecked, nil, true, 1, true, false},
		{"whose attempts are used up, after health checks without response", resumable, upstream.Unanswered, known, false, 2, true, true},
		{"after health checks without response", otherStream, upstream.Unanswered, known, false, 1, true, false},
		{"that nothing can confirm", otherStream, upstream.Unchecked, known, false, 1, true, false},
		{"that another upstream repeats", buffered, upstream.Unanswered, known, false, 1, true, true},
		{"whose attempts are used up", buffered, upstream.Unanswered, known, false, 2, true, false},
		{"whose retry the budget does not pay", buffered, upstream.Unanswered, known, false, 1, false, false},
		{"that nothing can confirm", buffered, upstream.Unchecked, known, false, 1, true, false},
	} {
		t.Run(c.of+" "+c.name, func(t *testing.T) {
			s, _ := newLoop(t)
			s.request.Route = &routing.Route{Kind: routing.Stream, Resumable: c.of == resumable, Attempts: 2}
			if c.of == buffered {
				s.request.Route.Kind = routing.Safe
			}
			s.request.Dialect, s.request.State, s.request.Sent = &opaque.Dialect{}, &routing.State{}, c.sent
			s.request.RespondByMs = clock.New().Monotonic() + clock.Second
			s.request.Writer, s.request.Origin = exchange.NewWriter(httptest.NewRecorder()), c.origin
			s.pipe = New(Dependencies{
				Clock: clock.New(), OriginRetracted: func(*opaque.Request) bool { return c.retracted },
				CanRetry:       func(string) bool { return true },
				MayRetry:       func(string) bool { return c.budget },
				RecheckKey:     func(*opaque.Request) error { return nil },
				RespondsWithin: func(string, clock.Millis) bool { return true },
				NoneWithin:     func(string, clock.Millis) bool { return false },
				HasCandidate:   func(balance.PickRequest) bool { return true },
			})
			if c.of != buffered {
				s.stream = &stream{request: s.request, completeOnly: c.of == resumable, dataSent: true}
				s.request.RelayedID = "1"
				s.stream.mayGoOn.Store(s.stream.resumable())
			}
			assert.Equal(t, c.want, s.rejectsUnconfirmed(responseSource{origin: c.origin, recordsOrigin: true}, c.found))
		})
	}
}
