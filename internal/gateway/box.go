// Package gateway wires one process of dooryard-gateway: the listeners, the
// steps of an opaque request, and the box's part of control.
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
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/health"
	"dooryard.example/dooryard/internal/logging"
	"dooryard.example/dooryard/internal/mesh"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/quarantine"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/retry"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/internal/server"
	"dooryard.example/dooryard/internal/upstream"
	"dooryard.example/dooryard/pkg/config"
)

// Source hands routing state and upstreams to a sink until its context ends.
type Source struct {
	// Name tells sources apart in log lines.
	Name string
	Run  func(ctx context.Context, sink Sink)
	// Notes are kept beside; a source without them has none of their functions.
	Notes Notes
}

// Box is one process. Build it with New, then call Run once.
type Box struct {
	settings atomic.Pointer[config.Gateway]
	dialect  *opaque.Dialect
	clock    clock.Clock
	out      io.Writer
	listen   server.Listen
	packets  ListenPackets
	dial     upstream.Dial
	source   Source
	// readinessPath is where the entry asks.
	readinessPath string

	core       zapcore.Core
	log        *decision.Log
	metrics    *Metrics
	belief     *routing.Belief
	registry   *registry.Registry
	balance    *balance.Manager
	budgets    *retry.Budgets
	steps      *steps
	peering    *peering
	endings    *endings
	ignored    *ignoredInputs
	pauses     *pauses
	sink       *storeSink
	quarantine *quarantine.Ledger

	servers  []*http.Server
	stopping atomic.Bool
	// storeLost is set while a stream of the store can't be read.
	storeLost atomic.Bool
	// restored is when this box last met a store that had come back from an older copy, 0 for
	// never.
	restored atomic.Int64
	// learnt is closed once the box has a routing state and knows upstreams.
	learnt    chan struct{}
	learntOne sync.Once
	running   sync.WaitGroup
}

// Option changes a Box under construction.
type Option func(*Box)

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(b *Box) { b.clock = c } }

// WithListen replaces the opening of listeners.
func WithListen(listen server.Listen) Option { return func(b *Box) { b.listen = listen } }

// WithListenPackets replaces the opening of the UDP socket.
func WithListenPackets(packets ListenPackets) Option { return func(b *Box) { b.packets = packets } }

// WithDial replaces the opening of connections to upstreams and boxes.
func WithDial(dial upstream.Dial) Option { return func(b *Box) { b.dial = dial } }

// New builds a box whose log lines go to out.
func New(settings config.Gateway, adapter Adapter, out io.Writer, options ...Option) (*Box, error) {
	b := &Box{
		dialect: adapter.Dialect, readinessPath: adapter.ReadinessPath,
		clock: clock.New(), out: out, listen: net.Listen, packets: net.ListenPacket,
		metrics: NewMetrics(), learnt: make(chan struct{}),
	}
	for _, option := range options {
		option(b)
	}
	withDefaults := defaults(settings)
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

// Settings returns the settings in force, defaults filled in.
func (b *Box) Settings() config.Gateway { return *b.settings.Load() }

func (b *Box) build(settings config.Gateway) {
	b.log = decision.New(decision.Settings{
		MaxLinesPerSecond: settings.Lines.MaxPerSecond, MaxWaiting: waitingLines,
	}, b.clock, b.core)
	b.belief = routing.NewBelief(b.clock.Steady)
	b.registry = registry.New(b.clock.Steady)
	b.balance = balance.New(balance.Settings{
		FailureDomain: settings.FailureDomain, BoundPercent: settings.Balance.BoundPercent,
		PanicPercent: settings.Balance.PanicPercent,
		Health: health.Limits{
			BaseMs: clock.Millis(settings.Balance.EjectBaseMs), MaxMs: clock.Millis(settings.Balance.EjectMaxMs),
		},
	}, b.clock.Steady, b.connect, rand.IntN)
	b.registry.OnChange(func() { b.balance.SetUpstreams(b.registry.All()) })
	usable := settings.Budget.Ratio * percent * budgetPart
	window := clock.Millis(settings.Budget.WindowS * float64(clock.Second))
	b.budgets = retry.NewBudgets(int(usable*steadyPart), reserve(settings.Budget.Slack),
		retry.WithBank(int(usable*(1-steadyPart)), window, b.clock.Steady))
	b.metrics.Publish("routing_state", func() any { return b.knowledge() })
	b.metrics.Publish("lines_dropped", func() any { return b.log.DroppedLines() })
	b.quarantine = quarantine.New(b.clock.Steady, b.quarantineSettings, int64(b.clock.Now()))
	b.metrics.Publish("quarantine", func() any { return b.quarantine.Sizes() })
	b.metrics.Publish("upstreams_at_rest", func() any { return b.balance.Resting() })
	b.pauses = newPauses(b)
	b.sink = b.newStoreSink(b.source.Name)
	b.endings = newEndings(b)
	b.ignored = &ignoredInputs{box: b, told: map[string]clock.Millis{}}
	b.buildSteps()
}

// knowledge is what the box knows now, for other boxes and for metrics.
func (b *Box) knowledge() mesh.Knowledge {
	k := mesh.Knowledge{Position: b.registry.Position(), AgeMs: -1, StoreLost: b.storeLost.Load()}
	if state := b.belief.State(); state != nil {
		k.Version = state.Version()
	}
	if proof, ok := b.belief.Confirmed(); ok {
		k.AgeMs, k.Era = b.clock.Steady()-proof.AtMs, proof.Era
	}
	return k
}

const percent = 100

// budgetPart is how much of the retry budget this box's own requests may use:
// less than all, since boxes count in windows that differ.
const budgetPart = 0.8

// steadyPart is how much of that requests may use all the time; the rest is for bursts, of
// the size that a window's requests allow. On a day with 45 of 112 engines crashed that gains
// 0.0032 of the worth, 0.0000 on another (one paired run each, 87 boxes).
const steadyPart = 0.6

// reserve is this box's part of the slack, before it knows how many boxes share
// it.
func reserve(slack int) int { return max(1, slack/assumedBoxes) }

// assumedBoxes is more than a small fleet has.
const assumedBoxes = 12

func (b *Box) connect(address string) *upstream.Client {
	options := []upstream.Option{upstream.WithOnDial(b.metrics.Dialled)}
	if b.dial != nil {
		options = append(options, upstream.WithDial(b.dial))
	}
	return upstream.New(address, b.clock.Steady, options...)
}

func (b *Box) maxAgeMs() clock.Millis { return clock.Millis(b.settings.Load().Freshness.MaxAgeMs) }

// missed reports whether the proof of the state in force is so old that the box may have
// missed a version: then it can't tell that a route or a key does not exist. Callers take
// 401 and 404 as final and would not come back (TestFreshness).
func (b *Box) missed() bool {
	return b.belief.AgeMs() > clock.Millis(b.settings.Load().Freshness.InForceMs)
}

// quarantineSettings are the settings in force of what is held back.
func (b *Box) quarantineSettings() quarantine.Settings {
	settings := b.settings.Load().Quarantine
	return quarantine.Settings{Ends: *settings.AfterEnds, HoldMs: clock.Millis(settings.HoldMs)}
}

// heldBytes is the part of the memory that bodies in flight may take.
func (b *Box) heldBytes() int64 { return b.settings.Load().Capacity.MemoryMb * mebibyte / bodyPart }

const (
	mebibyte = 1 << 20
	// bodyPart leaves the rest of the memory to connections and buffers.
	bodyPart = 4
)

// Run answers requests until the context ends, and then stops as planned.
func (b *Box) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer b.running.Wait()
	defer stopBackground()
	b.running.Go(func() { b.log.Run(background) })
	if err := b.openPeering(); err != nil {
		return err
	}
	failed, err := b.openListeners()
	if err != nil {
		return err
	}
	b.running.Go(func() { b.peering.mesh.Run(background) })
	b.running.Go(func() { b.peering.run(background) })
	b.log.Tell(decision.Process{What: "started"})
	b.running.Go(func() { b.source.Run(background, b.sink.asSink()) })
	b.running.Go(func() { b.clock.Every(background, houseMs, func(clock.Millis) { b.housekeeping() }) })
	b.running.Go(func() { b.watchPaths(background) })
	b.running.Go(func() { b.endings.run(background) })
	b.running.Go(func() { b.keepNotes(background) })
	select {
	case <-ctx.Done():
		err = b.stop(background)
	case err = <-failed:
	}
	b.closeListeners()
	b.log.Tell(decision.Process{What: "stopped", Note: noteOf(err)})
	return err
}

func noteOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// houseMs is the period of small duties; it is the error of an entry's lapse.
const houseMs clock.Millis = 100

func (b *Box) housekeeping() {
	b.pauses.check()
	b.registry.Expire()
	b.balance.SetOthers(b.peering.mesh.Others())
	b.balance.SetRunning(b.peering.mesh.Running())
	b.balance.SetOthersAge(b.peering.mesh.OthersAgeMs())
	b.balance.Refresh()
	b.peering.mesh.ExpirePlaces()
	b.quarantine.Expire()
	b.endings.expire()
	b.budgets.SetReserve(max(1, int(float64(b.settings.Load().Budget.Slack)*budgetPart)/b.peering.mesh.Boxes()))
}

// Reload takes changed settings into force, as far as a running process can:
// listeners stay.
func (b *Box) Reload(settings config.Gateway) {
	withDefaults := defaults(settings)
	b.settings.Store(&withDefaults)
	b.log.Tell(decision.Process{What: "settings reloaded"})
}

// Timing of a planned stop.
const (
	// leaveMs is kept of the grace for the end of the process itself.
	leaveMs clock.Millis = 250
	// defaultGraceS is a usual span between the two signals of a stop.
	defaultGraceS = 10
)

// stop ends the process as planned: it calls itself not ready and goes on
// answering until the entry has noticed, then lets what runs finish.
func (b *Box) stop(ctx context.Context) error {
	beganMs := b.clock.Steady()
	b.stopping.Store(true)
	b.log.Tell(decision.Process{What: "stopping"})
	b.peering.mesh.Leave()
	_ = b.clock.Sleep(ctx, timingOf(b.Settings()).noticeMs)
	grace := graceOf(b.Settings())
	ctx, cancel := b.clock.WithTimeout(ctx, max(1, grace-leaveMs-(b.clock.Steady()-beganMs)))
	defer cancel()
	errs := []error{}
	for _, s := range b.servers {
		errs = append(errs, s.Shutdown(ctx))
	}
	return errors.Join(errs...)
}
