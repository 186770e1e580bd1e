package server

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/secret"
	"dooryard.example/dooryard/internal/testlib"
	"dooryard.example/dooryard/pkg/config"
)

func ok(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func testLimits() Limits {
	return Limits{MaxHeaderBytes: 4096, HeaderTimeoutMs: 1000, IdleTimeoutMs: 5000, MaxConnections: 100}
}

func TestHostileCallers(t *testing.T) {
	inBubble := func(t *testing.T, test func(t *testing.T, host testlib.Host, address string)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			host := testlib.NewNetwork().Host("box")
			s, err := Open("callers", config.Listener{Address: "127.0.0.1:0"}, testLimits(), http.HandlerFunc(ok), host.Listen)
			require.NoError(t, err)
			go func() { _ = s.Serve() }()
			defer s.Close()
			test(t, host, s.Address())
		})
	}
	t.Run("that send their header slowly are disconnected", func(t *testing.T) {
		inBubble(t, func(t *testing.T, host testlib.Host, address string) {
			t.Helper()
			conn, err := host.Dial(t.Context(), "tcp", address)
			require.NoError(t, err)
			start := clock.New().Now()
			_, err = conn.Write([]byte("GET / HTTP/1.1\r\n"))
			require.NoError(t, err)
			_, _ = io.ReadAll(conn)
			assert.Equal(t, clock.Second, clock.New().Now()-start)
		})
	})
	t.Run("that send a large header get status 431", func(t *testing.T) {
		inBubble(t, func(t *testing.T, host testlib.Host, address string) {
			t.Helper()
			conn, err := host.Dial(t.Context(), "tcp", address)
			require.NoError(t, err)
			go func() {
				_, _ = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 20_000) + "\r\n\r\n"))
			}()
			answer := make([]byte, 12)
			_, err = io.ReadFull(conn, answer)
			require.NoError(t, err)
			assert.Equal(t, "HTTP/1.1 431", string(answer))
			require.NoError(t, conn.Close())
			// The server delays closing such a connection.
			_ = clock.New().Sleep(t.Context(), clock.Second)
		})
	})
}

func TestRequireKey(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "key")
	write := func(content string, at time.Time) {
		require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
		require.NoError(t, os.Chtimes(path, at, at))
	}
	now := clock.Millis(0)
	write("the-first-key-of-all", time.Unix(1, 0))
	keys, err := secret.Load(path, func() clock.Millis { return now })
	require.NoError(t, err)
	status := func(key string) int {
		recorder := &statusWriter{}
		request := &http.Request{Header: http.Header{"Authorization": {"Bearer " + key}}}
		RequireKey(keys, http.HandlerFunc(ok)).ServeHTTP(recorder, request)
		return recorder.status
	}
	t.Run("accepts the key and no other", func(t *testing.T) {
		assert.Equal(t, 200, status("the-first-key-of-all"))
		assert.Equal(t, 401, status("another-key-than-that"))
		assert.Equal(t, 401, status(""))
	})
	t.Run("accepts rotated keys without a restart", func(t *testing.T) {
		write("the-second-key-of-all\nthe-first-key-of-all\n", time.Unix(2, 0))
		now += 2000
		assert.Equal(t, 200, status("the-second-key-of-all"))
		assert.Equal(t, 200, status("the-first-key-of-all"))
		assert.Equal(t, "the-second-key-of-all", keys.Current())
	})
	t.Run("keeps the previous keys if the file becomes invalid", func(t *testing.T) {
		write("short", time.Unix(3, 0))
		now += 2000
		assert.Equal(t, 200, status("the-second-key-of-all"))
	})
	t.Run("rejects a short key at startup", func(t *testing.T) {
		_, err := secret.Load(path, func() clock.Millis { return now })
		assert.ErrorIs(t, err, secret.ErrNoKey)
	})
}

type statusWriter struct {
	header http.Header
	status int
}

func (w *statusWriter) Header() http.Header {
	if w.header == nil {
		w.header = http.Header{}
	}
	return w.header
}

func (w *statusWriter) WriteHeader(status int) { w.status = status }

func (*statusWriter) Write(data []byte) (int, error) { return len(data), nil }

func TestPanicOfAHandlerIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := testlib.NewNetwork().Host("box")
		traces := make(chan string, 1)
		panics := func(http.ResponseWriter, *http.Request) { panic("a fault of the handler") }
		s, err := Open("callers", config.Listener{Address: "127.0.0.1:0"}, testLimits(), http.HandlerFunc(panics), host.Listen,
			WithOnPanic(func(trace string) { traces <- trace }))
		require.NoError(t, err)
		go func() { _ = s.Serve() }()
		defer s.Close()
		conn, err := host.Dial(t.Context(), "tcp", s.Address())
		require.NoError(t, err)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		assert.Contains(t, <-traces, "a fault of the handler")
		require.NoError(t, conn.Close())
	})
}

func TestTLS(t *testing.T) {
	dir := t.TempDir()
	files := config.TLS{CertificateFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key")}
	testlib.WriteCertificate(t, files, 1)
	now := time.Now()
	certificate, err := newCertificateReloader(files)
	require.NoError(t, err)
	certificate.now = func() time.Time { return now }
	serial := func() int64 {
		pair, err := certificate.get(&tls.ClientHelloInfo{})
		require.NoError(t, err)
		parsed, err := x509.ParseCertificate(pair.Certificate[0])
		require.NoError(t, err)
		return parsed.SerialNumber.Int64()
	}
	t.Run("serves the pair from the files", func(t *testing.T) { assert.EqualValues(t, 1, serial()) })
	t.Run("serves a new pair without a restart", func(t *testing.T) {
		testlib.WriteCertificate(t, files, 2)
		now = now.Add(2 * certificateCheckInterval)
		assert.EqualValues(t, 2, serial())
	})
	t.Run("keeps the previous pair if the files do not match", func(t *testing.T) {
		require.NoError(t, os.WriteFile(files.KeyFile, []byte("x"), 0o600))
		now = now.Add(2 * certificateCheckInterval)
		assert.EqualValues(t, 2, serial())
	})
}
