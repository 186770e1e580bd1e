// Package box assembles one router process: its listeners, its request pipeline and its
// control loops.
package box

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/callers"
	"dooryard.example/dooryard/internal/claim"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/datagram"
	"dooryard.example/dooryard/internal/deadline"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/grant"
	"dooryard.example/dooryard/internal/lease"
	"dooryard.example/dooryard/internal/limit"
	"dooryard.example/dooryard/internal/logging"
	"dooryard.example/dooryard/internal/logstream"
	"dooryard.example/dooryard/internal/membership"
	"dooryard.example/dooryard/internal/metrics"
	"dooryard.example/dooryard/internal/peers"
	"dooryard.example/dooryard/internal/picker"
	"dooryard.example/dooryard/internal/pipe/admit"
	"dooryard.example/dooryard/internal/pipeline"
	"dooryard.example/dooryard/internal/pool"
	"dooryard.example/dooryard/internal/secret"
	"dooryard.example/dooryard/internal/server"
	"dooryard.example/dooryard/internal/supervisor"
	"dooryard.example/dooryard/internal/tablestore"
	"dooryard.example/dooryard/internal/trace"
	"dooryard.example/dooryard/internal/transport"
	"dooryard.example/dooryard/pkg/config"
)

// ErrKilled is returned by Run after Kill.
var ErrKilled = errors.New("killed")

// Box is one router process. Build it with New, then call Run once.
type Box struct {
	settings config.Router
	clock    clock.Clock
	logger   *zap.Logger
	listen   server.Listen
	packets  ListenPackets
	dial     transport.Dial
	spans    io.Writer

	metrics *metrics.Metrics
	tracer  *trace.Tracer
	peerTLS *tls.Config
	keys    keys
	log     backing.Log

	store         *tablestore.Store
	pools         *pool.Manager
	organisations *limit.Organisations
	claims        *claim.Service
	admit         *admit.Pipe
	pipeline      *pipeline.Pipeline
	follower      *logstream.Follower
	callers       *callers.Handler

	boxList            backing.BoxList
	peers              peers.Client
	lastSnapshotOffset atomic.Int64
	socket             *datagram.Socket
	gossip             *membership.Gossip
	agent              *grant.Agent
	picker             *picker.Picker
	lease              *lease.Keeper
	weights            backing.WeightStore
	engineHTTP         *http.Client
	fleet              *fleetView

	sockets sockets
	servers servers
	// callersListener is the one below the server for callers.
	callersListener *server.Listener
	// endPeering ends the exchange with other boxes by UDP.
	endPeering context.CancelFunc
	draining   atomic.Bool
	// lateness is by how much this process acts late.
	lateness  deadline.Lateness
	drain     chan struct{}
	drainOnce sync.Once
	killed    chan struct{}
	killOnce  sync.Once
	running   sync.WaitGroup
	// supervisor runs the control loops, and panicLogger writes lines at a limited rate.
	supervisor  *supervisor.Supervisor
	panicLogger *zap.Logger
}

type keys struct {
	peers     *secret.Keys
	operators *secret.Keys
}

type servers struct {
	callers, peers, operators *server.Server
}

// Option configures a Box.
type Option func(*Box)

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(b *Box) { b.clock = c } }

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option { return func(b *Box) { b.logger = logger } }

// WithListen replaces the function that opens listeners.
func WithListen(listen server.Listen) Option { return func(b *Box) { b.listen = listen } }

// WithListenPackets replaces the function that opens the UDP socket.
func WithListenPackets(packets ListenPackets) Option { return func(b *Box) { b.packets = packets } }

// WithDial replaces the function that opens connections.
func WithDial(dial transport.Dial) Option { return func(b *Box) { b.dial = dial } }

// WithSpans sets the writer of the stdout trace exporter.
func WithSpans(w io.Writer) Option { return func(b *Box) { b.spans = w } }

// New opens the listeners and builds the box. No request is served before Run.
func New(ctx context.Context, settings config.Router, options ...Option) (*Box, error) {
	b := &Box{
		settings: settings, clock: clock.New(), logger: zap.NewNop(), listen: server.ListenTCP, packets: net.ListenPacket,
		spans: io.Discard, metrics: metrics.New(), drain: make(chan struct{}), killed: make(chan struct{}),
	}
	for _, option := range options {
		option(b)
	}
	b.supervisor, b.panicLogger = supervisor.New(b.clock, &b.running), logging.Limited(b.logger)
	for _, step := range []func(context.Context) error{
		b.openKeys, b.openTracer, b.buildState, b.buildSteps, b.bindSockets, b.openListeners, b.openPeering, b.buildLease,
	} {
		if err := step(ctx); err != nil {
			b.closeSockets()
			return nil, err
		}
	}
	return b, nil
}

func (b *Box) serve(x *exchange.Exchange) { b.pipeline.Serve(x) }

// Addresses holds the addresses that a box's listeners are bound to.
type Addresses struct {
	Callers, Peers, Operators, Gossip string
}

// Addresses returns the addresses that the box listens on.
func (b *Box) Addresses() Addresses {
	return Addresses{
		Callers:   b.servers.callers.Address(),
		Peers:     b.servers.peers.Address(),
		Operators: b.servers.operators.Address(),
		Gossip:    b.socket.Address(),
	}
}

// Metrics returns the box's metrics.
func (b *Box) Metrics() *metrics.Metrics { return b.metrics }

// Store returns the box's table store.
func (b *Box) Store() *tablestore.Store { return b.store }

// Ready reports whether the box accepts new requests: it has a table and a listener for them, and is not draining.
func (b *Box) Ready() bool {
	return b.store.State().Offset() > 0 && !b.draining.Load() && b.callersListener.IsOpen()
}

func (b *Box) allServers() []*server.Server {
	return []*server.Server{b.servers.callers, b.servers.peers, b.servers.operators}
}

func (b *Box) closeListeners() {
	for _, s := range b.allServers() {
		if s != nil {
			s.Close()
		}
	}
}

// Run serves requests until the context ends or Drain is called, and then shuts down
// gracefully: running requests finish first. If a listener fails, or a part panics again and
// again, Run shuts down as well and returns the error.
func (b *Box) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	b.startBackground(background)
	failed := make(chan error, len(b.allServers()))
	for _, s := range b.allServers() {
		b.running.Go(func() {
			if err := s.Serve(); err != nil {
				failed <- err
			}
		})
	}
	b.logger.Info("box started", zap.String("box", b.settings.Box),
		zap.String("failure_domain", b.settings.FailureDomain), zap.Any("addresses", b.Addresses()))
	err := b.waitForStop(ctx, failed)
	if !errors.Is(err, ErrKilled) {
		err = errors.Join(err, b.stop(background))
	}
	stopBackground()
	b.running.Wait()
	return errors.Join(err, b.flushTraces(context.WithoutCancel(ctx)))
}

func (b *Box) waitForStop(ctx context.Context, failed <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case <-b.drain:
		return nil
	case <-b.killed:
		return ErrKilled
	case err := <-failed:
		return err
	case err := <-b.supervisor.Failed():
		b.logger.Error("part lost", zap.String("box", b.settings.Box), zap.Error(err))
		return err
	}
}

func (b *Box) startBackground(ctx context.Context) {
	peering, endPeering := context.WithCancel(ctx)
	b.endPeering = endPeering
	run := b.supervisor.Run
	run(ctx, "table", func() { b.followTable(ctx) })
	run(ctx, "tables of other boxes", func() { b.catchUp(ctx) })
	run(ctx, "snapshots", func() { b.snapshotLoop(ctx) })
	run(ctx, "claims", func() { b.claims.Run(ctx) })
	run(peering, "datagrams", func() { b.socket.Run(peering) })
	run(peering, "gossip", func() { b.gossip.Run(peering) })
	run(ctx, "box lists", func() { b.pollLists(ctx) })
	run(ctx, "domain facts", func() { b.domainSumsLoop(ctx) })
	run(ctx, "lease", func() { b.lease.Run(ctx) })
	run(ctx, "engines", func() { b.pollEngines(ctx) })
	run(ctx, "orders", func() { b.sendOrders(ctx) })
	run(ctx, "lateness", func() { b.measureLateness(ctx) })
	run(ctx, "housekeeping", func() {
		b.clock.Every(ctx, clock.Second, func(clock.Millis) {
			b.updateDemand()
			b.updateShares()
			b.updateSlots()
			b.pools.Refresh()
			b.picker.Refresh()
			b.admit.AdmitWaiting()
		})
	})
}

// Kill terminates the box at once, as a crash would: connections break and no claim is
// settled. Run returns ErrKilled.
func (b *Box) Kill() {
	b.killOnce.Do(func() { close(b.killed) })
	b.closeListeners()
}
