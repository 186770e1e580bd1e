package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/metrics"
	"dooryard.example/dooryard/internal/pool"
	"dooryard.example/dooryard/internal/table"
	"dooryard.example/dooryard/internal/upstream"
	"dooryard.example/dooryard/pkg/config"
)

// unframedTransport answers each request with a body that has neither a length nor chunks.
type unframedTransport struct {
	contentType string
	body        io.Reader
}

// RoundTrip implements http.RoundTripper.
func (t unframedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	header := http.Header{
		"Content-Type": {t.contentType}, "Connection": {"close, x-for-this-hop"}, "X-For-This-Hop": {"1"},
	}
	header.Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	return &http.Response{
		ProtoMajor: 1, ProtoMinor: 1, StatusCode: http.StatusOK, Header: header, ContentLength: -1,
		Body: io.NopCloser(t.body), Request: r,
	}, nil
}

// resetReader ends a body with a reset of its connection.
type resetReader struct{}

var errConnReset = errors.New("connection reset by peer")

func (resetReader) Read([]byte) (int, error) { return 0, errConnReset }

// TestUnframedResponses guards against a response that its connection cut off and that is delivered, and recorded under
// its key, as complete; and against one that is complete and is not delivered.
func TestUnframedResponses(t *testing.T) {
	const finalEvent = "data: [DONE]\n\n"
	for _, c := range []struct {
		name    string
		kind    exchange.Kind
		events  bool
		body    io.Reader
		crashed bool
		outcome exchange.Outcome
		status  int
	}{
		{"a whole call", exchange.Service, false, strings.NewReader("done"), false, exchange.Ran, 200},
		{"a call that is reset", exchange.Service, false, io.MultiReader(strings.NewReader("do"), resetReader{}), false, exchange.Unknown, 0},
		{"a call whose server crashes", exchange.Service, false, strings.NewReader("do"), true, exchange.Unknown, 0},
		{"a whole chat", exchange.Chat, false, strings.NewReader("{}"), false, exchange.Ran, 200},
		{"a chat whose engine crashes", exchange.Chat, false, strings.NewReader("{"), true, exchange.Unknown, 0},
		{"a whole stream", exchange.Chat, true, strings.NewReader("data: a\n\n" + finalEvent), false, exchange.Ran, 200},
		{"a stream without its final event", exchange.Chat, true, strings.NewReader("data: a\n\n"), false, exchange.Unknown, 200},
		{"a stream that ends inside its final event", exchange.Chat, true, strings.NewReader("data: a\n\ndata: [DO"), false, exchange.Unknown, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			contentType := "application/json"
			if c.events {
				contentType = "text/event-stream"
			}
			crashed := func(context.Context, string) bool { return c.crashed }
			x, caller := runPipe(t, c.kind, unframedTransport{contentType: contentType, body: c.body}, crashed)
			assert.Equal(t, c.outcome, x.Outcome)
			assert.Equal(t, c.status, x.Writer.Status())
			assert.NotContains(t, caller.Header(), "X-For-This-Hop")
		})
	}
}

// malformedTransport answers each request with a status or a field that no response has.
type malformedTransport struct {
	status int
	field  string
}

// RoundTrip implements http.RoundTripper.
func (t malformedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	header := http.Header{t.field: {"1"}}
	header.Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	return &http.Response{
		ProtoMajor: 1, ProtoMinor: 1, StatusCode: t.status, Header: header, Body: http.NoBody, Request: r,
	}, nil
}

// TestMalformedHeads guards against a malformed response that is delivered, or that ends the request with a panic.
func TestMalformedHeads(t *testing.T) {
	for name, malformed := range map[string]malformedTransport{
		"status 000":          {status: 0, field: "X-Field"},
		"status 600":          {status: 600, field: "X-Field"},
		"blank behind a name": {status: http.StatusOK, field: "Content-Length "},
	} {
		t.Run(name, func(t *testing.T) {
			x, _ := runPipe(t, exchange.Service, malformed, func(context.Context, string) bool { return false })
			assert.Equal(t, exchange.Unknown, x.Outcome)
			assert.Zero(t, x.Writer.Status())
		})
	}
}

// readerFunc is a function that reads.
type readerFunc func(data []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(data []byte) (int, error) { return f(data) }

// TestUnframedResponseWhoseProcessEnds guards against half a response that is recorded as complete since the next process
// accepts connections, and against a whole one that is withheld.
func TestUnframedResponseWhoseProcessEnds(t *testing.T) {
	for ends, want := range map[bool]exchange.Outcome{true: exchange.Unknown, false: exchange.Ran} {
		synctest.Test(t, func(t *testing.T) {
			own, far := net.Pipe()
			end := readerFunc(func([]byte) (int, error) {
				time.Sleep(100 * time.Millisecond)
				if ends {
					_ = far.Close()
				}
				return 0, io.EOF
			})
			through := unframedTransport{contentType: "text/plain", body: io.MultiReader(strings.NewReader("do"), end)}
			dial := func(context.Context, string, string) (net.Conn, error) { return own, nil }
			accepts := func(context.Context, string) bool {
				time.Sleep(upstream.CloseSettleMs.Duration())
				return false
			}
			x, _ := runWitnessedPipe(t, "127.0.0.1:1", exchange.Service, through, accepts, dial)
			assert.Equal(t, want, x.Outcome)
			_ = far.Close()
			synctest.Wait()
		})
	}
}

// resumedTransport answers the first request with a stream that breaks, and all others with the rest and a malformed head.
type resumedTransport struct{ resumes *int }

// RoundTrip implements http.RoundTripper.
func (t resumedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPost {
		broken := io.MultiReader(strings.NewReader("id: 0\ndata: a\n\n"), resetReader{})
		return unframedTransport{contentType: "text/event-stream", body: broken}.RoundTrip(r)
	}
	if r.Method == http.MethodGet {
		*t.resumes++
	}
	rest := strings.NewReader("id: 1\ndata: [DONE]\n\n")
	response, err := unframedTransport{contentType: "text/event-stream", body: rest}.RoundTrip(r)
	_, id, _ := strings.Cut(r.URL.Path, "/v1/streams/")
	response.Header.Set(engine.HeaderRequestID, id)
	response.Header["Transfer-Encoding "] = []string{"chunked"}
	return response, err
}

// TestMalformedHeadOfResumedStream guards against the rest of a stream that is taken from a malformed response.
func TestMalformedHeadOfResumedStream(t *testing.T) {
	resumes := 0
	x, caller := runPipe(t, exchange.Chat, resumedTransport{&resumes}, func(context.Context, string) bool { return false })
	assert.Equal(t, exchange.Unknown, x.Outcome)
	assert.NotContains(t, caller.Body.String(), "[DONE]")
	assert.Equal(t, maxIdleResumes, resumes)
}

// runPipe runs a pipe with one request.
func runPipe(
	t *testing.T, kind exchange.Kind, through http.RoundTripper, mayHaveCrashed func(context.Context, string) bool,
) (*exchange.Exchange, *httptest.ResponseRecorder) {
	t.Helper()
	return runPipeTo(t, "127.0.0.1:1", kind, through, mayHaveCrashed)
}

func runPipeTo(
	t *testing.T, address string, kind exchange.Kind, through http.RoundTripper,
	mayHaveCrashed func(context.Context, string) bool,
) (*exchange.Exchange, *httptest.ResponseRecorder) {
	t.Helper()
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	return runWitnessedPipe(t, address, kind, through, mayHaveCrashed, refuse)
}

// runWitnessedPipe runs a pipe whose witnesses' connections a function opens.
func runWitnessedPipe(
	t *testing.T, address string, kind exchange.Kind, through http.RoundTripper,
	mayHaveCrashed func(context.Context, string) bool, dial upstream.Dial,
) (*exchange.Exchange, *httptest.ResponseRecorder) {
	t.Helper()
	pipe := New(Dependencies{
		Transport: through, Report: func(string, int) {},
		Witness:        upstream.NewWitnesses(dial, clock.New().Monotonic).At,
		MayHaveCrashed: mayHaveCrashed, Metrics: metrics.New(),
		Tracer: noop.NewTracerProvider().Tracer(""), Logger: zap.NewNop(), Clock: clock.New(),
		OnDue: func(*exchange.Exchange) {},
		Next:  func(*exchange.Exchange, pool.Tried) (*pool.Lease, error) { return nil, errNotRun },
	})
	pipe.Default(&config.Router{})
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", http.NoBody)
	caller := httptest.NewRecorder()
	x := exchange.New(t.Context(), "id", caller, request, kind, 0)
	x.Organisation, x.Deadline = &table.Organisation{Name: "o"}, clock.New().Now()
	x.RespondBy = x.Deadline
	x.Lease = pool.NewRemoteLease("u", address, nil, func(bool) {})
	_ = pipe.Run(x)
	return x, caller
}
