package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/socket"
)

// TestSurvivesClose guards against taking the kernel of a process that is gone, or its successor, for the process.
func TestSurvivesClose(t *testing.T) {
	const never, settle, ms = time.Hour, 400 * time.Millisecond, time.Millisecond
	for _, c := range []struct {
		name                      string
		listens, confirms, cancel time.Duration
		found                     []Confirmation
		want                      Survival
		took                      time.Duration
	}{
		{"a process that responds", never, ms, never, []Confirmation{FromProcess}, Responding, ms},
		{"a process that never responds", never, never, never, []Confirmation{FromProcess}, Unanswered, settle},
		{"a process that responds once connections have broken", never, 0, never, []Confirmation{BrokenOff, BrokenOff, FromProcess}, Responding, 200 * ms},
		{"a process that does not tell which one it is", never, ms, never, []Confirmation{FromUnknown}, Unchecked, settle},
		{"another process that responds", never, ms, never, []Confirmation{FromAnother}, Gone, ms},
		{"another process that responds once connections have broken", never, 0, never, []Confirmation{BrokenOff, FromAnother}, Gone, 100 * ms},
		{"a process whose connections break", never, 0, never, []Confirmation{BrokenOff}, Rejecting, settle},
		{"a process whose connections break before it is silent", never, 0, never, []Confirmation{BrokenOff, NoResponse}, Rejecting, settle},
		{"a process that can't be asked", never, 0, never, nil, Unchecked, settle},
		{"a process whose listener goes first", 0, never, never, []Confirmation{FromProcess}, Gone, 0},
		{"a process whose listener goes last", settle - 1, never, never, []Confirmation{FromProcess}, Gone, settle},
		{"a process that can't be asked, whose listener goes last", settle - 1, 0, never, nil, Gone, settle},
		{"a request that is given up", never, never, ms, []Confirmation{FromProcess}, Gone, ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.cancel)
				defer cancel()
				start, asked := time.Now(), 0
				accepts := func() Liveness {
					if time.Since(start) < c.listens {
						return Alive
					}
					return Dead
				}
				confirm := func(ctx context.Context) Confirmation {
					select {
					case <-ctx.Done():
						return NoResponse
					case <-time.After(c.confirms):
						asked++
						return c.found[min(asked, len(c.found))-1]
					}
				}
				if c.found == nil {
					confirm = nil
				}
				assert.Equal(t, c.want, SurvivesClose(ctx, accepts, confirm))
				assert.Equal(t, c.took, time.Since(start))
			})
		})
	}
}

// TestRespondsTo guards against a connection for each health check, and against one that is used after its process.
func TestRespondsTo(t *testing.T) {
	t.Run("any response counts, and its connection is used again", func(t *testing.T) {
		s := startUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				assert.Equal(t, "/health", r.URL.Path)
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\n\r\nno\n")
			}
		})
		c := s.client()
		require.True(t, c.RespondsTo(t.Context(), "/health"))
		require.Len(t, c.idle, 1)
		assert.True(t, c.RespondsTo(t.Context(), "/health"))
	})
	t.Run("a connection that is reset is no response", func(t *testing.T) {
		c := startUpstream(t, func(conn net.Conn, _ *bufio.Reader) { closeWithReset(conn) }).client()
		assert.False(t, c.RespondsTo(t.Context(), "/health"))
		assert.Empty(t, c.idle)
	})
}

// TestKeepsConnection guards against taking another process for the one that has accepted an earlier connection.
func TestKeepsConnection(t *testing.T) {
	for _, c := range []struct {
		name             string
		openedMs, sentMs clock.Millis
		closes, want     bool
	}{
		{"opened before and open", 1, 2, false, true},
		{"opened before and closed", 1, 2, true, false},
		{"opened later", 2, 2, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startUpstream(t, func(net.Conn, *bufio.Reader) {})
			client := New(s.listener.Addr().String(), func() clock.Millis { return c.openedMs })
			require.Equal(t, Alive, client.ProbeLiveness(t.Context()))
			conn := <-s.conns
			if c.closes {
				require.NoError(t, conn.Close())
			}
			assert.Equal(t, c.want, client.KeepsConnection(t.Context(), c.sentMs))
			assert.Equal(t, c.want, client.KeepsConnection(t.Context(), c.sentMs), "it is kept idle")
		})
	}
}

// pausedConn is a connection whose process is paused after it has set a deadline for reads, until the deadline has passed.
type pausedConn struct{ *net.TCPConn }

// SetReadDeadline implements net.Conn.
func (c pausedConn) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() {
		deadline = time.Unix(1, 0)
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// TestKeepsConnectionAfterPause guards against a closed connection that counts as open, since a deadline that has passed
// fails a read before the kernel is asked.
func TestKeepsConnectionAfterPause(t *testing.T) {
	for closes, want := range map[bool]bool{true: false, false: true} {
		s := startUpstream(t, func(net.Conn, *bufio.Reader) {})
		var raw net.Conn
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			var err error
			raw, err = (&net.Dialer{}).DialContext(ctx, network, address)
			return pausedConn{raw.(*net.TCPConn)}, err //nolint:forcetypeassert // It is one.
		}
		client := New(s.listener.Addr().String(), func() clock.Millis { return 1 }, WithDial(dial))
		require.Equal(t, Alive, client.ProbeLiveness(t.Context()))
		conn := <-s.conns
		if closes {
			require.NoError(t, conn.Close())
			for !socket.System().State(raw).Ended {
				runtime.Gosched()
			}
		}
		assert.Equal(t, want, client.KeepsConnection(t.Context(), 2))
	}
}

// TestKeepsConnectionInUse guards against a process that counts as gone though it works on other requests, and against
// one that counts as running on since what it sent before is not read yet.
func TestKeepsConnectionInUse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"
	for _, c := range []struct {
		name           string
		sentMs         clock.Millis
		unread, closes bool
		want           bool
	}{
		{"opened before and open", 2, false, false, true},
		{"opened before and closed", 2, false, true, false},
		{"opened later", 1, false, false, false},
		{"with bytes behind which its end may wait", 2, true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
				_, _ = http.ReadRequest(requests)
				_, _ = io.WriteString(conn, head)
			})
			client := New(s.listener.Addr().String(), func() clock.Millis { return 1 })
			response, err := client.Do(t.Context(), request("1"))
			require.NoError(t, err)
			conn := <-s.conns
			if c.unread {
				_, err := io.WriteString(conn, "part")
				require.NoError(t, err)
				for !response.roundTrip.conn.hasUnread() {
					runtime.Gosched()
				}
			}
			if c.closes {
				require.NoError(t, conn.Close())
				for !socket.System().State(response.roundTrip.conn.Conn).Ended {
					runtime.Gosched()
				}
			}
			assert.Equal(t, c.want, client.KeepsConnection(t.Context(), c.sentMs))
			response.Close()
			assert.False(t, client.KeepsConnection(t.Context(), c.sentMs), "it is no longer in use")
			assert.Empty(t, client.busy)
		})
	}
}

// TestHasBroken guards against a process that is gone and whose other broken responses are overlooked, and against one
// that counts as gone for what sound processes do.
func TestHasBroken(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	const whole = head + "Content-Length: 2\r\n\r\nok"
	closes := func(conn net.Conn) { _ = conn.Close() }
	for _, c := range []struct {
		name      string
		responses []string
		end       func(conn net.Conn)
		cancel    bool
		want      bool
	}{
		{"a length that is not reached", []string{head + "Content-Length: 9\r\n\r\npart"}, closes, false, true},
		{"chunks without the last one", []string{head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"}, closes, false, true},
		{"a new connection without a response", []string{""}, closes, false, true},
		{"a whole response", []string{whole}, closes, false, false},
		{"a new connection that is reset", []string{""}, closeWithReset, false, false},
		{"a reused connection without a response", []string{whole, ""}, closes, false, false},
		{"a response that was given up", []string{head + "Content-Length: 9\r\n\r\npart"}, func(net.Conn) {}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
				for _, response := range c.responses {
					if r, err := http.ReadRequest(requests); err == nil {
						_, _ = io.Copy(io.Discard, r.Body)
					}
					_, _ = io.WriteString(conn, response)
				}
				c.end(conn)
			})
			monotonic := clock.New().Monotonic
			client := New(s.listener.Addr().String(), monotonic)
			for range c.responses {
				ctx, cancel := context.WithCancel(t.Context())
				response, err := client.Do(ctx, request("1"))
				if c.cancel {
					cancel()
				}
				if err == nil {
					_, _ = io.Copy(io.Discard, response)
					response.Close()
				}
				cancel()
			}
			assert.Equal(t, c.want, client.HasBroken(0))
			assert.False(t, client.HasBroken(monotonic()+1))
		})
	}
}
