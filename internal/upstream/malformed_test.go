package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
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
