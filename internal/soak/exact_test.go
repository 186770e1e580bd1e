package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/platform/standin"
)

// exactLast returns a last response to a caller on a kept connection that is sent some time after the box's deadline.
func exactLast(late time.Duration) *exactCall {
	c := &exactCall{
		box: "box-0", kept: true, from: time.Now(), wait: time.Second, distance: 3 * time.Millisecond,
		status: http.StatusGatewayTimeout,
	}
	c.arrived = c.deadline().Add(late)
	return c
}

// exactSound returns a sound response that a server sent some time before the box's deadline and that was delivered.
func exactSound(before time.Duration) *exactCall {
	c := exactLast(-before)
	c.responded, c.status = c.arrived, http.StatusOK
	return c
}

// TestCheckExact guards against a play of exact callers that reports nothing.
func TestCheckExact(t *testing.T) {
	const ms = time.Millisecond
	const unread, replaced = "callers that wait for exactly their deadline", "sound responses that arrive in time"
	for _, c := range []struct {
		name   string
		call   *exactCall
		change func(h *history, c *exactCall)
		finds  string
		count  exactStats
	}{
		{"last responses in time", exactLast(0), nil, "", exactStats{Requests: 2, Last: 2}},
		{"late ones", exactLast(ms), nil, unread, exactStats{Requests: 2, Last: 2, Unread: 2, LongestLagMs: 1}},
		{"late ones of a box that waited for a processor", exactLast(ms), func(_ *history, c *exactCall) {
			c.waited = ms
		}, "", exactStats{Requests: 2, Last: 2, Excused: 2, LongestLagMs: 1}},
		{"late ones, though the way takes less than the greatest lead", exactLast(ms), func(_ *history, c *exactCall) {
			c.kept, c.wait, c.distance = false, 380*ms, 4500*time.Microsecond
			c.arrived = c.deadline().Add(ms)
		}, unread, exactStats{Requests: 2, Last: 2, Unread: 2, LongestLagMs: 1}},
		{"none at all", exactLast(0), func(_ *history, c *exactCall) {
			c.arrived, c.status = time.Time{}, 0
		}, unread, exactStats{Requests: 2, Last: 2, Unread: 2}},
		{"late ones of a disturbed box", exactLast(ms), func(h *history, c *exactCall) {
			h.disturbances.begin(c.box, c.from)
		}, "", exactStats{Requests: 2}},
		{"sound responses", exactSound(ms), nil, "", exactStats{Requests: 2, Served: 2}},
		{"sound responses that are replaced", exactSound(101 * ms), func(_ *history, c *exactCall) {
			c.status = http.StatusGatewayTimeout
		}, replaced, exactStats{Requests: 2, Last: 2, Replaced: 2}},
		{"those within the lead of the box", exactSound(100 * ms), func(_ *history, c *exactCall) {
			c.status = http.StatusGatewayTimeout
		}, "", exactStats{Requests: 2, Last: 2, Within: 2}},
		{"refusals that don't wait", exactLast(-500 * ms), func(_ *history, c *exactCall) {
			c.status = http.StatusServiceUnavailable
		}, "", exactStats{Requests: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory()
			if c.change != nil {
				c.change(h, c.call)
			}
			for range 2 {
				h.recordExact(c.call)
			}
			found := h.checkExact()
			h.exact.FirstUnread, h.exact.FirstReplaced = "", ""
			assert.Equal(t, c.count, h.exact)
			if c.finds == "" {
				assert.Empty(t, found)
				return
			}
			require.Len(t, found, 1)
			assert.Contains(t, found[0].Guarantee, c.finds)
		})
	}
	t.Run("the share of late ones", func(t *testing.T) {
		h := newHistory()
		for range 2 {
			h.recordExact(exactLast(ms))
		}
		for range maxUnreadPart - 2 {
			h.recordExact(exactLast(0))
		}
		assert.Empty(t, h.checkExact())
	})
}

// TestExactDeadlines guards against callers whose way to the box does not count.
func TestExactDeadlines(t *testing.T) {
	c := exactLast(0)
	assert.Equal(t, 994*time.Millisecond, c.deadline().Sub(c.from), "there and back")
	c.kept = false
	assert.Equal(t, 988*time.Millisecond, c.deadline().Sub(c.from), "the handshake takes a round trip more")
}

// hasBytes reports whether bytes wait at a socket.
func hasBytes(fd uintptr) bool {
	n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n > 0
}

// TestExactConnections guards against responses that count as late since the run reads them late.
func TestExactConnections(t *testing.T) {
	s := &server{recordExactResponse: func(string) {}, current: &standin.Server{}}
	served := httptest.NewServer(s)
	defer served.Close()
	conn, err := dialExact(t.Context(), served.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	// A kernel begins to record times some time after it was asked to.
	const maxRequests = 100_000
	for range maxRequests {
		require.True(t, conn.write(fmt.Sprintf("POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n%s: 0\r\n\r\n", exactHeader)))
		require.NoError(t, conn.raw.Read(hasBytes))
		read := time.Now()
		status, closes := conn.read(read.Add(time.Minute))
		require.Equal(t, http.StatusOK, status)
		require.False(t, closes)
		if conn.arrived.Before(read) {
			return
		}
	}
	t.Fatal("no response counts from its arrival")
}
