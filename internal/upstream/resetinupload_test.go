package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/testlib"
)

// TestResetDuringUpload guards against a part of a response that counts as whole, since a reset was told to the write of
// the request's body.
func TestResetDuringUpload(t *testing.T) {
	s := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart")
		}
		closeWithReset(conn)
	})
	upload := request("1")
	upload.Body = make([]byte, 16<<20)
	body, err := readAll(t, New(s.listener.Addr().String(), clock.New().Monotonic, WithDial(testlib.DialWriteFirst)), upload)
	require.ErrorIs(t, err, ErrBroken)
	assert.Contains(t, []string{"", "part"}, body)
}

// TestResetBeforeResponse guards against a reset that counts as an orderly end, since the reader tells it once.
func TestResetBeforeResponse(t *testing.T) {
	s := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
		if r, err := http.ReadRequest(requests); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		closeWithReset(conn)
	})
	_, err := readAll(t, s.client(), request("1"))
	require.ErrorIs(t, err, ErrBroken)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}
