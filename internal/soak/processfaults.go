package soak

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Faults around processes have a schedule of their own beside the other faults, so that each can coincide with any.
const (
	// A settings file is incomplete for less than maxTruncatedMs, and a port taken for less than maxPortMs. Two such
	// changes at one box are at least changesApart apart.
	maxTruncatedMs = 500
	maxPortMs      = 1400
	changesApart   = time.Second
	minStallMs     = 1000
	stallRangeMs   = 4000
	// The delays of signals: between two SIGTERMs, and of SIGHUPs after a start, during a stop and otherwise.
	minTermGapMs      = 50
	termGapRangeMs    = 1950
	reloadAtStartMs   = 20
	reloadDuringEndMs = 500
	reloadGapMs       = 200
	maxFurtherTerms   = 3
	maxReloads        = 6
	maxDownMs         = 1000
)

// processFault is a fault around a box's process. plan draws what it needs and returns the function that plays it.
type processFault struct {
	name string
	plan func(f *fleet, b *box, random *rand.Rand) func() error
}

func processFaults() []processFault {
	return []processFault{
		{"SIGTERM repeatedly", planRepeatedTerm},
		{"SIGHUP repeatedly", planReloads},
		{"SIGHUP during a stop", planReloadsInStop},
		{"SIGHUP after a start", planReloadsAtStart},
		{"settings file rewritten", planRewrite},
		{"settings file rewritten at a start", planStartIn((*box).truncateSettings, maxTruncatedMs)},
		{"a port taken at a start", planStartIn((*box).takePort, maxPortMs)},
		{"standard output stalls", planStall},
		{"standard output closed", planCloseOutput},
	}
}

// injectProcessFaults starts one process fault after the other until ctx ends, and returns when all have ended.
func (f *fleet) injectProcessFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.settings.Seed, 8))
	f.play(ctx, random, processFaults(), faultGapMs)
}

// play starts random process faults one after the other, at random boxes, less than minDelayMs + gapMs apart, until ctx
// ends.
func (f *fleet) play(ctx context.Context, random *rand.Rand, list []processFault, gapMs int) {
	var playing sync.WaitGroup
	defer playing.Wait()
	for ctx.Err() == nil {
		one, b := list[random.IntN(len(list))], f.boxes[random.IntN(len(f.boxes))]
		run := one.plan(f, b, random)
		f.history.countFault(one.name)
		playing.Go(func() {
			if err := run(); err != nil {
				b.process.recordProblem(one.name + ": " + err.Error())
			}
		})
		sleep(ctx, drawMs(random, minDelayMs, gapMs))
	}
}

// drawMs returns a random time of at least from and less than from + span milliseconds.
func drawMs(random *rand.Rand, from, span int) time.Duration {
	return time.Duration(from+random.IntN(span)) * time.Millisecond
}

// signals are signals of one kind, each after a delay.
type signals struct {
	signal syscall.Signal
	delays []time.Duration
}

func drawSignals(random *rand.Rand, s syscall.Signal, count, fromMs, spanMs int) signals {
	series := signals{signal: s}
	for range count {
		series.delays = append(series.delays, drawMs(random, fromMs, spanMs))
	}
	return series
}

// send sends the signals to a box's process.
func (s signals) send(b *box) error {
	for _, delay := range s.delays {
		time.Sleep(delay)
		if err := b.process.signal(s.signal); err != nil {
			return err
		}
	}
	return nil
}

// stopAndStart stops a box by SIGTERM, plays what is to happen during the stop, and starts the box again once it has
// exited and been down for a time.
func (f *fleet) stopAndStart(b *box, during func(b *box) error, down time.Duration) error {
	if !f.beginStop() {
		return nil
	}
	defer f.endStop()
	defer f.disturbAsPlanned(b.name)()
	if err := b.process.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := during(b); err != nil {
		return err
	}
	if err := b.process.awaitStop(); err != nil {
		return err
	}
	time.Sleep(down)
	return b.process.start()
}

func planRepeatedTerm(f *fleet, b *box, random *rand.Rand) func() error {
	further := drawSignals(random, syscall.SIGTERM, 1+random.IntN(maxFurtherTerms), minTermGapMs, termGapRangeMs)
	down := drawMs(random, 0, maxDownMs)
	return func() error { return f.stopAndStart(b, further.send, down) }
}

func planReloads(_ *fleet, b *box, random *rand.Rand) func() error {
	reloads := drawSignals(random, syscall.SIGHUP, 1+random.IntN(maxReloads), 0, reloadGapMs)
	return func() error { return reloads.send(b) }
}

func planReloadsInStop(f *fleet, b *box, random *rand.Rand) func() error {
	reloads := drawSignals(random, syscall.SIGHUP, 1+random.IntN(maxReloads), 0, reloadDuringEndMs)
	down := drawMs(random, 0, maxDownMs)
	return func() error { return f.stopAndStart(b, reloads.send, down) }
}

func planReloadsAtStart(f *fleet, b *box, random *rand.Rand) func() error {
	reloads := drawSignals(random, syscall.SIGHUP, 1+random.IntN(maxReloads), 0, reloadAtStartMs)
	down := drawMs(random, 0, maxDownMs)
	return func() error {
		if err := f.stopAndStart(b, signals{}.send, down); err != nil {
			return err
		}
		err := reloads.send(b)
		// A signal before the process can handle any ends it.
		return errors.Join(err, b.process.start())
	}
}

// planRewrite truncates the settings file and writes it whole, with and without signals meanwhile and afterwards.
func planRewrite(_ *fleet, b *box, random *rand.Rand) func() error {
	meanwhile := drawSignals(random, syscall.SIGHUP, random.IntN(2), 0, reloadGapMs)
	afterwards := drawSignals(random, syscall.SIGHUP, random.IntN(2), 0, reloadGapMs)
	truncated := drawMs(random, 0, maxTruncatedMs-reloadGapMs)
	choice := random.IntN(2)
	return b.inSurroundings((*box).truncateSettings, choice, func(end func() error) error {
		err := meanwhile.send(b)
		time.Sleep(truncated)
		return errors.Join(err, end(), afterwards.send(b))
	})
}

// surroundings changes what a process needs. The choice selects among the ways to do so. The returned function restores
// it.
type surroundings func(b *box, choice int) (end func() error, err error)

// inSurroundings returns a function that plays fn while the surroundings of a box are changed, unless they already are:
// a process is to bear changes that are apart.
func (b *box) inSurroundings(change surroundings, choice int, fn func(end func() error) error) func() error {
	return func() error {
		if !b.changing.TryLock() {
			return nil
		}
		defer b.changing.Unlock()
		defer time.Sleep(changesApart)
		end, err := change(b, choice)
		if err != nil {
			return err
		}
		return fn(end)
	}
}

// planStartIn kills a box and starts it in changed surroundings, which are restored less than maxMs later.
func planStartIn(change surroundings, maxMs int) func(*fleet, *box, *rand.Rand) func() error {
	return func(f *fleet, b *box, random *rand.Rand) func() error {
		span, choice := drawMs(random, 0, maxMs), random.IntN(len(boxPorts()))
		return func() error {
			defer f.disturb(b.name)()
			if err := b.process.kill(); err != nil {
				return err
			}
			err := b.inSurroundings(change, choice, func(end func() error) error {
				defer f.history.recordChangedStart(b.name)()
				err := b.process.start()
				time.Sleep(span)
				return errors.Join(err, end())
			})()
			return errors.Join(err, b.process.start())
		}
	}
}

// truncateSettings leaves a part of the settings file, or nothing, until the returned function writes it again.
func (b *box) truncateSettings(choice int) (end func() error, err error) {
	whole := b.process.content
	part := len(whole) * (choice % 2) / 2
	return func() error { return os.WriteFile(b.process.settings, []byte(whole), 0o600) },
		os.Truncate(b.process.settings, int64(part))
}

// boxPorts returns the ports on which a box listens.
func boxPorts() []struct {
	network string
	port    int
} {
	return []struct {
		network string
		port    int
	}{{"tcp", callersPort}, {"tcp", readinessPort}, {"tcp", peersPort}, {"udp", peersPort}, {"tcp", metricsPort}}
}

// takePort listens on a port of a box until the returned function closes it. A box that another fault has started
// meanwhile keeps its port.
func (b *box) takePort(choice int) (end func() error, err error) {
	chosen := boxPorts()[choice%len(boxPorts())]
	taken, err := b.listenOn(chosen.network, chosen.port)
	if err != nil {
		return noEnd, nil //nolint:nilerr // The port is in use, as it is to be.
	}
	return taken.Close, nil
}

// listenOn listens on a port of a box.
func (b *box) listenOn(network string, port int) (io.Closer, error) {
	address := net.JoinHostPort(b.ip, strconv.Itoa(port))
	if network == "udp" {
		return (&net.ListenConfig{}).ListenPacket(context.Background(), network, address)
	}
	return (&net.ListenConfig{}).Listen(context.Background(), network, address)
}

func noEnd() error { return nil }

// planStall stops reading a box's standard output for some time. In every other case the box is stopped meanwhile, and
// nothing is read until the process must have exited.
func planStall(f *fleet, b *box, random *rand.Rand) func() error {
	span, stops := drawMs(random, minStallMs, stallRangeMs), random.IntN(2) == 0
	down := drawMs(random, 0, maxDownMs)
	return func() error {
		if !stops {
			b.process.stallOutput(span)
			return nil
		}
		b.process.stallOutput(span + stopSpan)
		time.Sleep(span)
		return f.stopAndStart(b, signals{}.send, down)
	}
}

// planCloseOutput closes the reading side of a box's standard output, makes the box write lines and stops it.
func planCloseOutput(f *fleet, b *box, random *rand.Rand) func() error {
	reloads := drawSignals(random, syscall.SIGHUP, maxReloads, 0, reloadGapMs)
	down := drawMs(random, 0, maxDownMs)
	return func() error {
		b.process.closeOutput()
		if err := reloads.send(b); err != nil {
			return err
		}
		return f.stopAndStart(b, signals{}.send, down)
	}
}
