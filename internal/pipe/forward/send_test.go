package forward

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/apierror"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/metrics"
	"dooryard.example/dooryard/internal/pool"
	"dooryard.example/dooryard/internal/table"
	"dooryard.example/dooryard/internal/transport"
	"dooryard.example/dooryard/pkg/config"
)

// TestCopyHeader guards against forwarding headers that the sender meant for this connection only.
func TestCopyHeader(t *testing.T) {
	for name, connection := range map[string][]string{
		"each in a line of its own": {"x-one", "X-Two"},
		"in a list":                 {"x-one,X-Two"},
		"in a list with spaces":     {" x-one ,\tX-Two ", "close"},
		"in a list with gaps":       {",x-one,,X-Two,"},
	} {
		t.Run(name, func(t *testing.T) {
			source := http.Header{"X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3"}, "Connection": connection}
			target := http.Header{}
			copyHeader(target, source)
			assert.Equal(t, http.Header{"X-Three": {"3"}}, target)
		})
	}
}

// TestRequestIsSentOnce guards against a request that the HTTP client sends again when a connection that it reuses breaks.
func TestRequestIsSentOnce(t *testing.T) {
	for _, c := range []struct{ method, body string }{
		{http.MethodGet, ""},
		{http.MethodHead, ""},
		{http.MethodOptions, ""},
		{http.MethodTrace, ""},
		{http.MethodDelete, ""},
		{http.MethodPost, ""},
		{http.MethodPost, "x"},
	} {
		t.Run(c.method+" "+c.body, func(t *testing.T) {
			var breaks atomic.Bool
			var received atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !breaks.Load() {
					return
				}
				received.Add(1)
				assert.Empty(t, r.TransferEncoding, "the framing of the body")
				conn, _, err := http.NewResponseController(w).Hijack()
				if assert.NoError(t, err) {
					_ = conn.Close()
				}
			}))
			defer server.Close()
			p := New(Dependencies{
				Transport: transport.New(transport.Settings{ConnectTimeoutMs: 1000, MaxIdlePerHost: 1}),
				Tracer:    noop.NewTracerProvider().Tracer(""), Clock: clock.New(),
			})
			send := func() error {
				incoming := httptest.NewRequestWithContext(t.Context(), c.method, "/", bytes.NewBufferString(c.body))
				x := exchange.New(t.Context(), "id", httptest.NewRecorder(), incoming, exchange.Service, 0)
				x.Organisation, x.Body, x.IdempotencyKey = &table.Organisation{Name: "o"}, []byte(c.body), "key"
				lease := pool.NewRemoteLease("u", server.Listener.Addr().String(), nil, func(bool) {})
				request, err := p.request(t.Context(), x, lease)
				require.NoError(t, err)
				response, err := p.client.Do(request)
				if err == nil {
					err = response.Body.Close()
				}
				return err
			}
			require.NoError(t, send())
			breaks.Store(true)
			require.Error(t, send())
			assert.EqualValues(t, 1, received.Load())
		})
	}
}

// TestRefusalKeepsItsConnection guards against requests that fail because their connection is closed after the refusal of
// another one.
func TestRefusalKeepsItsConnection(t *testing.T) {
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(engine.HeaderNotExecuted, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	through := transport.New(transport.Settings{ConnectTimeoutMs: 1000, MaxIdlePerHost: 1})
	for range 3 {
		x, _ := runPipeTo(t, server.Listener.Addr().String(), exchange.Service, through, nil)
		assert.Equal(t, exchange.NotRun, x.Outcome)
	}
	assert.EqualValues(t, 1, opened.Load())
}

// TestNoAttemptBeginsAfterItsTime guards against a request that an upstream gets when its response can't arrive in time, so
// that it may have run although every upstream before had refused it.
func TestNoAttemptBeginsAfterItsTime(t *testing.T) {
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		w.Header().Set(engine.HeaderNotExecuted, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	var now atomic.Int64
	p := New(Dependencies{
		Transport: transport.New(transport.Settings{ConnectTimeoutMs: 1000, MaxIdlePerHost: 1}),
		Report:    func(string, int) {}, OnDue: func(*exchange.Exchange) {}, Metrics: metrics.New(),
		Tracer: noop.NewTracerProvider().Tracer(""), Logger: zap.NewNop(),
		Clock: clock.New(clock.WithMonotonic(func() clock.Millis { return clock.Millis(now.Load()) })),
		Next: func(*exchange.Exchange, pool.Tried) (*pool.Lease, error) {
			now.Store(1000)
			return pool.NewRemoteLease("second", address, nil, func(failed bool) {
				assert.False(t, failed, "it got nothing")
			}), nil
		},
	})
	p.Default(&config.Router{})
	incoming := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", http.NoBody)
	x := exchange.New(t.Context(), "id", httptest.NewRecorder(), incoming, exchange.Service, 0)
	x.Organisation, x.Deadline, x.RespondBy = &table.Organisation{Name: "o"}, 1100, 1000
	x.Lease = pool.NewRemoteLease("first", address, nil, func(bool) {})
	err := p.Run(x)
	var response *apierror.Error
	require.ErrorAs(t, err, &response)
	assert.Equal(t, http.StatusGatewayTimeout, response.Status)
	assert.Equal(t, exchange.NotRun, x.Outcome)
	assert.EqualValues(t, 1, received.Load())
}
