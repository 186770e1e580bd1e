package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// startSerial starts an upstream that serves one connection after the other, by responses that end with them.
func startSerial(t *testing.T, responds time.Duration) *Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n")
				time.Sleep(responds)
			}
			_ = conn.Close()
		}
	}()
	return New(listener.Addr().String(), clock.New().Monotonic)
}

// TestWitnessLeavesSerialUpstreams guards against requests that wait for connections on which nothing is sent, where an
// upstream serves one connection after the other.
func TestWitnessLeavesSerialUpstreams(t *testing.T) {
	const responds = 300 * time.Millisecond
	client := startSerial(t, responds)
	defer client.Close()
	took := make(chan time.Duration)
	for range 2 {
		go func() {
			for range 2 {
				began := time.Now()
				r := request("1")
				r.OnSend = func(func() bool) { client.Witness().Expect() }
				response, err := client.Do(t.Context(), r)
				if assert.NoError(t, err) {
					response.AddWitness()
					_, err = io.ReadAll(response)
					assert.NoError(t, err)
					response.Close()
				}
				client.Witness().Unexpect()
				took <- time.Since(began)
			}
		}()
	}
	for range 4 {
		assert.Less(t, <-took, 5*responds)
	}
}
