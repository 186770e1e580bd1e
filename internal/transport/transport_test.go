package transport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/testlib"
)

func newClient() *http.Client {
	return &http.Client{Transport: New(Settings{ConnectTimeoutMs: 1000, MaxIdlePerHost: 4})}
}

func post(ctx context.Context, t *testing.T, client *http.Client, url string) error {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body"))
	require.NoError(t, err)
	response, err := client.Do(request)
	if err == nil {
		err = response.Body.Close()
	}
	return err
}

// TestConnReadAfterFailedWrite guards against a reset that was told to a write, and that reads take for an orderly end.
func TestConnReadAfterFailedWrite(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(conn, make([]byte, 1))
		_ = conn.(*net.TCPConn).SetLinger(0) //nolint:forcetypeassert // It is one.
		_ = conn.Close()
	}()
	conn, err := trackedDial((&net.Dialer{}).DialContext)(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = conn.Write(make([]byte, 32<<20))
	require.Error(t, err)
	_, err = io.ReadAll(conn)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// TestResetDuringUpload guards against a part of a response that counts as whole, since a reset was told to the write of
// the request's body.
func TestResetDuringUpload(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = conn.(*net.TCPConn).SetLinger(0) //nolint:forcetypeassert // It is one.
		_ = conn.Close()
	}()
	client := &http.Client{Transport: New(Settings{Dial: testlib.DialWriteFirst})}
	response, err := client.Post("http://"+listener.Addr().String(), "text/plain", bytes.NewReader(make([]byte, 16<<20)))
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	require.Error(t, err)
}

func TestWatch(t *testing.T) {
	t.Run("reports that nothing was sent if no connection opened", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		require.NoError(t, listener.Close())
		watch := &AttemptTracker{}
		require.Error(t, post(watch.Context(t.Context()), t, newClient(), "http://"+listener.Addr().String()))
		assert.True(t, watch.Abort())
	})
	t.Run("does not report it once bytes were written", func(t *testing.T) {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}))
		defer server.Close()
		watch := &AttemptTracker{}
		require.Error(t, post(watch.Context(t.Context()), t, newClient(), server.URL))
		assert.False(t, watch.Abort())
	})
	t.Run("sends nothing after an instant", func(t *testing.T) {
		requests := 0
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests++ }))
		defer server.Close()
		now := clock.Millis(0)
		// The clock jumps after the connection was opened, as if the process was paused.
		c := clock.New(clock.WithNow(func() clock.Millis { return now }))
		client := newClient()
		require.NoError(t, post(WithSendDeadline(t.Context(), c, 10), t, client, server.URL))
		now = 10
		require.Error(t, post(WithSendDeadline(t.Context(), c, 10), t, client, server.URL))
		assert.Equal(t, 1, requests)
	})
	t.Run("sends nothing after an instant although the time of day was set back", func(t *testing.T) {
		requests := 0
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests++ }))
		defer server.Close()
		now, monotonic := clock.Millis(5), clock.Millis(100)
		c := clock.New(
			clock.WithNow(func() clock.Millis { return now }), clock.WithMonotonic(func() clock.Millis { return monotonic }),
		)
		ctx := WithSendDeadline(t.Context(), c, 10)
		now, monotonic = -50, 105
		require.Error(t, post(ctx, t, newClient(), server.URL))
		assert.Zero(t, requests)
	})
}

// TestAbortOfAnAttemptWhoseConnectionServesAnother guards against a request that fails because another attempt was given
// up, whose response had no body, so that its connection was already in use again.
func TestAbortOfAnAttemptWhoseConnectionServesAnother(t *testing.T) {
	arrived, respond := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/refused" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		close(arrived)
		<-respond
	}))
	defer server.Close()
	client, refused, served := newClient(), &AttemptTracker{}, make(chan error, 1)
	require.NoError(t, post(refused.Context(t.Context()), t, client, server.URL+"/refused"))
	go func() {
		request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader("body"))
		response, err := client.Do(request)
		if err == nil {
			err = response.Body.Close()
		}
		served <- err
	}()
	<-arrived
	assert.False(t, refused.Abort())
	close(respond)
	require.NoError(t, <-served)
}
