package inbound

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/testlib"
	"dooryard.example/dooryard/pkg/config"
)

// TestEncryptedCallersThatEndTheirSide guards against responses by TLS that are lost for callers that have ended only
// their writing side, and against work for those that have left.
func TestEncryptedCallersThatEndTheirSide(t *testing.T) {
	dir := t.TempDir()
	files := config.TLS{CertificateFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key")}
	testlib.WriteCertificate(t, files, 1)
	pair, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	require.NoError(t, err)
	errStop := errors.New("the server stops")
	for _, c := range []struct {
		name string
		end  func(caller *tls.Conn, stop func()) error
		// answered is set if the caller gets the response, and cause is why its request is canceled otherwise.
		answered bool
		cause    error
	}{
		{"that ends its side of the TLS connection", func(caller *tls.Conn, _ func()) error {
			return caller.CloseWrite()
		}, true, nil},
		{"that also ends its side of the socket", func(caller *tls.Conn, _ func()) error {
			socket, ok := caller.NetConn().(*net.TCPConn)
			assert.True(t, ok)
			return errors.Join(caller.CloseWrite(), socket.CloseWrite())
		}, true, nil},
		{"that leaves", func(caller *tls.Conn, _ func()) error { return caller.Close() }, false, context.Canceled},
		{"of a server that stops", func(caller *tls.Conn, stop func()) error {
			defer stop()
			return caller.CloseWrite()
		}, false, errStop},
	} {
		t.Run(c.name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			listener := NewListener(inner, 1, nil, clock.New(), WithHeldEnds(), WithEncryption())
			base, stop := context.WithCancelCause(t.Context())
			causes, running, seen := make(chan error, 1), make(chan struct{}), make(chan struct{})
			server := &http.Server{
				BaseContext: func(net.Listener) context.Context { return base },
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					close(running)
					<-seen
					if !c.answered {
						<-r.Context().Done()
					}
					causes <- context.Cause(r.Context())
					_, _ = io.WriteString(w, "response")
				}),
			}
			Attach(server, clock.New().Monotonic)
			tracked := server.Handler
			server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				// The server has seen the end once it cancels the request.
				defer context.AfterFunc(r.Context(), func() { close(seen) })()
				tracked.ServeHTTP(w, r)
			})
			certificates := []tls.Certificate{pair}
			go func() { _ = server.Serve(tls.NewListener(listener, &tls.Config{Certificates: certificates})) }()
			defer func() { assert.NoError(t, server.Close()) }()
			//nolint:gosec // The certificate is signed by nobody.
			caller, err := tls.Dial("tcp", inner.Addr().String(), &tls.Config{InsecureSkipVerify: true})
			require.NoError(t, err)
			defer func() { _ = caller.Close() }()
			_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			<-running
			require.NoError(t, c.end(caller, func() { stop(errStop) }))
			require.ErrorIs(t, <-causes, c.cause)
			if c.answered {
				response, err := http.ReadResponse(bufio.NewReader(caller), nil)
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				assert.Equal(t, "response", string(body))
			}
		})
	}
}

// TestEncryptedRequestsCountFromTheirOwnBytes guards against deadlines that count from the handshake of a connection that
// was opened in advance.
func TestEncryptedRequestsCountFromTheirOwnBytes(t *testing.T) {
	dir := t.TempDir()
	files := config.TLS{CertificateFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key")}
	testlib.WriteCertificate(t, files, 1)
	pair, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	require.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		c := clock.New()
		begin := c.Monotonic()
		inner := closableListener{pipeListener{conns: make(chan net.Conn, 1)}, make(chan struct{})}
		l := NewListener(inner, 1, exchange.NewMemory(1<<20), c, WithEncryption())
		var startsMs []clock.Millis
		server := &http.Server{
			ReadHeaderTimeout: time.Minute,
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				startsMs = append(startsMs, ConnOf(r.Context()).Arrival().StartMs-begin)
			}),
		}
		Attach(server, c.Monotonic)
		settings := &tls.Config{Certificates: []tls.Certificate{pair}, SessionTicketsDisabled: true}
		go func() { _ = server.Serve(tls.NewListener(l, settings)) }()
		here, there := net.Pipe()
		inner.conns <- there
		caller := tls.Client(here, &tls.Config{InsecureSkipVerify: true})
		require.NoError(t, caller.HandshakeContext(t.Context()))
		in := bufio.NewReader(caller)
		for range 2 {
			time.Sleep(30 * time.Second)
			_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			response, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
		}
		require.NoError(t, here.Close())
		require.NoError(t, server.Close())
		time.Sleep(time.Minute)
		assert.Equal(t, []clock.Millis{30_000, 60_000}, startsMs)
	})
}
