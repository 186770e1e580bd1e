package server

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/clock"
)

// TestAwaitAcceptedBesideHandshakes guards against connections that are reset since the last packet of their handshake
// is under way when a box that stops closes its listener.
func TestAwaitAcceptedBesideHandshakes(t *testing.T) {
	const handshakes = 20
	for _, c := range []struct {
		name  string
		delay bool
	}{{"packets arrive at once", false}, {"the last packet takes some milliseconds", true}} {
		t.Run(c.name, func(t *testing.T) {
			inner, err := ListenTCP("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			l := NewListener(inner, clock.New(), nil, func(error) {})
			served := make(chan struct{})
			go func() {
				defer close(served)
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						_, _ = io.ReadFull(conn, make([]byte, 1))
						_, _ = io.WriteString(conn, "r")
						_ = conn.Close()
					}()
				}
			}()
			dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
				// A caller that is about to send holds its last packet back for up to 200 ms, as a slow network would.
				return raw.Control(func(fd uintptr) {
					if c.delay {
						err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, 1)
					}
				})
			}}
			callers := []net.Conn{}
			for range handshakes {
				caller, err := dialer.Dial("tcp", inner.Addr().String())
				require.NoError(t, err)
				callers = append(callers, caller)
			}
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				l.AwaitAccepted(t.Context())
				assert.NoError(t, l.Close())
			}()
			time.Sleep(20 * time.Millisecond)
			lost := 0
			for _, caller := range callers {
				require.NoError(t, caller.SetDeadline(time.Now().Add(5*time.Second)))
				_, err := io.WriteString(caller, "q")
				if err == nil {
					_, err = io.ReadFull(caller, make([]byte, 1))
				}
				if err != nil {
					lost++
				}
				_ = caller.Close()
			}
			<-closed
			<-served
			assert.Zero(t, lost, "callers whose open connections were reset")
		})
	}
}
