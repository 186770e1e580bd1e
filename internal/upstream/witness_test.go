package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/socket"
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

// endUnused ends the connections on which nothing was sent, in order of their opening, after some time each.
func (u *witnessedUpstream) endUnused(reset bool, after []time.Duration) {
	for i, span := range after {
		time.AfterFunc(span, func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			if reset {
				ResetOnClose(u.unused[i])
			}
			_ = u.unused[i].Close()
		})
	}
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

// TestWitnessShowsGone guards against a process that is gone and passes for the next one, and against one that counts as
// gone since it closes connections on which nothing is sent.
func TestWitnessShowsGone(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name string
		// The upstream ends the unused connections after unused, and the response after responds.
		unused      []time.Duration
		responds    time.Duration
		reset, want bool
	}{
		{"with the response", []time.Duration{300 * ms, 300 * ms}, 300 * ms, false, true},
		{"with the response, before the second is open", []time.Duration{100 * ms}, 100 * ms, false, true},
		{"with the response, as soon as the second is open", []time.Duration{210 * ms, 210 * ms}, 210 * ms, false, true},
		{"shortly before the response", []time.Duration{290 * ms, 290 * ms}, 300 * ms, false, true},
		{"shortly after the response", []time.Duration{310 * ms, 310 * ms}, 300 * ms, false, true},
		{"long before the response", []time.Duration{210 * ms, 210 * ms}, 300 * ms, false, false},
		{"long after the response", []time.Duration{400 * ms, 400 * ms}, 300 * ms, false, false},
		{"with the response, by a reset", []time.Duration{300 * ms, 300 * ms}, 300 * ms, true, false},
		{"one of them with the response", []time.Duration{300 * ms}, 300 * ms, false, false},
		{"each when it was unused for some time, the first with the response", []time.Duration{300 * ms, 500 * ms}, 300 * ms, false, false},
		{"each when it was unused for some time, the second with the response", []time.Duration{300 * ms, 500 * ms}, 500 * ms, false, false},
		{"as soon as the first is open", []time.Duration{0}, 10 * ms, false, false},
		{"when they were unused for long", []time.Duration{5 * time.Second, 5200 * ms}, 5 * time.Second, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := startWitnessed(t)
				defer u.client.Close()
				response := u.begin(t)
				defer response.Close()
				u.endUnused(c.reset, c.unused)
				time.Sleep(c.responds)
				endedMs := u.end(t, response)
				time.Sleep(CloseSettleMs.Duration())
				assert.Equal(t, c.want, u.client.Witness().ShowsGone(endedMs))
			})
		})
	}
}

// TestWitnessNeedsConnectionsOfTwoTimes guards against a process that counts as gone since it closes two connections on
// which nothing is sent after the same time, of which the opening of the first took long.
func TestWitnessNeedsConnectionsOfTwoTimes(t *testing.T) {
	for fromMs, want := range map[clock.Millis]bool{1000: false, 1000 + jointEndMs: false, 1000 + staggerMs: true} {
		w := newWitness(nil, clock.New().Monotonic)
		w.conns = [2]witnessConn{
			{fromMs: 1000, endedMs: 5000, inOrder: true}, {fromMs: fromMs, endedMs: 5000, inOrder: true},
		}
		assert.Equal(t, want, w.ShowsGone(5000), "the second is open since %d", fromMs)
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
	run("two for all responses", func(t *testing.T, u *witnessedUpstream) {
		t.Helper()
		for range 3 {
			defer u.begin(t).Close()
		}
		opened, _ := u.counts()
		assert.Equal(t, 1, opened)
		time.Sleep(staggerMs.Duration())
		opened, _ = u.counts()
		assert.Equal(t, 2, opened)
		time.Sleep(3 * maxWitnessMs.Duration())
		opened, ended := u.counts()
		assert.Equal(t, 2, opened-ended)
	})
	run("none after the last response", func(t *testing.T, u *witnessedUpstream) {
		t.Helper()
		for i := range 2 {
			response := u.begin(t)
			time.Sleep(time.Second)
			u.end(t, response)
			response.Close()
			opened, ended := u.counts()
			assert.Equal(t, 2*(i+1), opened)
			assert.Equal(t, opened, ended)
		}
		time.Sleep(maxWitnessMs.Duration())
		opened, _ := u.counts()
		assert.Equal(t, 4, opened)
	})
	run("one for a response that ends before the second is due", func(t *testing.T, u *witnessedUpstream) {
		t.Helper()
		response := u.begin(t)
		time.Sleep(staggerMs.Duration() / 2)
		u.end(t, response)
		response.Close()
		time.Sleep(maxWitnessMs.Duration())
		opened, ended := u.counts()
		assert.Equal(t, 1, opened)
		assert.Equal(t, 1, ended)
	})
	run("two at different times after a response that ends before the second is due", func(t *testing.T, u *witnessedUpstream) {
		t.Helper()
		first := u.begin(t)
		time.Sleep(staggerMs.Duration() - time.Millisecond)
		u.end(t, first)
		first.Close()
		defer u.begin(t).Close()
		time.Sleep(staggerMs.Duration() - time.Millisecond)
		opened, _ := u.counts()
		assert.Equal(t, 2, opened)
		time.Sleep(time.Millisecond)
		opened, ended := u.counts()
		assert.Equal(t, 2, opened-ended)
	})
	run("others for requests that wait, after the last response", func(t *testing.T, u *witnessedUpstream) {
		t.Helper()
		u.client.Witness().Expect()
		response := u.begin(t)
		time.Sleep(time.Second)
		u.end(t, response)
		response.Close()
		time.Sleep(time.Second)
		opened, ended := u.counts()
		assert.Equal(t, 2, opened-ended)
		assert.Equal(t, 2, ended)
		u.client.Witness().Unexpect()
		opened, ended = u.counts()
		assert.Equal(t, opened, ended)
	})
	run("none of a client that is closed", func(t *testing.T, u *witnessedUpstream) {
		t.Helper()
		defer u.begin(t).Close()
		u.client.Close()
		time.Sleep(time.Second)
		opened, ended := u.counts()
		assert.Equal(t, 1, opened)
		assert.Equal(t, 1, ended)
	})
	run("renewed before the upstream closes them as unused", func(t *testing.T, u *witnessedUpstream) {
		t.Helper()
		defer u.begin(t).Close()
		u.endUnused(false, []time.Duration{time.Second, time.Second + staggerMs.Duration()})
		time.Sleep(3 * time.Second)
		opened, _ := u.counts()
		assert.Equal(t, 2, opened, "not at once")
		defer u.begin(t).Close()
		time.Sleep(time.Second - time.Millisecond)
		opened, ended := u.counts()
		assert.Equal(t, 2+4, opened, "renewed after half a second")
		assert.Equal(t, 2, opened-ended)
	})
	run("none where the upstream closes them at once", func(t *testing.T, u *witnessedUpstream) {
		t.Helper()
		defer u.begin(t).Close()
		u.endUnused(false, []time.Duration{0})
		time.Sleep(100 * time.Millisecond)
		defer u.begin(t).Close()
		time.Sleep(time.Second)
		opened, _ := u.counts()
		assert.LessOrEqual(t, opened, 2)
	})
}

// TestWitnessOfNextProcess guards against the next process that counts as the one that has gone, since this process has
// paused and opens a connection before it reads the end of another one.
func TestWitnessOfNextProcess(t *testing.T) {
	for ended, want := range map[bool]bool{true: false, false: true} {
		s := startUpstream(t, func(net.Conn, *bufio.Reader) {})
		w := newWitness(nil, func() clock.Millis { return 1 })
		first, err := net.Dial("tcp", s.listener.Addr().String())
		require.NoError(t, err)
		conn := <-s.conns
		w.add(&w.conns[0], first)
		if ended {
			require.NoError(t, conn.Close())
			for !socket.System().State(first).Ended {
				runtime.Gosched()
			}
		}
		second, err := net.Dial("tcp", s.listener.Addr().String())
		require.NoError(t, err)
		openMs, _ := w.add(&w.conns[1], second)
		assert.Equal(t, want, openMs > 0)
		assert.Equal(t, want, w.conns[1].outlives(1))
	}
}
