package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestCancelledRequestIsReset guards against a request that a partition holds up and that reaches its upstream after it
// was given up.
func TestCancelledRequestIsReset(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	s := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(requests)
		if err == nil {
			_, _ = request.Body.Read(make([]byte, 1))
		}
		cancel()
		for err == nil {
			_, err = requests.ReadByte()
		}
		end <- err
	})
	_, err := s.client().Do(ctx, request("1"))
	require.Error(t, err)
	assert.ErrorIs(t, <-end, syscall.ECONNRESET)
}
