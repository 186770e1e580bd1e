package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/testlib"
)

// witnessedUpstream sends the heads of responses that end with their connections, and keeps all connections.
type witnessedUpstream struct {
	client *Client

	mu sync.Mutex
	// unused are the connections on which nothing was sent, of which the client has ended some.
	unused, carrying []net.Conn
	ended            int
}

func startWitnessed(t *testing.T) *witnessedUpstream {
	t.Helper()
	host := testlib.NewNetwork().Host("u")
	listener, err := host.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	u := &witnessedUpstream{client: New(listener.Addr().String(), clock.New().Monotonic, WithDial(host.Dial))}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.unused = append(u.unused, conn)
			u.mu.Unlock()
			go u.serve(conn)
		}
	}()
	return u
}

func (u *witnessedUpstream) serve(conn net.Conn) {
	_, err := http.ReadRequest(bufio.NewReader(conn))
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		u.ended++
		return
	}
	u.unused = slices.DeleteFunc(u.unused, func(c net.Conn) bool { return c == conn })
	u.carrying = append(u.carrying, conn)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n")
}

// counts returns how many connections on which nothing was sent were opened, and how many of them the client has ended.
func (u *witnessedUpstream) counts() (opened, ended int) {
	synctest.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.unused), u.ended
}

// witness returns the connection that was opened last and on which nothing was sent.
func (u *witnessedUpstream) witness() net.Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.unused[len(u.unused)-1]
}

// begin begins a response that ends with its connection.
func (u *witnessedUpstream) begin(t *testing.T) *Response {
	t.Helper()
	response, err := u.client.Do(t.Context(), request("1"))
	require.NoError(t, err)
	response.AddWitness()
	synctest.Wait()
	return response
}

// end ends a response in order.
func (u *witnessedUpstream) end(t *testing.T, response *Response) clock.Millis {
	t.Helper()
	u.mu.Lock()
	require.NoError(t, u.carrying[0].Close())
	u.carrying = u.carrying[1:]
	u.mu.Unlock()
	_, err := io.ReadAll(response)
	require.NoError(t, err)
	synctest.Wait()
	return u.client.monotonic()
}

// TestWitnessShowsGone guards against a process that is gone and passes for the next one, and against one that counts as gone
// since it closes connections on which nothing is sent.
func TestWitnessShowsGone(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name string
		// The upstream ends the witness after unused, and the response after responds.
		unused, responds time.Duration
		reset, want      bool
	}{
		{"with the response", 300 * ms, 300 * ms, false, true},
		{"shortly before the response", 290 * ms, 300 * ms, false, true},
		{"shortly after the response", 310 * ms, 300 * ms, false, true},
		{"long before the response", 200 * ms, 300 * ms, false, false},
		{"long after the response", 400 * ms, 300 * ms, false, false},
		{"with the response, by a reset", 300 * ms, 300 * ms, true, false},
		{"as soon as it is open", 0, 10 * ms, false, false},
		{"when it was unused for long", 5 * time.Second, 5 * time.Second, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := startWitnessed(t)
				defer u.client.Close()
				response := u.begin(t)
				defer response.Close()
				witness := u.witness()
				time.AfterFunc(c.unused, func() {
					if c.reset {
						ResetOnClose(witness)
					}
					_ = witness.Close()
				})
				time.Sleep(c.responds)
				endedMs := u.end(t, response)
				time.Sleep(CloseSettleMs.Duration())
				assert.Equal(t, c.want, u.client.Witness().ShowsGone(endedMs))
			})
		})
	}
}

// TestWitnessesAreBounded guards against connections that cost upstreams more than the responses need.
func TestWitnessesAreBounded(t *testing.T) {
	run := func(name string, test func(t *testing.T, u *witnessedUpstream)) {
		t.Helper()
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := startWitnessed(t)
				defer u.client.Close()
				test(t, u)
			})
		})
	}
	run("one for all responses", func(t *testing.T, u *witnessedUpstream) {
		t.Helper()
		for range 3 {
			defer u.begin(t).Close()
		}
		opened, _ := u.counts()
		assert.Equal(t, 1, opened)
		time.Sleep(3 * maxWitnessMs.Duration())
		opened, ended := u.counts()
		assert.Equal(t, 1, opened-ended)
	})
	run("none some time after the last response", func(t *testing.T, u *witnessedUpstream) {
		t.Helper()
		response := u.begin(t)
		u.end(t, response)
		response.Close()
		time.Sleep(maxWitnessMs.Duration())
		opened, ended := u.counts()
		assert.Equal(t, 1, opened)
		assert.Equal(t, 1, ended)
	})
	run("none of a client that is closed", func(t *testing.T, u *witnessedUpstream) {
		t.Helper()
		defer u.begin(t).Close()
		u.client.Close()
		_, ended := u.counts()
		assert.Equal(t, 1, ended)
	})
	run("renewed before the upstream closes it as unused", func(t *testing.T, u *witnessedUpstream) {
		t.Helper()
		defer u.begin(t).Close()
		time.Sleep(time.Second)
		require.NoError(t, u.witness().Close())
		time.Sleep(time.Second)
		opened, _ := u.counts()
		assert.Equal(t, 1, opened, "not at once")
		defer u.begin(t).Close()
		opened, _ = u.counts()
		assert.Equal(t, 2, opened)
		time.Sleep(time.Second - time.Millisecond)
		opened, _ = u.counts()
		assert.Equal(t, 3, opened, "renewed after half a second")
	})
	run("none where the upstream closes it at once", func(t *testing.T, u *witnessedUpstream) {
		t.Helper()
		defer u.begin(t).Close()
		require.NoError(t, u.witness().Close())
		time.Sleep(time.Second)
		defer u.begin(t).Close()
		opened, _ := u.counts()
		assert.Equal(t, 1, opened)
	})
}
