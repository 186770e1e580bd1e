package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// Requests of kept connections follow each other without a pause, until the processes are gone. With planned work only,
// servers take longer for them, so that some are under way at any time and some outlast the grace period.
const (
	keptDeadlineMs = 6000
	// firstKeptStream is the first stream of random numbers of these clients.
	firstKeptStream = 10_000
	// refusedGap is the time until the next request after one without a response.
	refusedGap = 20 * time.Millisecond
	// One request in longOneIn takes up to maxLongMs at its server, the others up to maxShortMs.
	longOneIn  = 8
	maxLongMs  = 2500
	maxShortMs = 30
	// Streams of one server in slowServerOneIn outlast the grace period.
	slowServerOneIn = 4
	slowEventGap    = 400 * time.Millisecond
	// longEventGap makes streams nearly as long as the route's timeout allows.
	longEventGap  = 235 * time.Millisecond
	maxConfigs    = 5
	configGapMs   = 300
	minStopsApart = 2
)

func plannedFaults() []processFault {
	return []processFault{
		{"stop a box gracefully", planStop},
		{"SIGTERM repeatedly", planRepeatedTerm},
		{"SIGHUP repeatedly", planReloads},
		{"SIGHUP during a stop", planReloadsInStop},
		{"SIGHUP after a start", planReloadsAtStart},
		{"configurations in series", planConfigs},
		{"drain a server", func(f *fleet, _ *box, _ *rand.Rand) func() error {
			return func() error {
				end, _ := drainServer(f)
				return end(f)
			}
		}},
	}
}

// injectPlanned plays planned work until ctx ends.
func (f *fleet) injectPlanned(ctx context.Context) {
	f.play(ctx, rand.New(rand.NewPCG(f.settings.Seed, 9)), plannedFaults(), faultGapMs)
}

func planStop(f *fleet, b *box, random *rand.Rand) func() error {
	down := drawMs(random, 0, maxDownMs)
	return func() error { return f.stopAndStart(b, signals{}.send, down) }
}

// planConfigs writes several configurations, one shortly after the other.
func planConfigs(f *fleet, _ *box, random *rand.Rand) func() error {
	changes := []func(f *fleet) (func(*fleet) error, error){}
	gaps := []time.Duration{}
	for range 2 + random.IntN(maxConfigs-1) {
		changes = append(changes, []func(f *fleet) (func(*fleet) error, error){changeConfig, revokeKey}[random.IntN(2)])
		gaps = append(gaps, drawMs(random, 0, configGapMs))
	}
	return func() error {
		for i, change := range changes {
			if _, err := change(f); err != nil {
				return err
			}
			time.Sleep(gaps[i])
		}
		return nil
	}
}

// beginStop reports whether a box may be stopped: without other faults, half of the boxes at most are down at a time.
func (f *fleet) beginStop() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settings.Planned && f.stopping >= max(1, len(f.boxes)/minStopsApart) {
		return false
	}
	f.stopping++
	return true
}

func (f *fleet) endStop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping--
}

// stopAll stops all boxes at the end of a run of planned work, with quotas half of them under one.
func (f *fleet) stopAll() {
	random := rand.New(rand.NewPCG(f.settings.Seed, 11))
	var stops sync.WaitGroup
	for _, b := range f.boxes {
		if share := drawShare(random); f.settings.Quotas && random.IntN(2) == 0 {
			stops.Go(func() { f.throttle(b, share, quotaToExitSpan) })
		}
		stops.Go(func() {
			defer f.disturbAsPlanned(b.name)()
			err := b.process.signal(syscall.SIGTERM)
			if err == nil {
				err = b.process.awaitStop()
			}
			if err != nil {
				b.process.recordProblem("last stop: " + err.Error())
			}
		})
	}
	stops.Wait()
}

// keptClient returns a client that keeps a connection to a box.
func (f *fleet) keptClient(b *box) *standin.Client {
	return standin.NewClient(b.name, f.keptAddress(b))
}

// keptAddress returns the address of a box for kept connections.
func (f *fleet) keptAddress(b *box) string {
	if f.settings.Planned || f.settings.Ends {
		// Without a link in between, a connection ends when the box ends it.
		return net.JoinHostPort(b.ip, strconv.Itoa(callersPort))
	}
	return b.callers.address()
}

// runKeptClient sends requests back to back on a connection to one box until ctx ends. When that is gone, it goes to
// another one.
func (f *fleet) runKeptClient(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(f.settings.Seed, uint64(firstKeptStream+number)))
	client := f.keptClient(f.boxes[number%len(f.boxes)])
	kinds := []string{standin.Safe, standin.Unsafe, standin.Stream, standin.Resumable}
	for sequence := 0; ctx.Err() == nil; sequence++ {
		o := client.Do(context.WithoutCancel(ctx), standin.Call{
			ID:   fmt.Sprintf("%d-k%d-%d", f.settings.Seed, number, sequence),
			Kind: kinds[random.IntN(len(kinds))], Key: f.drawKey(random), DeadlineMs: keptDeadlineMs,
		})
		f.history.recordOutcome(o)
		if o.Status == 0 {
			client = f.keptClient(f.boxes[random.IntN(len(f.boxes))])
			sleep(ctx, refusedGap)
		}
	}
}

// takeTime makes a request take its time at a server, which follows from its ID.
func takeTime(request string) {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(request))
	drawn := int(sum.Sum32() >> 1)
	span := drawn % maxShortMs
	if drawn%longOneIn == 0 {
		span = drawn % maxLongMs
	}
	time.Sleep(time.Duration(span) * time.Millisecond)
}
