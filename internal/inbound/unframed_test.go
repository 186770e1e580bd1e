package inbound

import (
	"io"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/socket"
)

// TestUnframedResponseOfProcessThatEnds guards against a response that looks complete, since the kernel closes the
// connections of a process that is gone.
func TestUnframedResponseOfProcessThatEnds(t *testing.T) {
	flushed := func() error { return nil }
	for _, c := range []struct {
		name   string
		minor  int
		header http.Header
		ended  bool
		want   error
	}{
		{"HTTP/1.0, incomplete", 0, http.Header{}, false, syscall.ECONNRESET},
		{"HTTP/1.0, complete", 0, http.Header{}, true, nil},
		{"HTTP/1.0 with a length", 0, http.Header{"Content-Length": {"9"}}, false, nil},
		{"HTTP/1.1", 1, http.Header{}, false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			caller, conn := newFixture(t, 1).connect()
			conn.BeginResponse(&http.Request{ProtoMajor: 1, ProtoMinor: c.minor}, c.header)
			_, err := io.WriteString(conn, "a part")
			require.NoError(t, err)
			if c.ended {
				conn.EndResponse(flushed)
			}
			direct, ok := conn.Conn.(*socket.Conn)
			require.True(t, ok)
			require.NoError(t, direct.Close())
			_, err = io.ReadAll(caller)
			assert.ErrorIs(t, err, c.want)
		})
	}
}

// TestUnframedResponseThatIsBrokenOff guards against a response that looks complete, since its connection lingers or its
// start was sent ahead.
func TestUnframedResponseThatIsBrokenOff(t *testing.T) {
	old := &http.Request{ProtoMajor: 1, ProtoMinor: 0}
	t.Run("the box closes the connection", func(t *testing.T) {
		caller, conn := newFixture(t, 1).connect()
		require.True(t, conn.Activate())
		conn.BeginResponse(old, http.Header{})
		_, err := io.WriteString(conn, "a part")
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		_, err = io.ReadAll(caller)
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	})
	t.Run("the process ends after its caller was asked", func(t *testing.T) {
		caller, conn := newFixture(t, 1).connect()
		conn.framing.begin(old)
		sent, err := conn.sendAhead()
		require.NoError(t, err)
		require.True(t, sent)
		conn.BeginResponse(old, http.Header{})
		_, err = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\na part")
		require.NoError(t, err)
		direct, ok := conn.Conn.(*socket.Conn)
		require.True(t, ok)
		require.NoError(t, direct.Close())
		_, err = io.ReadAll(caller)
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	})
}
