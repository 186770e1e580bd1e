package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
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

// dialect returns the HTTP headers of the tests' callers and upstreams.
func dialect() *opaque.Dialect {
	return &opaque.Dialect{
		RequestID: "X-Id", DeadlineMs: "X-Deadline", Organisation: "X-Organisation", ExpectUpstream: "X-Expect", UpstreamID: "X-Upstream",
		NotRun: "X-Not-Run", DecodeSignals: decodeSignals, BoxResponseHeaders: []string{"X-Load", "X-Not-Run"}, Urgency: "X-Urgency", Prompt: "X-Prompt", LastEventID: "Last-Event-Id", ResumedID: "X-Resumes",
		FetchFrom: "X-Fetch", Reserved: []string{"X-Reserved"},
		DecodeDemand: decodeDemand, ReportPath: reportPath, DecodeStart: decodeStart,
		Key:        func(h http.Header) string { return h.Get("Authorization") },
		RetryAfter: func(span clock.Millis) string { return strconv.FormatInt(int64(span), 10) + "ms" },
	}
}

// Headers with which the tests' upstreams report their own state.
const (
	headerBackoffMs = "X-Rest-Ms"
	headerDraining  = "X-Leaving"
	headerBrittle   = "X-Brittle"
	headerSlow      = "X-Slow"
)

// reportPath is where the tests' upstreams tell their start time.
const reportPath = "/report"

func decodeStart(report []byte) clock.Millis {
	startedMs, _ := strconv.Atoi(string(report))
	return clock.Millis(startedMs)
}

// decodeSignals decodes what an upstream reports about itself in response headers.
func decodeSignals(_ int, header http.Header) opaque.Signals {
	w := opaque.Signals{Draining: header.Get(headerDraining) != ""}
	// The load is the requests that run, and then those that wait, the slots and the pace if they are sent.
	for i, part := range strings.Split(header.Get("X-Load"), ",") {
		n, err := strconv.Atoi(part)
		switch i {
		case 0:
			w.InFlight, w.HasLoad = n, err == nil
		case 1:
			w.InFlight, w.Waiting = w.InFlight+n, n
		case 3:
			w.SlowPercent = n
		}
	}
	w.MaxRejections, _ = strconv.Atoi(header.Get(headerBrittle))
	if value := header.Get(headerSlow); value != "" {
		w.SlowPercent, _ = strconv.Atoi(value)
	}
	if value := header.Get(headerBackoffMs); value != "" {
		var backoffMs int
		backoffMs, w.Err = strconv.Atoi(value)
		w.BackoffMs = clock.Millis(backoffMs)
	}
	return w
}

// fleet is a network with a store, upstreams and boxes.
type fleet struct {
	t       *testing.T
	network *testlib.Network
	store   *store
	clock   clock.Clock
	// monotonicOffsetMs and wallOffsetMs are the offsets of the boxes' monotonic clock and wall clock from the fake
	// clock.
	monotonicOffsetMs, wallOffsetMs atomic.Int64
	// out receives the boxes' log lines.
	out io.Writer
	// admit stands for the owners of engines, if it is set.
	admit admitFunc
	// options are those of boxes that start, beside the usual ones.
	options []Option
	// wrapListener changes the listeners of boxes, if it is set.
	wrapListener func(l net.Listener) net.Listener
}

// advanceMonotonic advances the boxes' monotonic clock, but not the timers that wait on the fake clock.
func (f *fleet) advanceMonotonic(span clock.Millis) { f.monotonicOffsetMs.Add(int64(span)) }

// restartMonotonic gives boxes that start later a monotonic clock that starts now, as that of a new process.
func (f *fleet) restartMonotonic() {
	before, startedMs := f.clock, f.clock.Monotonic()-clock.Second
	f.clock = clock.New(
		clock.WithMonotonic(func() clock.Millis { return before.Monotonic() - startedMs }), clock.WithNow(before.Now),
	)
}

// stepWallClock steps the boxes' wall clock.
func (f *fleet) stepWallClock(span clock.Millis) { f.wallOffsetMs.Add(int64(span)) }

// withGrace sets the grace period of a box's stop.
func withGrace(seconds float64) func(g *config.Gateway) {
	return func(g *config.Gateway) { g.Shutdown.GraceS = seconds }
}

// withConnectionLimit limits the open files of a box so that it accepts this number of callers' connections.
func withConnectionLimit(connections int) func(g *config.Gateway) {
	return func(g *config.Gateway) { g.Capacity.OpenFiles = reservedFiles + connections*connectionsDivisor }
}

// inFlightAt returns the number of requests that a box has in flight at upstreams.
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
	base := clock.New()
	f.clock = clock.New(
		clock.WithMonotonic(func() clock.Millis { return base.Monotonic() + clock.Millis(f.monotonicOffsetMs.Load()) }),
		clock.WithNow(func() clock.Millis { return base.Now() + clock.Millis(f.wallOffsetMs.Load()) }),
	)
	f.store.setState(t, content(1))
	return f
}

const (
	host      = "a.example"
	key       = "secret"
	maxAgeMs  = 5000
	timeoutMs = 4000
	// newLeadMs is by how much the last response on a new connection leaves before the deadline.
	newLeadMs = 2*defaultRoundTripMs + int(clock.Resolution)
)

// content returns a routing state with a route of each kind, a resumable, a public and a sticky one.
func content(version int64) routing.Content {
	route := func(path string, kind routing.Kind, attempts int) routing.Route {
		return routing.Route{
			Name: path, Host: host, PathPrefix: "/" + path + "/", Kind: kind, Attempts: attempts, TimeoutMs: timeoutMs,
			ObjectiveMs: 500, MaxGapMs: 300, Splits: []routing.Split{{Pool: "p", Weight: 1}},
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
		Pools:         []routing.Pool{{Name: "p", HealthPath: "/health"}},
		Organisations: []routing.Organisation{{Name: "one", Keys: []string{key}}},
		Limits:        routing.Limits{MaxBodyBytes: 1 << 20},
	}
}

// upstream starts a server and registers it.
func (f *fleet) upstream(id string, handler http.HandlerFunc) {
	f.t.Helper()
	f.upstreamIn(id, "d", handler)
}

// upstreamIn starts a server in a failure domain and registers it.
func (f *fleet) upstreamIn(id, domain string, handler http.HandlerFunc) {
	f.t.Helper()
	f.upstreamWithSlots(id, domain, 8, handler)
}

func (f *fleet) upstreamWithSlots(id, domain string, slots int, handler http.HandlerFunc) {
	f.t.Helper()
	address := f.server(id, func(w http.ResponseWriter, r *http.Request) {
		w.Header()["X-Id"] = r.Header["X-Id"]
		handler(w, r)
	})
	f.store.put(registry.Upstream{ID: id, Pool: "p", Address: address, FailureDomain: domain, Slots: slots})
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

// running is a running box.
type running struct {
	*Box
	fleet    *fleet
	settings config.Gateway
	stop     context.CancelFunc
	done     chan error
}

// box starts a box. Its number determines its IP address.
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
	listen := func(network, address string) (net.Listener, error) {
		l, err := h.Listen(network, address)
		if err == nil && f.wrapListener != nil {
			l = f.wrapListener(l)
		}
		return l, err
	}
	options := append([]Option{
		WithClock(f.clock), WithListen(listen), WithListenPackets(h.ListenPackets), WithDial(h.Dial),
		func(b *Box) { b.askAdmission = f.admit },
	}, f.options...)
	b, err := New(settings, adapter, f.out, options...)
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

// withContact makes another box the only contact of a box.
func withContact(other *running) func(g *config.Gateway) {
	return func(g *config.Gateway) { g.Contacts = []string{other.settings.PeersAddress} }
}

// boxes starts boxes in one failure domain that discover each other.
func (f *fleet) boxes(count int) []*running {
	f.t.Helper()
	first := f.box(1)
	all := []*running{first}
	for i := 2; i <= count; i++ {
		all = append(all, f.box(i, withContact(first)))
	}
	return all
}

// boxesInDomains starts boxes in several failure domains that discover each other.
func (f *fleet) boxesInDomains(count int, change ...func(g *config.Gateway)) []*running {
	f.t.Helper()
	all := []*running{}
	for i := range count {
		own := append(slices.Clone(change), withDomain(fmt.Sprint("d", i%restartDomains)))
		if i > 0 {
			own = append(own, withContact(all[0]))
		}
		all = append(all, f.box(i+1, own...))
	}
	return all
}

// call is a caller's request.
type call struct {
	method, path, id, key, body string
	header                      http.Header
}

// client returns an HTTP client that opens a new connection for each request.
func (r *running) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return r.fleet.network.Host("caller").Dial(ctx, network, r.settings.CallersAddress)
		}, DisableKeepAlives: true, DisableCompression: true,
	}}
}

// send sends a request to a box on a new connection.
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

// probeReadiness sends the box a readiness check as the front load balancer does.
func (r *running) probeReadiness() int {
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

// get sends a request with the key and reads the whole response.
func (r *running) get(path string) (status int, body string, err error) {
	response, err := r.send(context.Background(), call{method: http.MethodGet, path: path, id: "1", key: key})
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// runWithFleet runs a test with a fleet on a fake clock.
func runWithFleet(t *testing.T, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(newFleet(t)) })
}

// runBesideOthers runs a subtest with a fleet on a fake clock beside other subtests.
func runBesideOthers(t *testing.T, test func(f *fleet)) {
	t.Helper()
	t.Parallel()
	runWithFleet(t, test)
}

// advance waits for a duration on the fake clock.
func advance(t *testing.T, span time.Duration) {
	t.Helper()
	require.NoError(t, clock.New().Sleep(t.Context(), clock.FromDuration(span)))
}

// storeReaderOf returns the box that reads the store for the others.
func storeReaderOf(boxes []*running) *running {
	for _, b := range boxes {
		if b.peering.mesh.IsStoreReader() {
			return b
		}
	}
	return nil
}

// setDraining registers an upstream as draining.
func (f *fleet) setDraining(id string) {
	f.store.put(registry.Upstream{ID: id, Pool: "p", Address: "127.0.0.1:1", FailureDomain: "d", Slots: 8, Draining: true})
}

// assertDraining checks that a box knows that the only upstream is draining.
func assertDraining(t *testing.T, b *running) {
	t.Helper()
	assert.True(t, b.registry.All()[0].Draining, "%s knows that the upstream is draining", b.settings.Box)
}
