package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// ErrGuaranteeViolated means that a run violated a guarantee.
var ErrGuaranteeViolated = errors.New("a guarantee was violated")

// Report is the result of one run.
type Report struct {
	Seed     uint64
	Requests int
	Served   map[string]int
	Faults   map[string]int
	Findings []string
	Calls    int
	// Fatal holds the figures of the fatal requests, which crash servers, by kind.
	Fatal map[standin.Fatal]fatalStats
	// HeldBack is the number of sound requests that were refused because of a part of their prompts.
	HeldBack int
	// Partitions holds the requests during partitions of some boxes, and Falls how many brittle servers fell over.
	Partitions partitionStats
	Falls      int
	// Streams holds the streams that clients took up after they broke.
	Streams streamStats
	// Load holds the figures of the load bound.
	Load loadStats
	// Lost holds the requests whose connections boxes closed without a complete response.
	Lost lostStats
	// Exact holds the requests of callers that wait for exactly as long as they tell.
	Exact exactStats
	// Endings holds the requests of a play of ends.
	Endings endStats
	// Ends counts by what processes were asked to end, and how they did.
	Ends map[string]int
	// Leavings holds the figures of a play of leavings.
	Leavings leavingStats
	// Threads is the largest number of threads of a box with limits.
	Threads int
}

// Timing of a run.
const (
	startupSpan = 1500 * time.Millisecond
	// Faults start every 100 to 700 ms and last 100 ms to 3 s, so that some overlap.
	faultGapMs      = 600
	faultRangeMs    = 2900
	minDelayMs      = 100
	callGapMs       = 40
	minDeadlineMs   = 400
	deadlineRangeMs = 3600
	settleSpan      = 1500 * time.Millisecond
	maxEndErrors    = 12
	cancelOneIn     = 12
	cancelWithinMs  = 300
)

// Run runs one seed and returns its report.
func Run(ctx context.Context, settings Settings) (Report, error) {
	if err := os.MkdirAll(settings.Folder, 0o750); err != nil {
		return Report{}, err
	}
	f, err := newFleet(settings)
	defer f.close()
	if err != nil {
		return Report{}, err
	}
	time.Sleep(settings.startupSpan())
	report := Report{Seed: settings.Seed, Faults: map[string]int{}}
	clients, stopClients := context.WithCancel(ctx)
	var workers sync.WaitGroup
	if settings.Load {
		workers.Go(func() { f.sendLoad(clients) })
	} else {
		f.startRequests(clients, &workers)
	}
	injections, stopInjections := context.WithCancel(clients)
	var injecting sync.WaitGroup
	f.startInjections(injections, &injecting)
	workers.Go(func() { f.writeHeartbeats(clients) })
	err = f.injectFaults(ctx, report.Faults)
	stopInjections()
	injecting.Wait()
	if settings.Planned {
		f.stopAll()
	}
	stopClients()
	workers.Wait()
	f.background.Wait()
	maps.Copy(report.Faults, f.history.processFaults)
	// Rejected requests must not run later either.
	time.Sleep(settleSpan)
	f.fill(&report)
	if err == nil && len(report.Findings) > 0 {
		err = fmt.Errorf("%w: seed %d: %s", ErrGuaranteeViolated, settings.Seed, report.Findings[0])
	}
	return report, err
}

// fill fills in the report when everything has ended.
func (f *fleet) fill(report *Report) {
	for _, b := range f.boxes {
		f.history.interfered[b.name] = b.callers.interfered
		f.history.openedBy[b.name] = b.callers.openedBy
		f.history.forwarded[b.name] = b.callers.forwarded
		f.history.ends[b.name] = b.process.ends()
	}
	for _, found := range f.history.check() {
		report.Findings = append(report.Findings, found.String())
	}
	for _, b := range f.boxes {
		report.Threads = max(report.Threads, b.process.threads)
	}
	ended, ends := f.processFindings()
	report.Findings, report.Ends = append(report.Findings, ended...), ends
	report.Requests, report.Served, report.Calls = len(f.history.outcomes), f.history.served, f.store.Calls()
	report.Fatal, report.HeldBack = f.history.fatalStats(), f.history.heldBack()
	report.Partitions, report.Falls = f.history.partitionFigures(), f.history.falls
	report.Streams, report.Lost, report.Exact = f.history.streamStats(), f.history.lost, f.history.exact
	if f.settings.Ends {
		report.Findings = append(report.Findings, f.endFindings()...)
		report.Endings = f.endings.stats
		report.Requests = report.Endings.Requests
	}
	if f.settings.Leavings {
		report.Leavings = f.history.leavingStats()
	}
	if f.settings.Load {
		report.Load = f.loadStats()
		report.Findings = append(report.Findings, report.Load.findings()...)
	}
	// The file only helps to trace what the report counts.
	_ = os.WriteFile(filepath.Join(f.settings.Folder, "other-cuts.txt"),
		[]byte(strings.Join(f.history.otherCuts, "\n")), 0o600)
}

// startupSpan returns how long boxes run before requests are sent. With a load they know each other by then, as those
// of the users do.
func (s *Settings) startupSpan() time.Duration {
	if s.Load {
		return loadContactSpan
	}
	return startupSpan
}

// startRequests starts the clients, and the servers' signals, until ctx ends.
func (f *fleet) startRequests(ctx context.Context, workers *sync.WaitGroup) {
	if f.settings.Exact {
		f.startExact(ctx, workers)
		return
	}
	if f.settings.Ends {
		f.startEnds(ctx, workers)
		return
	}
	if f.settings.Planned || f.settings.Processes || f.settings.Leavings {
		for i := range f.settings.Clients {
			workers.Go(func() { f.runKeptClient(ctx, i) })
		}
	}
	if f.settings.Callers {
		for i := range len(callerKinds()) * len(f.boxes) {
			workers.Go(func() { f.runCaller(ctx, i, callerKinds()) })
		}
	}
	if f.settings.Wire {
		for i := range len(wireKinds()) * len(f.boxes) {
			workers.Go(func() { f.runCaller(ctx, firstWireCaller+i, wireKinds()) })
		}
	}
	if f.settings.Planned {
		return
	}
	for i := range f.settings.Clients {
		workers.Go(func() { f.runClient(ctx, i) })
	}
	if !f.settings.Leavings {
		// A server that crashed would write again that it takes work.
		workers.Go(func() { f.runFatalClient(ctx) })
	}
	workers.Go(func() { f.injectSignals(ctx) })
}

// startInjections starts the disturbances that have a schedule of their own beside the faults, until ctx ends.
func (f *fleet) startInjections(ctx context.Context, workers *sync.WaitGroup) {
	for _, injection := range []struct {
		enabled bool
		inject  func(ctx context.Context)
	}{
		{f.settings.Load && !f.settings.Calm, f.restartAllOnce},
		{f.settings.Ends, f.injectEnds},
		{f.settings.Leavings, f.injectLeavings},
		{f.settings.Processes, f.injectProcessFaults},
		{f.settings.Planned, f.injectPlanned},
		{f.settings.Overlaps, f.injectOverlaps},
		{f.settings.Strangers, f.injectStrangers},
		{f.settings.HeldPorts, f.injectHeldPorts},
		{f.settings.HeldPorts, f.injectLostSockets},
		{f.settings.Quotas, f.injectQuotas},
		{f.settings.Limits, f.sampleThreads},
		{f.settings.Evacuations, f.injectEvacuations},
		{f.settings.Overload, f.injectOverload},
		{f.settings.Stalls, f.injectStalls},
		{f.settings.Partitions, f.injectPartitions},
	} {
		if injection.enabled {
			workers.Go(func() { injection.inject(ctx) })
		}
	}
}

// injectFaults starts random faults one after the other and ends each after a random time.
func (f *fleet) injectFaults(ctx context.Context, counts map[string]int) error {
	random := rand.New(rand.NewPCG(f.settings.Seed, 2))
	list := f.faults()
	until := time.Now().Add(f.settings.Span)
	var ends sync.WaitGroup
	errs := make(chan error, maxEndErrors)
	none := f.settings.Calm || f.settings.Planned || f.settings.Exact || f.settings.Ends || f.settings.Leavings
	for none && time.Now().Before(until) && ctx.Err() == nil {
		sleep(ctx, time.Until(until))
	}
	for time.Now().Before(until) && ctx.Err() == nil && len(errs) == 0 {
		chosen := list[random.IntN(len(list))]
		duration := time.Duration(minDelayMs+random.IntN(faultRangeMs)) * time.Millisecond
		gap := time.Duration(minDelayMs+random.IntN(faultGapMs)) * time.Millisecond
		counts[chosen.name]++
		end, err := chosen.begin(f)
		if err != nil {
			return fmt.Errorf("%s: %w", chosen.name, err)
		}
		ends.Go(func() {
			time.Sleep(duration)
			if err := end(f); err != nil && len(errs) < maxEndErrors {
				errs <- fmt.Errorf("end of %s: %w", chosen.name, err)
			}
		})
		time.Sleep(gap)
	}
	ends.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// runClient sends requests to random boxes over persistent connections.
func (f *fleet) runClient(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(f.settings.Seed, uint64(100+number)))
	clients := make([]*standin.Client, len(f.boxes))
	for i, b := range f.boxes {
		clients[i] = standin.NewClient(b.name, b.callers.address())
	}
	kinds := []string{standin.Safe, standin.Unsafe, standin.Stream, standin.Resumable}
	for sequence := 0; ctx.Err() == nil; sequence++ {
		call := standin.Call{
			ID:   fmt.Sprintf("%d-%d-%d", f.settings.Seed, number, sequence),
			Kind: kinds[random.IntN(len(kinds))], Key: f.drawKey(random),
			DeadlineMs: minDeadlineMs + random.IntN(deadlineRangeMs),
		}
		callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		if random.IntN(cancelOneIn) == 0 {
			time.AfterFunc(time.Duration(random.IntN(cancelWithinMs))*time.Millisecond, cancel)
		}
		outcome := clients[random.IntN(len(clients))].Do(callCtx, call)
		cancel()
		f.history.recordOutcome(outcome)
		f.takeUp(ctx, random, clients, outcome)
		time.Sleep(time.Duration(random.IntN(callGapMs)) * time.Millisecond)
	}
}

// drawKey returns a random key that is valid or was revoked.
func (f *fleet) drawKey(random *rand.Rand) string {
	oneIn, since := 5, time.Time{}
	if f.settings.Leavings {
		oneIn, since = removedKeyOneIn, time.Now().Add(-removedKeySpan)
	}
	f.history.mu.Lock()
	revokedKeys := make([]string, 0, len(f.history.revoked))
	for key, at := range f.history.revoked {
		if at.After(since) {
			revokedKeys = append(revokedKeys, key)
		}
	}
	f.history.mu.Unlock()
	if len(revokedKeys) > 0 && random.IntN(oneIn) == 0 {
		return revokedKeys[random.IntN(len(revokedKeys))]
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	keys := f.config.Keys["tenant-"+strconv.Itoa(random.IntN(tenantCount))]
	return keys[random.IntN(len(keys))]
}
