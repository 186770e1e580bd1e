package headcheck

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestResponse guards against malformed responses that count as responses, and against sound ones that don't.
func TestResponse(t *testing.T) {
	for name, c := range map[string]struct {
		head  string
		sound bool
	}{
		"sound":                  {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n", true},
		"HTTP/1.0":               {"HTTP/1.0 404 Not Found\r\n", true},
		"without a reason":       {"HTTP/1.1 503 \r\n", true},
		"interim":                {"HTTP/1.1 103 Early Hints\r\n", true},
		"status of zeros":        {"HTTP/1.1 000 \r\n", false},
		"status with a sign":     {"HTTP/1.1 +20 OK\r\n", false},
		"negative zero":          {"HTTP/1.1 -00 OK\r\n", false},
		"status below 100":       {"HTTP/1.1 099 OK\r\n", false},
		"status above 599":       {"HTTP/1.1 600 OK\r\n", false},
		"switch of protocols":    {"HTTP/1.1 101 Switching Protocols\r\n", false},
		"another major version":  {"HTTP/2.0 200 OK\r\n", false},
		"major version 0":        {"HTTP/0.9 200 OK\r\n", false},
		"blank before the colon": {"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n", false},
		"blank in a name":        {"HTTP/1.1 200 OK\r\nX Id: 3\r\n", false},
		"encoding with a blank":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.head+"\r\n")), nil)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			if c.sound {
				assert.NoError(t, Response(response))
				return
			}
			assert.ErrorIs(t, Response(response), ErrMalformed)
		})
	}
}
