package inbound

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// TestCuts guards against a connection that is closed with a request on it and leaves no trace.
func TestCuts(t *testing.T) {
	const wholeHead = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	begin := func(w http.ResponseWriter) {
		_, _ = io.WriteString(w, "begun")
		_ = http.NewResponseController(w).Flush()
	}
	for _, c := range []struct {
		name, sent string
		handler    http.HandlerFunc
		// leaves makes the caller reset its connection once it has a part of the response.
		leaves bool
		want   CutReason
	}{
		{"before a response", wholeHead, abort, false, NoResponse},
		{"in the midst of a response", wholeHead, func(w http.ResponseWriter, r *http.Request) {
			begin(w)
			abort(w, r)
		}, false, ResponseIncomplete},
		{"by the caller", wholeHead, func(w http.ResponseWriter, r *http.Request) {
			begin(w)
			<-r.Context().Done()
			abort(w, r)
		}, true, CallerLeft},
		{"in the midst of a head", wholeHead[:len(wholeHead)/2], abort, false, HeadIncomplete},
		{"after a response", wholeHead, func(w http.ResponseWriter, r *http.Request) {
			begin(w)
			ConnOf(r.Context()).EndRequest()
		}, false, ""},
		{"without a request", "", abort, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			cuts := make(chan Cut, 2)
			l := NewListener(inner, 1, nil, clock.New(), WithCuts(func(c Cut) { cuts <- c }))
			headerTimeout := time.Minute
			switch c.sent {
			case wholeHead:
			case "":
				headerTimeout = time.Millisecond
			default:
				headerTimeout = time.Second
			}
			server := http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(
				func(w http.ResponseWriter, r *http.Request) {
					ConnOf(r.Context()).BeginRequest("7")
					c.handler(w, r)
				},
			)}
			Attach(&server, clock.New().Monotonic)
			caller, err := net.Dial("tcp", inner.Addr().String())
			require.NoError(t, err)
			_, err = io.WriteString(caller, c.sent)
			require.NoError(t, err)
			// What was sent waits in the kernel, so that the time limit of a head does not end before it can be read.
			go func() { _ = server.Serve(l) }()
			if c.leaves {
				_, err = caller.Read(make([]byte, 1))
				require.NoError(t, err)
				require.NoError(t, caller.Close())
			} else {
				_, _ = io.ReadAll(caller)
			}
			if c.want != "" {
				got := <-cuts
				assert.Equal(t, c.want, got.Reason)
				assert.Equal(t, caller.LocalAddr().String(), got.Caller)
			}
			require.NoError(t, server.Close())
			assert.Empty(t, cuts)
		})
	}
}
