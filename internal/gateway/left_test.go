package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/opaque"
)

// TestAnswerLeft guards against a silent close for a caller that has only ended its writing side, and against a refusal
// that tells it wrongly that nothing ran.
func TestAnswerLeft(t *testing.T) {
	left := opaque.NewRefusal(opaque.StatusCallerDisconnected, opaque.CallerDisconnected, 0, errors.New("canceled"))
	for _, c := range []struct {
		name                string
		mayHaveRun, started bool
		status              int
		retryAfter          string
	}{
		{"it was not sent", false, false, http.StatusServiceUnavailable, fmt.Sprint(leftRetryMs)},
		{"it may have run", true, false, http.StatusBadGateway, ""},
		{"its response has begun", true, true, http.StatusOK, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			r := &opaque.Request{
				HTTP:   httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil),
				Writer: exchange.NewWriter(w), MayHaveRun: c.mayHaveRun,
				Dialect: &opaque.Dialect{RetryAfter: func(span clock.Millis) string { return fmt.Sprint(span) }},
			}
			if c.started {
				r.Writer.WriteHeader(http.StatusOK)
			}
			err := answerLeft(r, left)
			(&Box{}).refuse(r, err)
			assert.Equal(t, c.status, w.Code)
			assert.Equal(t, c.retryAfter, w.Header().Get("Retry-After"))
			assert.Equal(t, c.started, abortsConnection(err))
		})
	}
}
