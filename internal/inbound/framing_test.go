package inbound

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/socket"
)

// readChunks reads a body in chunks as strictly as RFC 9112 allows, and returns the zeros that led their sizes.
func readChunks(r *bufio.Reader) (body []byte, zeros int, err error) {
	for {
		line, err := r.ReadString('\n')
		digits, found := strings.CutSuffix(line, "\r\n")
		if err != nil || !found || len(digits) > 16 {
			return body, zeros, fmt.Errorf("size %q: %w", line, errors.Join(err, io.ErrUnexpectedEOF))
		}
		size, err := strconv.ParseUint(digits, 16, 32)
		if err != nil {
			return body, zeros, err
		}
		if zeros += len(digits) - len(strconv.FormatUint(size, 16)); size == 0 {
			_, err = io.ReadFull(r, make([]byte, 2))
			return body, zeros, err
		}
		data := make([]byte, size+2)
		if _, err := io.ReadFull(r, data); err != nil {
			return body, zeros, err
		}
		if !bytes.HasSuffix(data, []byte("\r\n")) {
			return body, zeros, errors.New("chunk without an end")
		}
		body = append(body, data[:size]...)
	}
}

// bodyOf returns the parts of a response that depends on a seed.
func bodyOf(seed uint64) [][]byte {
	random := rand.New(rand.NewPCG(seed, 1))
	parts := make([][]byte, 1+random.IntN(40))
	for i := range parts {
		// Parts longer than the buffers of net/http, and ends that fall on theirs.
		parts[i] = bytes.Repeat([]byte("0\r\n1"), 1+random.IntN([]int{2, 520, 5000}[random.IntN(3)]))
	}
	return parts
}

// serveAsked serves responses that depend on the seed in the path. While one is written, its caller is asked all the
// time.
func serveAsked(t *testing.T, responses *exchange.Memory) (address string, asked *atomic.Int64) {
	t.Helper()
	asked = &atomic.Int64{}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := NewListener(inner, 8, responses, clock.New(), WithHeldEnds())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seed, _ := strconv.ParseUint(r.URL.Path[1:], 10, 64)
		random := rand.New(rand.NewPCG(seed, 2))
		writer := exchange.NewWriter(w)
		conn := ConnOf(r.Context())
		writer.SetUnread(conn.Unread())
		writer.OnStart(func(header http.Header) { conn.BeginResponse(r, header) })
		writer.HoldUnread(func() {})
		ctx, cancel := context.WithCancel(context.Background())
		asking := sync.WaitGroup{}
		asking.Go(func() {
			for ctx.Err() == nil {
				if sent, err := conn.ask(); sent && err == nil {
					asked.Add(1)
				}
				runtime.Gosched()
			}
		})
		for _, part := range bodyOf(seed) {
			_, _ = writer.Write(part)
			if random.IntN(3) > 0 {
				_ = writer.FlushNow()
				for range random.IntN(100) {
					runtime.Gosched()
				}
			}
		}
		if random.IntN(2) == 0 {
			_ = writer.FlushNow()
		}
		_ = writer.AwaitRead()
		conn.EndResponse(writer.FlushNow)
		cancel()
		asking.Wait()
	})}
	Attach(server, clock.New().Monotonic)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		assert.NoError(t, server.Close())
		<-served
	})
	return inner.Addr().String(), asked
}

// TestAskingKeepsFraming guards against responses that look otherwise to their callers since these were asked.
func TestAskingKeepsFraming(t *testing.T) {
	for name, responses := range map[string]*exchange.Memory{"held": exchange.NewMemory(1 << 20), "not held": nil} {
		t.Run(name, func(t *testing.T) {
			address, asked := serveAsked(t, responses)
			client := &http.Client{}
			t.Cleanup(client.CloseIdleConnections)
			zeros := 0
			for seed := range uint64(60) {
				want := bytes.Join(bodyOf(seed), nil)
				path := fmt.Sprint("/", seed)
				r, err := client.Get("http://" + address + path)
				require.NoError(t, err)
				body, err := io.ReadAll(r.Body)
				require.NoError(t, err)
				require.NoError(t, r.Body.Close())
				require.True(t, bytes.Equal(want, body), "net/http, seed %d", seed)
				body, led := readRaw(t, address, path, "HTTP/1.1")
				zeros += led
				require.True(t, bytes.Equal(want, body), "chunks, seed %d", seed)
				body, _ = readRaw(t, address, path, "HTTP/1.0")
				require.True(t, bytes.Equal(want, body), "HTTP/1.0, seed %d", seed)
			}
			assert.Positive(t, zeros)
			assert.Greater(t, asked.Load(), int64(zeros), "also with the version of HTTP/1.0")
		})
	}
}

// skipInterim reads the interim responses that a caller by HTTP/1.1 gets while its response takes long.
func skipInterim(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	for {
		next, err := reader.Peek(len(interimResponse))
		if err != nil || string(next) != interimResponse {
			return
		}
		_, err = reader.Discard(len(interimResponse))
		require.NoError(t, err)
	}
}

// readRaw sends two requests on one connection whose caller then ends its side, or one by HTTP/1.0, and returns the
// body of the last response.
func readRaw(t *testing.T, address, path, version string) (body []byte, zeros int) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	requests := 2
	if version == "HTTP/1.0" {
		requests = 1
	}
	_, err = io.WriteString(conn, strings.Repeat("GET "+path+" "+version+"\r\nHost: h\r\n\r\n", requests))
	require.NoError(t, err)
	socket, ok := conn.(*net.TCPConn)
	require.True(t, ok)
	require.NoError(t, socket.CloseWrite())
	reader := bufio.NewReader(conn)
	for range requests {
		skipInterim(t, reader)
		chunked, length, status := false, -1, ""
		for line := ""; line != "\r\n"; {
			line, err = reader.ReadString('\n')
			require.NoError(t, err)
			if status == "" {
				status = line
			}
			chunked = chunked || line == "Transfer-Encoding: chunked\r\n"
			_, _ = fmt.Sscanf(line, "Content-Length: %d\r\n", &length)
		}
		require.Equal(t, version+" 200 OK\r\n", status)
		switch {
		case chunked:
			led := 0
			body, led, err = readChunks(reader)
			zeros += led
		case length >= 0:
			body = make([]byte, length)
			_, err = io.ReadFull(reader, body)
		default:
			body, err = io.ReadAll(reader)
		}
		require.NoError(t, err)
	}
	rest, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Empty(t, rest)
	return body, zeros
}

// TestEndBehindByteAhead guards against a response that some callers take for complete, since the connection ended in
// order behind a byte that was sent ahead.
func TestEndBehindByteAhead(t *testing.T) {
	const begun = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n"
	for _, c := range []struct {
		name          string
		minor         int
		before, after string
		asks          int
		want          error
	}{
		{"a zero before a chunk", 1, begun, "", 1, syscall.ECONNRESET},
		{"all zeros before a chunk", 1, begun, "", maxLeadingZeros + 1, syscall.ECONNRESET},
		{"a zero before the first chunk", 1, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "", 1, syscall.ECONNRESET},
		{"a zero before the last chunk", 1, begun, "0\r\n\r\n", 1, nil},
		{"within a size", 1, begun + "1", "", 1, nil},
		{"within a chunk", 1, begun + "2\r\nb", "", 1, nil},
		{"after the last chunk", 1, begun + "0\r\n\r\n", "", 1, nil},
		{"a length", 1, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "", 1, nil},
		{"within a head", 1, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "\r\n", 1, nil},
		{"before a response", 1, "", "", 1, nil},
		{"before a response by HTTP/1.0", 0, "", "", 1, syscall.ECONNRESET},
		{"the whole version of HTTP/1.0", 0, "", "", len(oldVersion) + 1, syscall.ECONNRESET},
		{"a response by HTTP/1.0", 0, "", "HTTP/1.0 200 OK\r\n\r\n", 3, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			caller, conn := newFixture(t, 1).connect()
			conn.trackRequest(&http.Request{ProtoMajor: 1, ProtoMinor: c.minor})
			write := func(data string) {
				if data != "" {
					_, err := io.WriteString(conn, data)
					require.NoError(t, err)
				}
			}
			write(c.before)
			sent := 0
			for range c.asks {
				ahead, err := conn.ask()
				require.NoError(t, err)
				sent += boolInt(ahead)
			}
			assert.LessOrEqual(t, sent, max(maxLeadingZeros, len(oldVersion)))
			write(c.after)
			direct, ok := conn.Conn.(*socket.Conn)
			require.True(t, ok)
			require.NoError(t, direct.Close())
			_, err := io.ReadAll(caller)
			assert.ErrorIs(t, err, c.want)
		})
	}
}

// TestOtherBytesThanAhead guards against a response that does not begin with what its caller has of it.
func TestOtherBytesThanAhead(t *testing.T) {
	caller, conn := newFixture(t, 1).connect()
	conn.trackRequest(&http.Request{ProtoMajor: 1})
	sent, err := conn.ask()
	require.NoError(t, err)
	require.True(t, sent)
	_, err = io.WriteString(conn, "no response")
	require.ErrorIs(t, err, net.ErrClosed)
	got, err := io.ReadAll(caller)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	assert.LessOrEqual(t, len(got), 1)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// connectUnheld returns both ends of a connection whose writes wait for the caller, while a stream on it pauses.
func connectUnheld(t *testing.T) (caller net.Conn, conn *Conn) {
	t.Helper()
	f := newFixture(t, 1)
	f.listener.responses = nil
	caller, conn = f.connect()
	conn.trackRequest(&http.Request{ProtoMajor: 1, ProtoMinor: 1})
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")
	require.NoError(t, err)
	return caller, conn
}

// TestAskingLongAfterWrite guards against callers that are not asked, since the write deadline of what was written last
// has passed while a stream pauses.
func TestAskingLongAfterWrite(t *testing.T) {
	_, conn := connectUnheld(t)
	require.NoError(t, conn.SetWriteDeadline(time.Now().Add(-time.Second)))
	sent, err := conn.ask()
	require.NoError(t, err)
	assert.True(t, sent)
}

// TestFailedWriteBehindByteAhead guards against a response that some callers take for complete, since the connection
// ended in order behind a byte that was sent ahead of a write that failed.
func TestFailedWriteBehindByteAhead(t *testing.T) {
	caller, conn := connectUnheld(t)
	sent, err := conn.ask()
	require.NoError(t, err)
	require.True(t, sent)
	require.NoError(t, conn.SetWriteDeadline(time.Now().Add(-time.Second)))
	_, err = io.WriteString(conn, "1\r\nb\r\n")
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	conn.ended.Store(true)
	require.NoError(t, conn.Close())
	_, err = io.ReadAll(caller)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}
