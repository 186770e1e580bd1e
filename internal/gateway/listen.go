package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/inbound"
	"dooryard.example/dooryard/internal/server"
	"dooryard.example/dooryard/pkg/config"
)

// Defaults of the settings, and limits of the listeners.
const (
	// defaultMaxPropagationMs is about the time within which operators expect a new version to take effect.
	defaultMaxPropagationMs = 2000
	// defaultMaxDrainNoticeMs is about the shortest delay that a caller notices.
	defaultMaxDrainNoticeMs = 2000
	// defaultLoadCap is a common limit on an upstream's load, as a multiple of the mean load.
	defaultLoadCap = 2
	// boundShareOfCap is the share of the load cap at which a box stops sending to an upstream. The rest of the cap is
	// left for requests of other boxes that this box does not know of yet. With a share of 0.825 and a bound that
	// allowed one request less, a tenth of all prompts moved to another engine and were prefilled again or transferred
	// needlessly.
	boundShareOfCap    = 0.9
	defaultEjectBaseMs = 1000
	defaultEjectMaxMs  = 8000
	// defaultPanicPercent is the maximum percentage of a pool that may be ejected. It is so high that a box that is
	// partitioned from all other failure domains can eject their upstreams and use only those of its own domain.
	defaultPanicPercent = 85
	defaultMaxLines     = 400
	defaultMemoryMb     = 256
	defaultOpenFiles    = 4096
	defaultRatio        = 0.2
	defaultSlack        = 50
	defaultWindowS      = 10
	// defaultMinCrashes is the number of upstreams that operators accept to lose to one request before it is
	// quarantined.
	defaultMinCrashes = 3
	// defaultHoldMs is long compared to the seconds in which an upstream restarts, and short compared to the days
	// in which its software is fixed.
	defaultHoldMs = 600_000
	// logQueueSize is about one second of log lines at the default rate limit.
	logQueueSize = 512

	// headerTimeout is several times what operators usually allow a caller for its request headers. It only closes
	// stuck connections, and is longer if operators allow more.
	headerTimeout = 15 * time.Second
	// idleTimeout is longer than the idle time that operators usually allow a caller, so that no request arrives
	// while its connection is being closed. It is longer if operators allow more.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes and minHeaderBytes are more than operators usually allow. Their own limit is part of the routing
	// state and is enforced by the receive step.
	maxHeaderBytes = 256 << 10
	minHeaderBytes = 32 << 10
	// headerMemoryDivisor is the divisor of the configured memory that yields the part for request headers.
	headerMemoryDivisor = 2
	connectionsDivisor  = 2
	// unreadMemoryDivisor is the divisor that yields the part for bytes that have arrived and were not read.
	unreadMemoryDivisor = 4
	// maxUnreadBytes fill a link of 1 Gbit/s for 8 ms, more than a round trip to nearby callers takes. With
	// minUnreadBytes an upload still passes 1 MB/s over a round trip of 16 ms.
	maxUnreadBytes = 1 << 20
	minUnreadBytes = 16 << 10
	reservedFiles  = 200
)

// maxConnections returns the maximum number of connections of a listener.
func maxConnections(c config.Capacity) int {
	return max(1, (c.OpenFiles-reservedFiles)/connectionsDivisor)
}

// unreadBytes returns how many bytes of a connection the kernel may hold that the box has not read. Those of all
// connections of a listener at once fit into their part of the memory, and those of as many connections to upstreams.
func unreadBytes(c config.Capacity) int {
	part := c.MemoryMb * mebibyte / unreadMemoryDivisor
	return min(maxUnreadBytes, max(minUnreadBytes, int(part)/maxConnections(c)))
}

// headerBytes returns the maximum size of the headers of a request. The headers that arrive on all connections of a
// listener at once fit into their part of the memory.
func headerBytes(c config.Capacity) int {
	part := c.MemoryMb * mebibyte / headerMemoryDivisor
	return min(maxHeaderBytes, max(minHeaderBytes, int(part)/maxConnections(c)))
}

// defaults returns the settings with defaults applied.
func defaults(g config.Gateway) config.Gateway {
	config.SetDefault(&g.Freshness.MaxPropagationMs, defaultMaxPropagationMs)
	config.SetDefault(&g.Freshness.MaxDrainNoticeMs, defaultMaxDrainNoticeMs)
	config.SetDefault(&g.Balance.LoadCap, defaultLoadCap)
	config.SetDefault(&g.Balance.BoundPercent, max(percent+1, int(g.Balance.LoadCap*percent*boundShareOfCap)))
	config.SetDefault(&g.Balance.EjectBaseMs, defaultEjectBaseMs)
	config.SetDefault(&g.Balance.EjectMaxMs, defaultEjectMaxMs)
	config.SetDefault(&g.Balance.PanicPercent, defaultPanicPercent)
	if g.Quarantine.MinCrashes == nil {
		ends := defaultMinCrashes
		g.Quarantine.MinCrashes = &ends
	}
	config.SetDefault(&g.Quarantine.HoldMs, defaultHoldMs)
	config.SetDefault(&g.LogLimits.MaxPerSecond, defaultMaxLines)
	config.SetDefault(&g.Capacity.MemoryMb, defaultMemoryMb)
	config.SetDefault(&g.Capacity.OpenFiles, defaultOpenFiles)
	config.SetDefault(&g.Budget.Ratio, defaultRatio)
	config.SetDefault(&g.Budget.Slack, defaultSlack)
	config.SetDefault(&g.Budget.WindowS, defaultWindowS)
	config.SetDefault(&g.Shutdown.GraceS, defaultGraceS)
	config.SetDefault(&g.Deadline.RoundTripMs, defaultRoundTripMs)
	config.SetDefault(&g.Deadline.MaxLeadMs, defaultMaxLeadMs)
	config.SetDefault(&g.Deadline.MaxLeadPercent, defaultMaxLeadPercent)
	return g
}

// binder returns the binder of the listener for callers, without which the box can't start. It waits until the box is
// stopped: whatever has the address may release it at any time, and an end would only have the box start again.
func (b *Box) binder() server.Binder {
	return server.Binder{
		Clock: b.clock, OnRetry: func(err error) { b.RecordProcess("listener retried", err.Error()) },
	}
}

// rebinder returns the binder of sockets that a box that runs has not, or has no more. It retries all errors until the
// box stops, which serves on those that it has: its next process would find the same address taken.
func (b *Box) rebinder() server.Binder {
	binder := b.binder()
	binder.RetriesAll = true
	return binder
}

// Names of the listeners, and of the UDP socket for other boxes.
const (
	callersSocket   = "callers"
	readinessSocket = "readiness"
	peersSocket     = "peers"
	peersUDP        = "peers UDP"
)

// socket is an HTTP listener.
type socket struct {
	name     string
	handler  http.Handler
	listener net.Listener
}

// openSockets opens the listener for callers, for which it waits, and then whatever it can of the others, and serves
// them. Of several processes of the box only the one that has the first opens the others. The channel receives the
// error of a listener that fails.
func (b *Box) openSockets(ctx context.Context) (<-chan error, error) {
	settings, callers, err := b.listenWithReloads(ctx)
	if err != nil {
		return nil, err
	}
	peers := b.keepPeers(settings, b.openPeers(ctx, settings))
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+b.readinessPath, b.readiness)
	// Callers are served first, before the box says that it is ready.
	b.callersListener = b.surviveErrors(callersSocket, settings.CallersAddress, callers)
	sockets := []*socket{
		{name: callersSocket, handler: b, listener: b.callersListener},
		{name: peersSocket, handler: b.peersHandler(), listener: peers.listener},
		{
			name: readinessSocket, handler: ready,
			listener: b.surviveErrors(readinessSocket, settings.ReadinessAddress, b.listenOnce(settings.ReadinessAddress)),
		},
	}
	b.pauseDetector.begin()
	failed := make(chan error, len(sockets))
	b.peersSocket = peers.conn
	b.joinMesh(b.peersSocket, settings, peers.address)
	if b.askAdmission == nil {
		b.askAdmission = b.askOwner()
	}
	for _, s := range sockets {
		b.serveSocket(s, failed)
	}
	return failed, nil
}

// errReloaded ends the wait for an address when the settings have changed.
var errReloaded = errors.New("settings reloaded")

// listenWithReloads opens the listener for callers at the address of the current settings, which it returns. A reload
// while it waits for the address may mend that.
func (b *Box) listenWithReloads(ctx context.Context) (*config.Gateway, net.Listener, error) {
	for {
		attempt, end := context.WithCancelCause(ctx)
		b.endBind.Store(&end)
		settings := b.settings.Load()
		listener, err := b.binder().Listen(attempt, callersSocket, settings.CallersAddress, b.listen)
		reloaded := errors.Is(context.Cause(attempt), errReloaded)
		end(nil)
		if err == nil || !reloaded {
			return settings, listener, err
		}
	}
}

// listenOnce opens a listener that the box can do without for a while.
func (b *Box) listenOnce(address string) net.Listener {
	listener, err := b.listen("tcp", address)
	if err != nil {
		return server.NewUnopened(address, err)
	}
	return listener
}

// surviveErrors returns a listener that opens its socket anew, at the same address, if it can't accept any more.
func (b *Box) surviveErrors(name, address string, listener net.Listener) *server.Listener {
	return server.NewListener(listener, b.clock, func(ctx context.Context) (net.Listener, error) {
		return b.rebinder().Listen(ctx, name, address, b.listen)
	}, func(err error) { b.reportListenerError(name, err) })
}

// errListenerPanicked ends a box that has lost a listener.
var errListenerPanicked = errors.New("panic while connections were accepted")

func (b *Box) serveSocket(s *socket, failed chan<- error) {
	h := b.newServer(s.handler)
	options := []inbound.Option{inbound.WithCuts(func(c inbound.Cut) { b.recordCut(s.name, c) })}
	if s.name == callersSocket {
		// A box that ends its side of a connection has left.
		options = append(options, inbound.WithHeldEnds(), inbound.WithTimeouts(b.callerTimeouts))
	}
	conns := b.limitConnections(s.listener, options...)
	b.servers = append(b.servers, h)
	if s.name == readinessSocket {
		b.readinessServer = h
	} else {
		b.drained = append(b.drained, conns)
	}
	b.goroutines.Go(func() {
		// The server closes its listener in a panic.
		err := fmt.Errorf("%w: %s listener", errListenerPanicked, s.name)
		guard.Do(s.name+" listener", func() { err = h.Serve(conns) })
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	})
}

// recordCut records that a connection was closed before all requests on it had a response.
func (b *Box) recordCut(listener string, c inbound.Cut) {
	b.metrics.ConnectionCut(string(c.Reason))
	if c.Reason == inbound.CallerLeft {
		return
	}
	b.log.Record(decision.ConnectionCut{
		Request: c.Request, Caller: c.Caller, Listener: listener, Reason: string(c.Reason), SentBytes: c.SentBytes,
		Outstanding: c.Outstanding, Reset: c.Reset,
	})
}

func (b *Box) newServer(handler http.Handler) *http.Server {
	s := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: headerBytes(b.settings.Load().Capacity), ErrorLog: b.newServerErrorLog(),
	}
	inbound.Attach(s, b.clock.Monotonic)
	return s
}

// callerTimeouts returns the operators' limits for callers.
func (b *Box) callerTimeouts() inbound.Timeouts {
	state := b.routingState.State()
	if state == nil {
		return inbound.Timeouts{}
	}
	limits := state.Limits()
	return inbound.Timeouts{HeaderMs: limits.HeaderTimeoutMs, IdleMs: limits.IdleTimeoutMs}
}

func (b *Box) limitConnections(listener net.Listener, options ...inbound.Option) *inbound.Listener {
	return inbound.NewListener(listener, maxConnections(b.settings.Load().Capacity), b.responses, b.clock,
		append(options, inbound.WithEvictions(&b.evictions))...)
}

// scrapeMs is for how long scrapes that are under way may take when the metrics end.
const scrapeMs = 2 * clock.Second

// metricsRetryMs is the time between two attempts to serve metrics.
const metricsRetryMs = clock.Second

// serveMetrics serves metrics until the context ends. The box runs without them while their address can't be used.
func (b *Box) serveMetrics(ctx context.Context) {
	address := b.settings.Load().MetricsAddress
	if address == "" {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", b.metrics)
	for {
		err := b.serveMetricsOnce(ctx, address, mux)
		if ctx.Err() != nil {
			return
		}
		b.ReportInvalidInput("metrics address "+address, err)
		if b.clock.Sleep(ctx, metricsRetryMs) != nil {
			return
		}
	}
}

func (b *Box) serveMetricsOnce(ctx context.Context, address string, handler http.Handler) error {
	listener, err := b.listen("tcp", address)
	if err != nil {
		return err
	}
	s := b.newServer(handler)
	conns := b.limitConnections(server.NewListener(listener, b.clock, func(context.Context) (net.Listener, error) {
		return b.listen("tcp", address)
	}, func(err error) { b.reportListenerError("metrics", err) }))
	stop := context.AfterFunc(ctx, func() {
		drain, end := b.clock.WithTimeout(context.WithoutCancel(ctx), scrapeMs)
		defer end()
		// A failure has no effect: nothing is accepted any more.
		_ = conns.Drain(drain)
		_ = s.Close()
	})
	defer stop()
	return s.Serve(conns)
}

func (b *Box) closeListeners() {
	for _, s := range b.servers {
		// Remaining connections are closed; stop has already waited for their requests.
		_ = s.Close()
	}
}
