package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/internal/testlib"
	"dooryard.example/dooryard/pkg/config"
)

// dialect is what the tests' callers and upstreams speak.
func dialect() *opaque.Dialect {
	return &opaque.Dialect{
		RequestID: "X-Id", DeadlineMs: "X-Deadline", Organisation: "X-Organisation", ExpectUpstream: "X-Expect",
		NotRun: "X-Not-Run", Word: word, ToBox: []string{"X-Load", "X-Not-Run"}, Urgency: "X-Urgency", Prompt: "X-Prompt", LastEventID: "Last-Event-Id",
		FetchFrom: "X-Fetch", Reserved: []string{"X-Reserved"},
		Key:        func(h http.Header) string { return h.Get("Authorization") },
		RetryAfter: func(span clock.Millis) string { return strconv.FormatInt(int64(span), 10) + "ms" },
	}
}

// Headers by which the tests' upstreams speak of themselves.
const (
	headerRestMs  = "X-Rest-Ms"
	headerLeaving = "X-Leaving"
)

func word(_ int, header http.Header) opaque.Word {
	holds, err := strconv.Atoi(header.Get("X-Load"))
	w := opaque.Word{Leaving: header.Get(headerLeaving) != "", Holds: holds, TellsLoad: err == nil}
	if value := header.Get(headerRestMs); value != "" {
		var restMs int
		restMs, w.Err = strconv.Atoi(value)
		w.RestMs = clock.Millis(restMs)
	}
	return w
}

// fleet is a network with a store, upstreams and boxes.
type fleet struct {
	t       *testing.T
	network *testlib.Network
	store   *store
	clock   clock.Clock
	// skippedMs and steppedMs are how far the boxes' steady clock and time of day are
	// off the bubble's.
	skippedMs, steppedMs atomic.Int64
	// out takes the boxes' log lines.
	out io.Writer
}

// skipSteady moves the boxes' steady clock on.
func (f *fleet) skipSteady(span clock.Millis) { f.skippedMs.Add(int64(span)) }

// stepNow sets the boxes' time of day.
func (f *fleet) stepNow(span clock.Millis) { f.steppedMs.Add(int64(span)) }

// capacityFor gives a box files for so many callers' connections.
func capacityFor(connections int) func(g *config.Gateway) {
	return func(g *config.Gateway) { g.Capacity.OpenFiles = reservedFiles + connections*connectionsShare }
}

// inFlightAt is how many requests a box has at upstreams.
func (*fleet) inFlightAt(b *running) int {
	sum := 0
	for _, count := range b.balance.InFlight() {
		sum += count
	}
	return sum
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, network: testlib.NewNetwork(), store: newStore(), out: io.Discard}
	bubbles := clock.New()
	f.clock = clock.New(
		clock.WithSteady(func() clock.Millis { return bubbles.Steady() + clock.Millis(f.skippedMs.Load()) }),
		clock.WithNow(func() clock.Millis { return bubbles.Now() + clock.Millis(f.steppedMs.Load()) }),
	)
	f.store.setState(t, content(1))
	return f
}

const (
	host      = "a.example"
	key       = "secret"
	maxAgeMs  = 5000
	timeoutMs = 4000
)

// content is a routing state with one route of each kind, and one public one.
func content(version int64) routing.Content {
	route := func(path string, kind routing.Kind, attempts int) routing.Route {
		return routing.Route{
			Name: path, Host: host, PathPrefix: "/" + path + "/", Kind: kind, Attempts: attempts, TimeoutMs: timeoutMs,
			ObjectiveMs: 500, GapMs: 300, Splits: []routing.Split{{Pool: "p", Weight: 1}},
		}
	}
	resumable, public := route("resumable", routing.Stream, 2), route("public", routing.Safe, 2)
	sticky := route("sticky", routing.Safe, 2)
	resumable.Resumable, public.Public, sticky.Sticky = true, true, true
	return routing.Content{
		Version: version,
		Routes: []routing.Route{
			route("safe", routing.Safe, 2), route("unsafe", routing.Unsafe, 1),
			route("unsafe2", routing.Unsafe, 2), route("stream", routing.Stream, 1), resumable, public, sticky,
		},
		Pools:         []routing.Pool{{Name: "p"}},
		Organisations: []routing.Organisation{{Name: "one", Keys: []string{key}}},
		Limits:        routing.Limits{MaxBodyBytes: 1 << 20},
	}
}

// upstream starts a server and puts it on the list.
func (f *fleet) upstream(id string, handler http.HandlerFunc) {
	f.t.Helper()
	f.upstreamIn(id, "d", handler)
}

// upstreamIn starts a server of a failure domain and puts it on the list.
func (f *fleet) upstreamIn(id, domain string, handler http.HandlerFunc) {
	f.t.Helper()
	address := f.server(id, func(w http.ResponseWriter, r *http.Request) {
		w.Header()["X-Id"] = r.Header["X-Id"]
		handler(w, r)
	})
	f.store.put(registry.Upstream{ID: id, Pool: "p", Address: address, FailureDomain: domain, Slots: 8})
}

func (f *fleet) server(name string, handler http.HandlerFunc) string {
	f.t.Helper()
	listener, err := f.network.Host(name).Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	server := &http.Server{Handler: handler} //nolint:gosec // No network that could stall it.
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// running is a box that runs.
type running struct {
	*Box
	fleet    *fleet
	settings config.Gateway
	stop     context.CancelFunc
	done     chan error
}

// box starts a box; its IP number follows from its number.
func (f *fleet) box(number int, change ...func(g *config.Gateway)) *running {
	f.t.Helper()
	name := "box-" + strconv.Itoa(number)
	at := func(port string) string { return "127.0.0." + strconv.Itoa(number) + ":" + port }
	settings := config.Gateway{
		Box: name, FailureDomain: "d", CallersAddress: at("1000"), ReadinessAddress: at("1010"), PeersAddress: at("1020"),
		Contacts: []string{"127.0.0.1:9"}, Store: config.Store{Address: at("1")},
		Freshness: config.Freshness{MaxAgeMs: maxAgeMs}, Shutdown: config.Shutdown{GraceS: 8},
	}
	for _, one := range change {
		one(&settings)
	}
	h := f.network.Host(name)
	adapter := Adapter{ReadinessPath: "/ready", Dialect: dialect(), Source: func(c clock.Clock, _ func() config.Gateway) Source {
		return f.store.source(name, c)
	}}
	b, err := New(settings, adapter, f.out, WithClock(f.clock), WithListen(h.Listen),
		WithListenPackets(h.ListenPackets), WithDial(h.Dial))
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(f.t.Context())
	r := &running{Box: b, fleet: f, settings: settings, stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- b.Run(ctx) }()
	synctest.Wait()
	f.t.Cleanup(func() {
		cancel()
		require.NoError(f.t, <-r.done)
	})
	return r
}

// contactOf lets a box find the fleet by another one.
func contactOf(other *running) func(g *config.Gateway) {
	return func(g *config.Gateway) { g.Contacts = []string{other.settings.PeersAddress} }
}

// boxes starts boxes of one failure domain that find each other.
func (f *fleet) boxes(count int) []*running {
	f.t.Helper()
	first := f.box(1)
	all := []*running{first}
	for i := 2; i <= count; i++ {
		all = append(all, f.box(i, contactOf(first)))
	}
	return all
}

// call is one request of a caller.
type call struct {
	method, path, id, key, body string
	header                      http.Header
}

// client opens a connection of its own for each request.
func (r *running) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return r.fleet.network.Host("caller").Dial(ctx, network, r.settings.CallersAddress)
		}, DisableKeepAlives: true, DisableCompression: true,
	}}
}

// send sends a request to a box on a connection of its own.
func (r *running) send(ctx context.Context, c call) (*http.Response, error) {
	client := r.client()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+host+c.path, nil)
	if err != nil {
		return nil, err
	}
	if c.body != "" {
		request.Body = io.NopCloser(&reader{data: c.body})
		request.ContentLength = int64(len(c.body))
	}
	for name, values := range c.header {
		request.Header[name] = values
	}
	request.Header.Set("X-Id", c.id)
	if c.key != "" {
		request.Header.Set("Authorization", c.key)
	}
	return client.Do(request)
}

// askReadiness asks the box as the entry does.
func (r *running) askReadiness() int {
	w := httptest.NewRecorder()
	r.readiness(w, httptest.NewRequest(http.MethodGet, r.readinessPath, nil))
	return w.Code
}

type reader struct{ data string }

func (r *reader) Read(part []byte) (int, error) {
	if r.data == "" {
		return 0, io.EOF
	}
	n := copy(part, r.data)
	r.data = r.data[n:]
	return n, nil
}

// get sends a request with the key and reads the whole answer.
func (r *running) get(path string) (status int, body string, err error) {
	response, err := r.send(context.Background(), call{method: http.MethodGet, path: path, id: "1", key: key})
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// bubble runs a test on a fake clock with a fleet.
func bubble(t *testing.T, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(newFleet(t)) })
}

// pass lets a span go by on the bubble's clock.
func pass(t *testing.T, span time.Duration) {
	t.Helper()
	require.NoError(t, clock.New().Sleep(t.Context(), clock.FromDuration(span)))
}

// sourceOf is the box that reads the store for the others.
func sourceOf(boxes []*running) *running {
	for _, b := range boxes {
		if b.peering.mesh.IsSource() {
			return b
		}
	}
	return nil
}

// leaves puts an upstream's word on the list that it leaves.
func (f *fleet) leaves(id string) {
	f.store.put(registry.Upstream{ID: id, Pool: "p", Address: "127.0.0.1:1", FailureDomain: "d", Slots: 8, Draining: true})
}

// assertLeaving checks that a box knows that the only upstream leaves.
func assertLeaving(t *testing.T, b *running) {
	t.Helper()
	assert.True(t, b.registry.All()[0].Draining, "%s knows that the upstream leaves", b.settings.Box)
}
