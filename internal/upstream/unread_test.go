package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/testlib"
)

// TestOnSend guards against a response that counts as late although it waits in the kernel.
func TestOnSend(t *testing.T) {
	part, written := make(chan string), make(chan struct{})
	s := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		for text := range part {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
			written <- struct{}{}
		}
		_ = conn.Close()
	})
	var hasUnread func() bool
	send := func() (*Response, error) {
		return s.client().Do(t.Context(), &Request{
			Method: http.MethodGet, Target: "/", Header: http.Header{},
			Matches: func(http.Header) bool { return true }, OnSend: func(call func() bool) { hasUnread = call },
		})
	}
	go func() {
		part <- "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	}()
	done := make(chan *Response)
	go func() {
		response, err := send()
		assert.NoError(t, err)
		done <- response
	}()
	<-written
	response := <-done
	assert.False(t, hasUnread(), "the head was read")
	part <- "body"
	<-written
	assert.True(t, hasUnread())
	data, err := io.ReadAll(response)
	require.NoError(t, err)
	assert.Equal(t, "body", string(data))
	response.Close()
	close(part)
}

// TestUnreadBytesAreBounded guards against processes that are killed for what the kernel holds of many responses which
// they have not read.
func TestUnreadBytesAreBounded(t *testing.T) {
	const unreadBytes = 32 << 10
	s := startUpstream(t, respondEach(okResponse("1", "one")))
	c := New(s.listener.Addr().String(), clock.New().Monotonic, WithUnreadBytes(unreadBytes))
	body, err := readAll(t, c, request("1"))
	require.NoError(t, err)
	assert.Equal(t, "one", body)
	require.Len(t, c.idle, 1)
	// Linux doubles the size, for what it needs itself.
	assert.LessOrEqual(t, testlib.ReceiveBuffer(t, c.idle[0].Conn), 2*unreadBytes)
	assert.GreaterOrEqual(t, testlib.ReceiveBuffer(t, c.idle[0].Conn), unreadBytes)
}
