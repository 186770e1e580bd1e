package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// TestErrorsHoldNothingOfMalformedResponses guards against log lines with the content of responses.
func TestErrorsHoldNothingOfMalformedResponses(t *testing.T) {
	content := strings.Repeat("confidential", 300)
	for name, response := range map[string]string{
		"status line":    content + "\r\n\r\n",
		"version":        "HTTP/" + content + " 200 OK\r\n\r\n",
		"status":         "HTTP/1.1 2" + content + " OK\r\n\r\n",
		"header":         "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + content + "\r\n\r\n",
		"folded header":  "HTTP/1.1 200 OK\r\n " + content + "\r\n\r\n",
		"content length": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: " + content + "\r\n\r\n",
		"two lengths":    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\nContent-Length: " + content + "\r\n\r\n",
		"encoding":       "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: " + content + "\r\n\r\n",
		"chunk":          "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + content + "\r\n\r\n",
		"trailer": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\n" +
			content + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
				_, _ = http.ReadRequest(requests)
				_, _ = io.WriteString(conn, response)
				_ = conn.Close()
			})
			_, err := readAll(t, s.client(), request("1"))
			require.Error(t, err)
			assert.NotContains(t, err.Error(), "confidential")
			assert.Less(t, len(err.Error()), 100)
		})
	}
}

// TestMalformedHeads guards against a malformed response that is taken for a response, or whose body is another one than
// the upstream sent.
func TestMalformedHeads(t *testing.T) {
	const id, body = "X-Id: 1\r\n", "\r\n4\r\nbody\r\n0\r\n\r\n"
	filler := "X-Filler: " + strings.Repeat("f", 3*readBufferBytes) + "\r\n"
	for name, response := range map[string]string{
		"status 000":                    "HTTP/1.1 000 \r\n" + id + "Content-Length: 0\r\n\r\n",
		"status 000 before a response":  "HTTP/1.1 000 \r\n" + id + "\r\n" + okResponse("1", "one"),
		"status 600":                    "HTTP/1.1 600 \r\n" + id + "Content-Length: 0\r\n\r\n",
		"switch of protocols":           "HTTP/1.1 101 Switching Protocols\r\n" + id + "\r\n",
		"major version":                 "HTTP/2.0 200 OK\r\n" + id + "Content-Length: 0\r\n\r\n",
		"blank in a name":               "HTTP/1.1 200 OK\r\n" + id + "X Y: 1\r\nContent-Length: 0\r\n\r\n",
		"control byte in a name":        "HTTP/1.1 200 OK\r\n" + id + "X\x01: 1\r\nContent-Length: 0\r\n\r\n",
		"control byte in a value":       "HTTP/1.1 200 OK\r\n" + id + "X: \x01\r\nContent-Length: 0\r\n\r\n",
		"chunks behind a blank":         "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding : chunked\r\n" + body,
		"length behind a blank":         "HTTP/1.1 200 OK\r\n" + id + "Content-Length : 4\r\n\r\nbody and more",
		"folded chunks":                 "HTTP/1.1 200 OK\r\n" + id + "X: 1\r\n Transfer-Encoding: chunked\r\n" + body,
		"folded length":                 "HTTP/1.1 200 OK\r\n" + id + "X: 1\n\tContent-Length: 4\n\nbody and more",
		"folded length, long head":      "HTTP/1.1 200 OK\r\n" + id + filler + " Content-Length: 4\r\n\r\nbody and more",
		"folded chunks of HTTP/1.0":     "HTTP/1.0 200 OK\r\n" + id + "X: 1\r\n Transfer-Encoding: chunked\r\n" + body,
		"chunks of HTTP/1.0":            "HTTP/1.0 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n" + body,
		"chunks of HTTP/1.0, long head": "HTTP/1.0 200 OK\r\n" + id + filler + "transfer-encoding: chunked\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readAll(t, startUpstream(t, respondAndClose(response)).client(), request("1"))
			require.ErrorIs(t, err, ErrBroken)
		})
	}
	for _, head := range []string{"HTTP/1.0 200 OK\r\n" + id, "HTTP/1.1 200 OK\n" + id + filler} {
		t.Run("a response whose body looks like a malformed head is sound", func(t *testing.T) {
			s := startUpstream(t, respondAndClose(head+"\r\nTransfer-Encoding: body\r\n folded"))
			got, err := readAll(t, s.client(), request("1"))
			require.NoError(t, err)
			assert.Equal(t, "Transfer-Encoding: body\r\n folded", got)
		})
	}
}

// TestErrorsTellWhatIsMalformed guards against log lines by which faults of heads can't be told apart.
func TestErrorsTellWhatIsMalformed(t *testing.T) {
	for head, want := range map[string]string{
		"HTTP/1.1 000 \r\n":                                 "status 0, 100 to 599 are allowed",
		"HTTP/1.1 200 OK\r\nX Y: 1\r\n":                     "the name of a field is no token",
		"HTTP/1.1 200 OK\r\nX: 1\r\n Y: 1\r\n":              "folded line",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n": "Transfer-Encoding in HTTP/1.0",
	} {
		t.Run(want, func(t *testing.T) {
			_, err := readAll(t, startUpstream(t, respondAndClose(head+"\r\n")).client(), request("1"))
			assert.EqualError(t, err, "connection broke: malformed head of a response: "+want)
		})
	}
}

// respondAndClose sends a raw response to one request and closes the connection.
func respondAndClose(response string) func(conn net.Conn, requests *bufio.Reader) {
	return func(conn net.Conn, requests *bufio.Reader) {
		if r, err := http.ReadRequest(requests); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(conn, response)
		_ = conn.Close()
	}
}

// TestEndlessHeads guards against heads that an upstream never ends and that fill the memory of the box.
func TestEndlessHeads(t *testing.T) {
	for name, part := range map[string]string{
		"one line":          strings.Repeat("f", 1<<10),
		"many fields":       "\r\nX-Filler: 1",
		"interim responses": "\r\n\r\nHTTP/1.1 103 Early Hints",
	} {
		t.Run(name, func(t *testing.T) {
			s := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
				_, err := http.ReadRequest(requests)
				if err == nil {
					_, err = io.WriteString(conn, "HTTP/1.1 103 OK\r\nX-Filler: ")
				}
				for sent := 0; err == nil && sent < 16<<20; sent += 64 * len(part) {
					_, err = io.WriteString(conn, strings.Repeat(part, 64))
				}
				_ = conn.Close()
			})
			counted := &countedReads{}
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				var err error
				counted.Conn, err = (&net.Dialer{}).DialContext(ctx, network, address)
				return counted, err
			}
			_, err := readAll(t, New(s.listener.Addr().String(), clock.New().Monotonic, WithDial(dial)), request("1"))
			require.ErrorIs(t, err, ErrBroken)
			assert.Less(t, counted.bytes, 2*maxHeadBytes)
		})
	}
}

// TestHeadsOfKeptConnection guards against a kept connection that breaks once the heads of many responses, together or
// with their interim responses, exceed the limit of one request.
func TestHeadsOfKeptConnection(t *testing.T) {
	const requests = 4
	filler := "X-Filler: " + strings.Repeat("f", maxHeadBytes/3) + "\r\n"
	response := "HTTP/1.1 103 Early Hints\r\n" + filler + "\r\n" +
		strings.Replace(okResponse("1", "one"), "\r\n\r\n", "\r\n"+filler+"\r\n", 1)
	s := startUpstream(t, respondEach(slices.Repeat([]string{response}, requests)...))
	c := s.client()
	for range requests {
		body, err := readAll(t, c, request("1"))
		require.NoError(t, err)
		assert.Equal(t, "one", body)
	}
	assert.Len(t, s.conns, 1)
}

// countedReads is a connection that counts the bytes that were read.
type countedReads struct {
	net.Conn
	bytes int
}

// Read implements net.Conn.
func (c *countedReads) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes += n
	return n, err
}
