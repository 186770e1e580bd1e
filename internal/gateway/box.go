// Package gateway wires one process of dooryard-gateway: the listeners, the request pipeline,
// and this box's part in the control plane of the fleet.
package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/deadline"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/evacuation"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/health"
	"dooryard.example/dooryard/internal/inbound"
	"dooryard.example/dooryard/internal/logging"
	"dooryard.example/dooryard/internal/mesh"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/quarantine"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/retry"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/internal/server"
	"dooryard.example/dooryard/internal/supervisor"
	"dooryard.example/dooryard/internal/upstream"
	"dooryard.example/dooryard/internal/work"
	"dooryard.example/dooryard/pkg/config"
)

// Source delivers routing state and upstreams to a sink until its context ends.
type Source struct {
	// Name identifies the source in log lines.
	Name string
	Run  func(ctx context.Context, sink Sink)
	// Notes gives access to the notes in the store. All its functions are nil if the source has no notes.
	Notes Notes
}

// Box is one router process. Create it with New, then call Run once.
type Box struct {
	settings atomic.Pointer[config.Gateway]
	// endBind ends the wait for addresses at the start.
	endBind atomic.Pointer[context.CancelCauseFunc]
	dialect *opaque.Dialect
	clock   clock.Clock
	out     io.Writer
	listen  server.Listen
	packets ListenPackets
	dial    upstream.Dial
	source  Source
	// readinessPath is the URL path of the readiness check.
	readinessPath string

	core          zapcore.Core
	log           *decision.Log
	metrics       *Metrics
	routingState  *routing.StateTracker
	registry      *registry.Registry
	balance       *balance.Manager
	evacuations   *evacuation.Tracker
	budgets       *retry.Budgets
	steps         *steps
	peering       *peering
	crashDetector *crashDetector
	ignoredInputs *ignoredInputLog
	pauseDetector *pauseDetector
	forwarding    *forwarding
	sink          *storeSink
	quarantine    *quarantine.Ledger
	parts         *quarantine.PartLedger
	origins       *streamOrigins
	lengths       *work.Lengths
	features      func(terms []string) Features
	// askAdmission asks the owner of an engine to admit a prompt.
	askAdmission admitFunc
	// responses limits what the box holds of responses.
	responses *exchange.Memory

	servers         []*http.Server
	readinessServer *http.Server
	peersSocket     *server.PacketConn
	callersListener *server.Listener
	// endMetrics makes the box serve no more metrics.
	endMetrics context.CancelFunc
	// drained are the listeners that requests arrive on.
	drained []*inbound.Listener
	// evictions counts the connections that seemed idle when the box stopped or was full.
	evictions inbound.Evictions
	stopping  atomic.Bool
	// stopStartMs is when the stop began, or earlier, from which requests are cut. stopEarliestMs is when its signal may
	// have been sent at the earliest, and stopHandledMs when it was handled.
	stopStartMs, stopEarliestMs, stopHandledMs atomic.Int64
	stalls                                     stallMeter
	supply                                     supplyMeter
	// lateness is by how much this process acts late.
	lateness deadline.Lateness
	// graceEnded ends when the requests that still run must end, which endGrace does.
	graceEnded context.Context //nolint:containedctx // It is the box's, not that of a call.
	endGrace   context.CancelFunc
	// requests counts the requests of callers and other boxes that the box is serving.
	requests atomic.Int64
	// applyingEvacuations orders the updates of the balancer's evacuations.
	applyingEvacuations sync.Mutex
	// storeUnavailable is set while any stream of the store can't be read.
	storeUnavailable atomic.Bool
	// storeRestoredMs is when this box last found the store restored from an older snapshot, 0 if never.
	storeRestoredMs atomic.Int64
	// knownBoxes is the number of boxes that this box knows, as of the last housekeeping.
	knownBoxes atomic.Int64
	// synced is closed once the box has a routing state and a list of upstreams.
	synced     chan struct{}
	syncedOnce sync.Once
	// confirmed is closed once the routing state has a confirmation by which keys are accepted. A source adopts a state
	// before it confirms it, and a request that is served in between is refused.
	confirmed     chan struct{}
	confirmedOnce sync.Once
	// notesRead is closed once the box has tried to read the notes, or knows that there are none.
	notesRead  chan struct{}
	goroutines sync.WaitGroup
	supervisor *supervisor.Supervisor
}

// Option configures a Box in New.
type Option func(*Box)

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(b *Box) { b.clock = c } }

// WithListen replaces the function that opens listeners.
func WithListen(listen server.Listen) Option { return func(b *Box) { b.listen = listen } }

// WithListenPackets replaces the function that opens the UDP socket.
func WithListenPackets(packets ListenPackets) Option { return func(b *Box) { b.packets = packets } }

// WithDial replaces the function that opens connections to upstreams and other boxes.
func WithDial(dial upstream.Dial) Option { return func(b *Box) { b.dial = dial } }

// New returns a box that writes its log to out.
func New(settings config.Gateway, adapter Adapter, out io.Writer, options ...Option) (*Box, error) {
	b := &Box{
		dialect: adapter.Dialect, readinessPath: adapter.ReadinessPath,
		clock: clock.New(), out: out, packets: net.ListenPacket,
		features: adapter.Features, lengths: work.NewLengths(),
		metrics: NewMetrics(), synced: make(chan struct{}), confirmed: make(chan struct{}),
		notesRead: make(chan struct{}),
	}
	b.graceEnded, b.endGrace = context.WithCancel(context.Background())
	withDefaults := defaults(settings)
	b.listen = server.ListenBuffered(unreadBytes(withDefaults.Capacity))
	for _, option := range options {
		option(b)
	}
	b.supervisor = supervisor.New(b.clock, &b.goroutines)
	b.settings.Store(&withDefaults)
	logger, err := logging.New(out, "")
	if err != nil {
		return nil, err
	}
	b.core = logger.Core().With([]zapcore.Field{zap.String("box", settings.Box)})
	b.source = adapter.Source(b.clock, b.Settings)
	b.build(withDefaults)
	return b, nil
}

// Settings returns the current settings with defaults applied.
func (b *Box) Settings() config.Gateway { return *b.settings.Load() }

func (b *Box) build(settings config.Gateway) {
	b.log = decision.New(decision.Settings{
		MaxLinesPerSecond: settings.LogLimits.MaxPerSecond, QueueCapacity: logQueueSize,
	}, b.clock, b.core)
	b.routingState = routing.NewStateTracker(b.clock.Monotonic)
	b.registry = registry.New(b.clock.Monotonic)
	b.responses = exchange.NewMemory(responseMemory(settings))
	b.metrics.Publish("responses_held", func() any { return b.responses.Sizes() })
	b.balance = balance.New(balance.Settings{
		FailureDomain: settings.FailureDomain, BoundPercent: settings.Balance.BoundPercent,
		PanicPercent: settings.Balance.PanicPercent, EvacuationMs: clock.Millis(settings.Freshness.MaxEvacuationMs),
		Box:           settings.Box,
		ColdTolerance: balance.ColdTolerance{Factor: settings.Balance.ColdFactor, Slack: settings.Balance.ColdSlack},
		Health: health.Limits{
			BaseMs: clock.Millis(settings.Balance.EjectBaseMs), MaxMs: clock.Millis(settings.Balance.EjectMaxMs),
		},
	}, b.clock.Monotonic, b.connect, rand.IntN)
	b.balance.SetFleetSize(minAssumedFleet)
	b.balance.SetLearnPace(settings.Pace.Learn)
	b.evacuations = evacuation.New(b.clock.Monotonic, b.onEvacuation,
		evacuation.WithConfirmationAge(b.stateAgeMs))
	b.origins = newStreamOrigins(b)
	b.metrics.Publish("stream_origins", func() any { return b.origins.ledger.Size() })
	b.registry.OnChange(b.applyUpstreams)
	b.registry.OnSkip(b.origins.versions.Restart)
	usablePercent := settings.Budget.Ratio * percent * localBudgetShare
	window := clock.Millis(settings.Budget.WindowS * float64(clock.Second))
	b.budgets = retry.NewBudgets(int(usablePercent*sustainedShare), retryReserve(settings.Budget.Slack),
		retry.WithBurst(int(usablePercent*(1-sustainedShare)), window, b.clock.Monotonic))
	b.metrics.Publish("routing_state", func() any { return b.stateSummary() })
	b.metrics.Publish("connections_closed_idle", func() any { return b.evictions.Closed.Load() })
	b.metrics.Publish("connections_kept_unread", func() any { return b.evictions.Unread.Load() })
	b.metrics.Publish("evacuations", func() any { return b.evacuations.Active() })
	b.metrics.Publish("lines_dropped", func() any { return b.log.DroppedLines() })
	b.quarantine = quarantine.New(b.clock.Monotonic, b.quarantineSettings, int64(b.clock.Now()))
	b.metrics.Publish("quarantine", func() any { return b.quarantine.Sizes() })
	b.parts = quarantine.NewPartLedger(b.clock.Monotonic, b.quarantineSettings,
		func(part quarantine.PartKey) bool { return b.peering.mesh.SendsTrials(part) }, int64(b.clock.Now()))
	b.metrics.Publish("quarantine_parts", func() any { return b.parts.Sizes() })
	b.metrics.Publish("upstreams_brittle", func() any { return b.balance.Brittle() })
	b.metrics.Publish("upstreams_cold", func() any { return b.balance.Cold() })
	b.metrics.Publish("upstream_paces", func() any { return b.balance.PaceCounts() })
	b.metrics.Publish("upstreams_at_rest", func() any { return b.balance.BackingOff() })
	b.pauseDetector = newPauseDetector(b)
	b.sink = b.newStoreSink(b.source.Name)
	b.crashDetector = newCrashDetector(b)
	b.ignoredInputs = &ignoredInputLog{box: b, lastLogged: map[string]clock.Millis{}}
	b.forwarding = newForwarding(b)
	b.buildSteps()
}

// applyUpstreams passes the upstreams after changes to those who choose among them.
func (b *Box) applyUpstreams(changes []registry.Change) {
	list := b.registry.All()
	b.origins.observeUpstreams(changes, list)
	b.balance.SetUpstreams(list)
}

// stateSummary returns what the box currently knows, for other boxes and for metrics. The confirmations are read first,
// since one that is older than the state holds for it, and a newer one may not.
func (b *Box) stateSummary() mesh.StateSummary {
	upstreamsConfirmedMs := b.registry.ConfirmedMs()
	confirmation, confirmed := b.routingState.Confirmed()
	k := mesh.StateSummary{
		Position: b.registry.Position(), AgeMs: -1, StoreUnavailable: b.storeUnavailable.Load(),
		Evacuations: b.evacuations.Summary(),
	}
	if state := b.routingState.State(); state != nil {
		k.Version = state.Version()
	}
	if confirmed {
		k.AgeMs, k.Era = b.clock.Monotonic()-confirmation.AtMs, confirmation.Era
	}
	if upstreamsConfirmedMs > 0 {
		k.UpstreamsAgeMs = max(1, b.clock.Monotonic()-upstreamsConfirmedMs)
	}
	return k
}

const percent = 100

// localBudgetShare is the share of the retry budget that the requests of this box may use. It is below 1
// because the windows in which boxes count retries are not aligned.
const localBudgetShare = 0.8

// sustainedShare is the part of localBudgetShare that retries may use continuously. The rest accumulates for bursts, up
// to the amount that the requests of one window add, because many upstreams may crash at once.
const sustainedShare = 0.6

// retryReserve returns the part of the fleet's retry slack that this box may use until it knows how many boxes share
// the slack.
func retryReserve(slack int) int { return max(1, slack/assumedBoxes) }

// assumedBoxes is the number of boxes that is assumed until the real one is known. It is larger than the number of
// boxes in a small fleet.
const assumedBoxes = 12

// connect returns the client of an upstream.
func (b *Box) connect(address string) *upstream.Client {
	return b.newClient(address, upstream.WithOnDial(b.metrics.ConnectionOpened))
}

// newClient returns a client of an upstream or of another box.
func (b *Box) newClient(address string, options ...upstream.Option) *upstream.Client {
	options = append(options, upstream.WithUnreadBytes(unreadBytes(b.settings.Load().Capacity)))
	if b.dial != nil {
		options = append(options, upstream.WithDial(b.dial))
	}
	return upstream.New(address, b.clock.Monotonic, options...)
}

func (b *Box) maxAgeMs() clock.Millis { return clock.Millis(b.settings.Load().Freshness.MaxAgeMs) }

// stateAgeMs returns the age of the routing state, or -1 if it is unknown.
func (b *Box) stateAgeMs() clock.Millis {
	if age := b.routingState.AgeMs(); age != routing.UnknownAgeMs {
		return age
	}
	return -1
}

// stateMayBeOutdated reports whether the routing state was never confirmed, or so long ago that the box may have missed
// a newer version. The box must then not respond with 401 or 404 because of a key or route that it does not know:
// callers treat these as final and would not retry (TestFreshness).
func (b *Box) stateMayBeOutdated() bool {
	return b.routingState.AgeMs() > clock.Millis(b.settings.Load().Freshness.MaxPropagationMs)
}

// quarantineSettings returns the current settings of the quarantine.
func (b *Box) quarantineSettings() quarantine.Settings {
	settings := b.settings.Load().Quarantine
	return quarantine.Settings{MinCrashes: *settings.MinCrashes, HoldMs: clock.Millis(settings.HoldMs)}
}

// bodyMemory returns how many bytes of memory buffered request bodies may use.
func (b *Box) bodyMemory() int64 {
	return b.settings.Load().Capacity.MemoryMb * mebibyte / bodyMemoryDivisor
}

// responseMemory returns how many bytes of memory responses may use that callers have not read.
func responseMemory(settings config.Gateway) int64 {
	return settings.Capacity.MemoryMb * mebibyte / responseMemoryDivisor
}

const (
	mebibyte = 1 << 20
	// bodyMemoryDivisor is the divisor of the configured memory that yields the part for request bodies. The rest is
	// left to connections and other buffers.
	bodyMemoryDivisor = 4
	// responseMemoryDivisor is the divisor that yields the part for responses which callers have not read.
	responseMemoryDivisor = 4
)

// Run serves requests until the context ends, and then shuts down gracefully.
func (b *Box) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer b.goroutines.Wait()
	defer stopBackground()
	defer b.endGrace()
	b.goroutines.Go(func() { b.log.Run(background) })
	failed, err := b.openSockets(ctx)
	if err != nil {
		return b.endStart(ctx, err)
	}
	b.stalls.observe(b.clock.Monotonic())
	served, endMetrics := context.WithCancel(background)
	b.endMetrics = endMetrics
	b.runPart(served, "metrics", func() { b.serveMetrics(served) })
	b.runPart(background, "mesh", func() { b.peering.mesh.Run(background) })
	b.runPart(background, "states of other boxes", func() { b.peering.run(background) })
	b.runPart(background, "admissions", func() { b.peering.expireAdmissions(background) })
	b.log.Record(decision.Process{What: "started"})
	b.runPart(background, "store", func() { b.source.Run(background, b.sink.asSink()) })
	b.runPart(background, "housekeeping", func() {
		b.clock.Every(background, housekeepingIntervalMs, func(clock.Millis) { b.housekeeping() })
	})
	b.runPart(background, "paths", func() { b.watchPaths(background) })
	b.runPart(background, "memory", func() { b.watchMemory(background) })
	b.runPart(background, "lateness", func() { b.measureLateness(background) })
	b.runPart(background, "forwarding", func() { b.forwarding.run(background) })
	b.runPart(background, "crash detector", func() { b.crashDetector.run(background) })
	b.runPart(background, "notes", func() { b.syncNotes(background) })
	select {
	case <-ctx.Done():
	case err = <-failed:
		b.log.Record(decision.Process{What: "listener lost", Note: err.Error()})
	case err = <-b.supervisor.Failed():
		b.log.Record(decision.Process{What: "part lost", Note: err.Error()})
	}
	err = errors.Join(err, b.stop(background))
	b.closeListeners()
	b.recordStop("stopped", err)
	b.peering.mesh.BroadcastEnd()
	return err
}

// endStart ends a box that could not open its sockets. It returns no error if the box was stopped meanwhile.
func (b *Box) endStart(ctx context.Context, err error) error {
	b.log.Record(decision.Process{What: "stopped", Note: err.Error()})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// RecordProcess writes a line about the process, such as a signal that it has received.
func (b *Box) RecordProcess(what, note string) {
	b.log.Record(decision.Process{What: what, Note: note})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// housekeepingIntervalMs is the period of housekeeping. It bounds how late a registry entry expires.
const housekeepingIntervalMs clock.Millis = 100

func (b *Box) housekeeping() {
	b.pauseDetector.check()
	b.stalls.observe(b.clock.Monotonic())
	b.registry.Expire()
	b.evacuations.Expire()
	b.balance.SetConfirmed(b.registry.ConfirmedMs())
	b.balance.SetOthersInFlight(b.peering.mesh.OthersInFlight())
	b.balance.SetFleetInFlightByPool(b.peering.mesh.FleetInFlightByPool())
	b.balance.SetEnginePermits(b.peering.mesh.EnginePermits())
	b.balance.SetOthersInFlightAge(b.peering.mesh.OthersInFlightAgeMs())
	b.balance.SetFleetSize(b.peering.fleetSizeBound())
	b.balance.SetBoxesPerReport(b.boxesPerReport())
	b.balance.Refresh()
	b.knownBoxes.Store(int64(b.peering.mesh.KnownBoxes()))
	b.forwarding.expire()
	b.peering.mesh.ExpirePermits()
	b.quarantine.Expire()
	b.parts.Expire()
	b.crashDetector.expire()
	b.reportPaces()
	b.budgets.SetReserve(max(1, int(float64(b.settings.Load().Budget.Slack)*localBudgetShare)/b.peering.mesh.Boxes()))
}

// Reload applies changed settings. Listeners that are open keep their addresses until the process restarts.
func (b *Box) Reload(settings config.Gateway) {
	withDefaults := defaults(settings)
	b.settings.Store(&withDefaults)
	if end := b.endBind.Load(); end != nil {
		(*end)(errReloaded)
	}
	b.balance.SetLearnPace(withDefaults.Pace.Learn)
	b.responses.SetLimit(responseMemory(withDefaults))
	b.log.Record(decision.Process{What: "settings reloaded"})
}
