package inbound

import (
	"bufio"
	"cmp"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// TestAskedCallers guards against slow responses that are lost for callers that have ended only their writing side, and
// against upstreams that work on for callers that have closed the connection.
func TestAskedCallers(t *testing.T) {
	const takes = 5 * clock.Second
	begin := func(w http.ResponseWriter, _ *Conn) {
		<-time.After(time.Millisecond)
		assert.NoError(t, http.NewResponseController(w).Flush())
	}
	commit := func(_ http.ResponseWriter, c *Conn) { c.Commit() }
	for _, c := range []struct {
		name    string
		version string
		reads   bool
		// untold is set if the kernel tells nothing of the caller.
		untold bool
		// closesAfter is when the caller closes its socket, or 0 if it doesn't.
		closesAfter clock.Millis
		start       func(w http.ResponseWriter, c *Conn)
		takes, runs clock.Millis
		questions   int
		// holdsNothing makes writes wait for the caller.
		holdsNothing bool
		// proxied is set if the caller is behind a proxy.
		proxied bool
		// endsAfter is how long after the request the caller ends its side.
		endsAfter clock.Millis
	}{
		{name: "that reads", reads: true, takes: askAgainMs, runs: askAgainMs, questions: 2},
		{name: "that writes wait for", reads: true, holdsNothing: true, takes: askAgainMs, runs: askAgainMs, questions: 2},
		{name: "whose response is soon ready", reads: true, takes: askMs - holdCheckMs, runs: askMs - holdCheckMs},
		{name: "whose response has begun", reads: true, start: begin, takes: takes, runs: takes},
		{name: "that has left", closesAfter: 1, takes: takes, runs: askMs + holdCheckMs, questions: 1},
		{
			name: "that has left behind a proxy", closesAfter: 1, reads: true, proxied: true,
			takes: takes, runs: 2*askMs + holdCheckMs, questions: 2,
		},
		{
			name: "that has left behind a proxy while a stream pauses", closesAfter: clock.Second, reads: true, proxied: true, start: begin,
			endsAfter: clock.Second, takes: takes, runs: clock.Second + 2*askMs + holdCheckMs,
		},
		{
			name: "that has left after a request that may not be repeated, which runs to its end", closesAfter: 1, start: commit,
			takes: takes, runs: takes,
		},
		{
			name: "that leaves later", reads: true, closesAfter: askMs + holdCheckMs,
			takes: takes, runs: 2*askMs + holdCheckMs, questions: 2,
		},
		{
			name: "that leaves still later", reads: true, closesAfter: 2*askMs + holdCheckMs,
			takes: takes, runs: 2*askMs + askAgainMs + holdCheckMs, questions: 3,
		},
		{name: "that reads, untold", reads: true, untold: true, takes: askAgainMs, runs: askAgainMs, questions: 2},
		{
			name: "that has left, untold", untold: true, closesAfter: 1, takes: takes, runs: 2 * askMs, questions: 1,
		},
		{name: "that can't be reached", takes: takes, runs: maxHoldMs, questions: 1},
		{name: "that accepts no interim response", version: "HTTP/1.0", reads: true, takes: takes, runs: takes},
		{
			name: "that accepts no interim response and has left", version: "HTTP/1.0", closesAfter: 1,
			takes: takes, runs: askMs + holdCheckMs,
		},
		{
			name: "that ends its side while a stream pauses", reads: true, start: begin, endsAfter: clock.Second,
			takes: takes, runs: takes,
		},
		{
			name: "that leaves while a stream pauses", start: begin, reads: true, endsAfter: clock.Second, closesAfter: clock.Second,
			takes: takes, runs: clock.Second + askMs + holdCheckMs,
		},
		{
			name: "that leaves later while a stream pauses", start: begin, reads: true, endsAfter: clock.Second,
			closesAfter: clock.Second + askMs + holdCheckMs,
			takes:       takes, runs: clock.Second + 2*askMs + holdCheckMs,
		},
		{
			name: "that can't be reached while a stream pauses", start: begin, endsAfter: clock.Second,
			takes: takes, runs: clock.Second + maxHoldMs,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := &halfClosedConn{
					reads: c.reads, untold: c.untold, holdsNothing: c.holdsNothing, version: cmp.Or(c.version, "HTTP/1.1"),
					proxied:   c.proxied,
					endsAfter: c.endsAfter.Duration(),
				}
				if c.closesAfter > 0 {
					caller.closesAt = time.Now().Add(c.closesAfter.Duration())
				}
				if c.start == nil {
					c.start = func(http.ResponseWriter, *Conn) {}
				}
				ran := serveHalfClosed(t, caller, c.takes.Duration(), c.start)
				assert.Equal(t, c.runs.Duration(), ran.Round(holdCheckMs.Duration()))
				sent := caller.sent.String()
				asked := strings.Repeat(interimResponse, c.questions)
				assert.True(t, strings.HasPrefix(sent, asked+caller.version+" 200 OK\r\n"), "interim responses first: %q", sent)
				assert.Equal(t, c.questions, strings.Count(sent, interimResponse))
				response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(strings.TrimPrefix(sent, asked))), nil)
				if assert.NoError(t, err) {
					body, err := io.ReadAll(response.Body)
					assert.NoError(t, err)
					assert.NoError(t, response.Body.Close())
					assert.Equal(t, "response", string(body))
				}
			})
		})
	}
}

// TestInterimAfterExpected guards against callers that expect an interim response and are not asked with another one,
// and against one within the final response.
func TestInterimAfterExpected(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
	caller, conn := newFixture(t, 1).connect()
	asked := func() bool {
		sent, err := conn.ask()
		assert.NoError(t, err)
		return sent
	}
	write := func(data string) {
		_, err := io.WriteString(conn, data)
		assert.NoError(t, err)
	}
	assert.False(t, asked(), "before a request")
	request := &http.Request{ProtoMajor: 1, ProtoMinor: 1}
	conn.trackRequest(request)
	write(interimResponse)
	assert.True(t, asked(), "after the one that was expected")
	write(final)
	assert.False(t, asked(), "after the response has begun")
	conn.trackRequest(request)
	assert.True(t, asked(), "the next request")
	require.NoError(t, conn.Conn.Close())
	got, err := io.ReadAll(caller)
	require.NoError(t, err)
	assert.Equal(t, interimResponse+interimResponse+final+interimResponse, string(got))
}

// TestTransientWriteError guards against a caller that counts as having left because the kernel was short of memory.
func TestTransientWriteError(t *testing.T) {
	for _, err := range []error{syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM, io.ErrShortWrite, nil} {
		assert.False(t, isClosed(err), err)
	}
	assert.True(t, isClosed(&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)}))
}
