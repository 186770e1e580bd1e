package server

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/testlib"
	"dooryard.example/dooryard/pkg/config"
)

const request = "POST / HTTP/1.1\r\nHost: box\r\nContent-Length: 0\r\n\r\n"

// socketCaller is a caller on a real socket.
type socketCaller struct {
	net.Conn
	reader *bufio.Reader
}

func dialServer(t *testing.T, s *Server) socketCaller {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return socketCaller{conn, bufio.NewReader(conn)}
}

func (c socketCaller) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// openOnSocket returns a server on a real socket of the kind that programs open, which can drop new connections.
func openOnSocket(t *testing.T, secured config.TLS, handler http.HandlerFunc) *Server {
	t.Helper()
	listen := func(network, address string) (net.Listener, error) {
		socket, err := ListenTCP(network, address)
		return NewListener(socket, clock.New(), nil, nil), err
	}
	limits := testLimits()
	limits.IdleTimeoutMs, limits.HeaderTimeoutMs = clock.Second*60, clock.Second*60
	// No idle connection is closed in favour of another one.
	limits.MaxConnections = 10_000
	s, err := Open("callers", config.Listener{Address: "127.0.0.1:0", TLS: secured}, limits, handler, listen)
	require.NoError(t, err)
	go func() { _ = s.Serve() }()
	t.Cleanup(s.Close)
	return s
}

// read reads a response without a body.
func (c socketCaller) read(t *testing.T) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response
}

// answered reports whether a response arrives, and closes the connection after it.
func (c socketCaller) answered() bool {
	response, err := http.ReadResponse(c.reader, nil)
	return err == nil && response.Body.Close() == nil && c.Close() == nil
}

// TestDrainAnswersWhatWasSent guards against requests without a response that arrive with the signal to stop.
func TestDrainAnswersWhatWasSent(t *testing.T) {
	dir := t.TempDir()
	files := config.TLS{CertificateFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key")}
	testlib.WriteCertificate(t, files, 1)
	for name, secured := range map[string]config.TLS{"without TLS": {}, "with TLS": files} {
		t.Run(name, func(t *testing.T) {
			const callers = 50
			s := openOnSocket(t, secured, ok)
			conns := []socketCaller{}
			for range callers {
				c := dialServer(t, s)
				if secured.Enabled() {
					//nolint:gosec // The certificate is signed by nobody.
					c.Conn = tls.Client(c.Conn, &tls.Config{InsecureSkipVerify: true})
					c.reader = bufio.NewReader(c.Conn)
				}
				c.send(t, request)
				conns = append(conns, c)
			}
			drained := make(chan error, 1)
			go func() { drained <- s.Drain(t.Context()) }()
			answered := 0
			for _, c := range conns {
				if c.answered() {
					answered++
				}
			}
			assert.Equal(t, callers, answered)
			require.NoError(t, <-drained)
		})
	}
}

// TestDrainServesOpenConnections guards against requests without a response that arrive on open connections in a stop.
func TestDrainServesOpenConnections(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	s := openOnSocket(t, config.TLS{}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(begun)
			<-release
		}
	})
	kept, part, long := dialServer(t, s), dialServer(t, s), dialServer(t, s)
	kept.send(t, request)
	assert.False(t, kept.read(t).Close, "the caller may send its next request here")
	part.send(t, request[:9])
	long.send(t, strings.Replace(request, "/", "/long", 1))
	<-begun
	s.AnnounceClose(clock.FromDuration(time.Hour))
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context()) }()
	for conn, err := net.Dial("tcp", s.Address()); err == nil; conn, err = net.Dial("tcp", s.Address()) {
		require.NoError(t, conn.Close())
	}
	kept.send(t, request+request)
	assert.False(t, kept.read(t).Close, "another request waits")
	assert.True(t, kept.read(t).Close)
	part.send(t, request[9:])
	assert.True(t, part.read(t).Close)
	close(release)
	assert.True(t, long.read(t).Close)
	for _, c := range []socketCaller{kept, part, long} {
		require.NoError(t, c.Close())
	}
	require.NoError(t, <-drained)
}

// TestCutAnswersRunningRequests guards against requests without a response that outlast a stop.
func TestCutAnswersRunningRequests(t *testing.T) {
	begun := make(chan struct{})
	s := openOnSocket(t, config.TLS{}, func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		if errors.Is(context.Cause(r.Context()), exchange.ErrStopping) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	s.AnnounceClose(0)
	caller := dialServer(t, s)
	caller.send(t, request)
	<-begun
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, s.Drain(ended), context.Canceled)
	go s.Cut(t.Context())
	response := caller.read(t)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.True(t, response.Close)
}
