package inbound

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

// TestEndInTheMidstOfAResponse guards against responses that are cut for callers that have ended only their writing
// side, since nothing that follows is known to ask them with, and against upstreams that work on for those that left.
func TestEndInTheMidstOfAResponse(t *testing.T) {
	const (
		endsMs  = clock.Second
		pauseMs = 3 * clock.Second
		takes   = 5 * clock.Second
	)
	write := func(w http.ResponseWriter, part string) {
		_, err := io.WriteString(w, part)
		assert.NoError(t, errors.Join(err, http.NewResponseController(w).Flush()))
	}
	for _, c := range []struct {
		name, version, length string
		closes, unread        bool
		acksAfter, runs       clock.Millis
	}{
		{name: "a length", version: "HTTP/1.1", length: "12", runs: pauseMs + takes},
		{name: "HTTP/1.0", version: "HTTP/1.0", runs: pauseMs + takes},
		{name: "a length, a caller that has left", version: "HTTP/1.1", length: "12", closes: true, runs: pauseMs},
		{name: "HTTP/1.0, a caller that has left", version: "HTTP/1.0", closes: true, runs: pauseMs},
		{name: "a caller that acknowledges late", version: "HTTP/1.0", acksAfter: 40, runs: pauseMs + takes},
		{name: "a length, a caller that can't be reached", version: "HTTP/1.1", length: "12", unread: true, runs: pauseMs},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := &halfClosedConn{reads: !c.unread, version: c.version, endsAfter: endsMs.Duration()}
				caller.acksAfter = c.acksAfter.Duration()
				if c.closes {
					caller.closesAt = time.Now().Add(endsMs.Duration())
				}
				ran := serveHalfClosed(t, caller, takes.Duration(), func(w http.ResponseWriter, _ *Conn) {
					if c.length != "" {
						w.Header().Set("Content-Length", c.length)
					}
					<-time.After(time.Millisecond)
					write(w, "")
					// It ends right before a check.
					<-time.After((pauseMs - 2).Duration())
					write(w, "part")
				})
				assert.Equal(t, c.runs.Duration(), ran.Round(holdCheckMs.Duration()))
			})
		})
	}
}
