package box

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"os"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/callers"
	"dooryard.example/dooryard/internal/claim"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/limit"
	"dooryard.example/dooryard/internal/logstream"
	"dooryard.example/dooryard/internal/operators"
	"dooryard.example/dooryard/internal/peers"
	"dooryard.example/dooryard/internal/pipe/admit"
	claimpipe "dooryard.example/dooryard/internal/pipe/claim"
	"dooryard.example/dooryard/internal/pipe/forward"
	"dooryard.example/dooryard/internal/pipe/identify"
	routepipe "dooryard.example/dooryard/internal/pipe/route"
	"dooryard.example/dooryard/internal/pipe/settle"
	"dooryard.example/dooryard/internal/pipeline"
	"dooryard.example/dooryard/internal/pool"
	"dooryard.example/dooryard/internal/secret"
	"dooryard.example/dooryard/internal/server"
	"dooryard.example/dooryard/internal/table"
	"dooryard.example/dooryard/internal/tablestore"
	"dooryard.example/dooryard/internal/trace"
	"dooryard.example/dooryard/internal/transport"
	"dooryard.example/dooryard/internal/upstream"
	"dooryard.example/dooryard/pkg/config"
)

func (b *Box) openKeys(context.Context) error {
	var err error
	if b.keys.peers, err = secret.Load(b.settings.Peers.KeyFile, b.clock.Now); err != nil {
		return fmt.Errorf("%w: peers.key_file: %w", config.ErrInvalid, err)
	}
	if b.keys.operators, err = secret.Load(b.settings.Operators.KeyFile, b.clock.Now); err != nil {
		return fmt.Errorf("%w: operators.key_file: %w", config.ErrInvalid, err)
	}
	b.peerTLS, err = peerTLS(b.settings.Peers.TLS)
	return err
}

// peerTLS returns the TLS configuration for connections to peers.
func peerTLS(settings config.TLS) (*tls.Config, error) {
	tlsConfig := &tls.Config{MinVersion: tls.VersionTLS12}
	if settings.CAFile == "" {
		return tlsConfig, nil
	}
	data, err := os.ReadFile(settings.CAFile)
	if err != nil {
		return nil, fmt.Errorf("%w: peers.tls.ca_file: %w", config.ErrInvalid, err)
	}
	tlsConfig.RootCAs = x509.NewCertPool()
	if !tlsConfig.RootCAs.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%w: peers.tls.ca_file: contains no certificate", config.ErrInvalid)
	}
	return tlsConfig, nil
}

// peerScheme returns the URL scheme for connections to peers. It is the same for all boxes of
// a fleet.
func (b *Box) peerScheme() string {
	if b.settings.Peers.TLS.Enabled() {
		return "https"
	}
	return "http"
}

func (b *Box) openTracer(ctx context.Context) error {
	var err error
	b.tracer, err = trace.New(ctx, b.settings.Traces, b.settings.Box, b.settings.FailureDomain, b.spans)
	return err
}

// defaultPlatformTimeoutMs bounds calls to the platform, in addition to the wait time that a
// call requests.
const defaultPlatformTimeoutMs = 3000

// buildState builds the state shared by the pipeline steps: the table, the limits and the
// clients for the platform and for peers.
func (b *Box) buildState(context.Context) error {
	config.SetDefault(&b.settings.Platform.TimeoutMs, defaultPlatformTimeoutMs)
	client := b.controlClient(func() string { return "" })
	b.peers = peers.Client{Client: b.controlClient(b.keys.peers.Current), Scheme: b.peerScheme()}
	b.log = backing.Log{URL: b.settings.Platform.LogURL, Client: client}
	b.boxList = backing.BoxList{URL: b.settings.Platform.BoxListURL, Client: client}
	b.weights = backing.WeightStore{URL: b.settings.Platform.WeightStoreURL, Client: client}
	b.engineHTTP = b.newEngineHTTP()
	b.fleet = newFleetView()
	b.store = tablestore.New(b.append,
		tablestore.WithClock(b.clock), tablestore.WithLogger(b.logger), tablestore.WithVerdictCallback(b.countVerdict))
	b.organisations = limit.NewOrganisations(b.share, b.clock.Now)
	b.follower = logstream.NewFollower(b.tableSources, b.store.ApplyRecord,
		logstream.WithClock(b.clock), logstream.WithLogger(b.logger), logstream.WithExpired(b.recoverTable))
	return nil
}

// controlClient returns an HTTP client for the platform or for peers.
func (b *Box) controlClient(key func() string) *http.Client {
	return transport.NewControlClient(transport.Settings{
		ConnectTimeoutMs: clock.Millis(b.settings.Platform.TimeoutMs),
		IdleTimeoutMs:    60 * clock.Second,
		MaxIdlePerHost:   8,
		Dial:             b.dial,
		TLS:              b.peerTLS,
	}, key, b.metrics.PeerSent, b.metrics.PeerReceived)
}

// append appends records to the log, bounded by the platform timeout.
func (b *Box) append(ctx context.Context, stream string, records ...jsonRecord) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, clock.Millis(b.settings.Platform.TimeoutMs).Duration())
	defer cancel()
	return b.log.Append(ctx, stream, records...)
}

func (b *Box) countVerdict(verdict table.Verdict) {
	if verdict.Result == table.Accepted {
		b.metrics.EditsAccepted.Add(1)
		return
	}
	b.metrics.EditsRejected.Add(1)
}

// awaitTable waits until a table has been read.
func (b *Box) awaitTable(ctx context.Context) error { return b.store.WaitFor(ctx, 1) }

func (b *Box) buildSteps(context.Context) error {
	upstreams := &deferredTransport{}
	steps := pipeline.Steps{
		Identify: identify.New(identify.Dependencies{
			State: b.store.State, AwaitRead: b.awaitTable, LatenessMs: b.latenessMs, Monotonic: b.clock.Monotonic,
		}),
		Claim: claimpipe.New(claimpipe.Claims{
			Claim:  func(ctx context.Context, r claim.Record) (claim.Verdict, error) { return b.claims.Claim(ctx, r) },
			Submit: func(r claim.Record) { b.claims.Submit(r) },
		}, b.metrics, b.clock.Monotonic),
		Settle: settle.New(settle.Dependencies{
			Metrics: b.metrics, Logger: b.logger, LatenessMs: b.latenessMs, Monotonic: b.clock.Monotonic,
		}),
	}
	steps.Route = routepipe.New(b.acquire, b.acquireRemote)
	steps.Route.Default(&b.settings)
	poolSettings, err := routepipe.PoolSettings(b.settings.Route)
	if err != nil {
		return err
	}
	b.pools = pool.New(poolSettings, b.settings.FailureDomain, b.settings.Box, b.clock.Now)
	steps.Admit = admit.New(b.organisations, b.pools, b.metrics, b.clock.Monotonic)
	steps.Forward = forward.New(forward.Dependencies{
		Transport: upstreams, Next: steps.Route.Next, Report: b.pools.Report, MayHaveCrashed: b.mayHaveCrashed,
		Witness: upstream.NewWitnesses(b.dialUpstream, b.clock.Monotonic).At,
		OnDue:   b.handleDue,
		Metrics: b.metrics, Tracer: b.tracer, Logger: b.logger, Clock: b.clock,
	})
	b.admit = steps.Admit
	b.pipeline = pipeline.New(steps, &b.settings, b.logger)
	upstreams.RoundTripper = b.upstreamTransport()
	b.claims = claim.NewService(logstream.Log{Append: b.append, Read: b.readLog}, claim.Settings{
		BatchMs: clock.Millis(b.settings.Claim.BatchMs), WindowMs: clock.Millis(b.settings.Claim.WindowMs),
	}, b.forwardClaim, b.clock, b.logger)
	b.store.OnChange(func(state *table.State) {
		b.pools.SetTable(state)
		b.admit.AdmitWaiting()
	})
	return nil
}

// dialUpstream opens a connection to an upstream.
func (b *Box) dialUpstream(ctx context.Context, network, address string) (net.Conn, error) {
	if b.dial != nil {
		return b.dial(ctx, network, address)
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// mayHaveCrashed reports whether an upstream may have crashed that has closed a connection in order.
func (b *Box) mayHaveCrashed(ctx context.Context, address string) bool {
	probe := func() upstream.Liveness {
		conn, found := upstream.ProbeAddress(ctx, b.dialUpstream, address)
		if conn != nil {
			// Nothing was sent on it.
			_ = conn.Close()
		}
		return found
	}
	return upstream.SurvivesClose(ctx, probe, nil) == upstream.Gone
}

// deferredTransport is set after the pipeline steps have applied the defaults from which the
// transport is built.
type deferredTransport struct{ http.RoundTripper }

const maxIdlePerUpstream = 256

func (b *Box) upstreamTransport() http.RoundTripper {
	return transport.New(transport.Settings{
		ConnectTimeoutMs:   clock.Millis(b.settings.Retry.ConnectTimeoutMs),
		FirstByteTimeoutMs: clock.Millis(b.settings.Retry.FirstByteTimeoutMs),
		IdleTimeoutMs:      60 * clock.Second,
		MaxIdlePerHost:     maxIdlePerUpstream,
		MaxHeaderBytes:     int64(b.settings.Request.MaxHeaderBytes),
		Dial:               b.dial,
		TLS:                b.peerTLS,
	})
}

func (b *Box) openListeners(context.Context) error {
	limits := server.LimitsOf(&b.settings)
	b.callers = callers.New(callers.Dependencies{
		Serve: b.serve, State: b.store.State, Ready: b.Ready, Tracer: b.tracer, Monotonic: b.clock.Monotonic,
	})
	peersHandler := http.NewServeMux()
	fromPeers := b.callers.PeerRoutes(peersHandler)
	peers.Routes(peersHandler, peers.Dependencies{
		Store: b.store, Claim: b.claims.ClaimLocal, Submit: b.claims.SubmitLocal,
	})
	operatorsHandler := server.RequireKey(b.keys.operators, operators.New(operators.Dependencies{
		Store: b.store, Pools: b.pools, Status: func() any { return b.Status() }, Drain: b.Drain, Metrics: b.metrics,
	}))
	opened := []struct {
		name     string
		settings config.Listener
		handler  http.Handler
		target   **server.Server
		options  []server.Option
	}{
		// A box or an operator's tool that ends its side of a connection has left.
		{callersSocket, b.settings.Callers, b.callers, &b.servers.callers, []server.Option{server.WithHeldEnds()}},
		{peersSocket, b.settings.Peers.Listener, server.RequireKey(b.keys.peers, fromPeers), &b.servers.peers, nil},
		{operatorsSocket, b.settings.Operators, operatorsHandler, &b.servers.operators, nil},
	}
	for _, o := range opened {
		opened, err := server.Open(o.name, o.settings, limits, o.handler, b.survivingListener(o.name),
			append(o.options, server.WithClock(b.clock), server.WithOnPanic(b.handlerPanicked))...)
		if err != nil {
			b.closeListeners()
			return err
		}
		*o.target = opened
	}
	return nil
}
