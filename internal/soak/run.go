package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// ErrBroken means that a promise was broken.
var ErrBroken = errors.New("a promise was broken")

// Report is what one run showed.
type Report struct {
	Seed     uint64
	Requests int
	Served   map[string]int
	Faults   map[string]int
	Findings []string
	Calls    int
	// Fatal is how the request went under which servers end.
	Fatal fatalFigures
}

// Timing of a run.
const (
	startSpan = 1500 * time.Millisecond
	// Faults come every 100 to 700 ms and last 100 ms to 3 s, so that some overlap.
	faultGapMs   = 600
	faultLastMs  = 2900
	leastMs      = 100
	callGapMs    = 40
	leastCallMs  = 400
	callRangeMs  = 3600
	settleSpan   = 1500 * time.Millisecond
	endsAtMost   = 12
	giveUpOneIn  = 12
	giveUpWithin = 300
)

// Run plays one seed.
func Run(ctx context.Context, settings Settings) (Report, error) {
	if err := os.MkdirAll(settings.Folder, 0o750); err != nil {
		return Report{}, err
	}
	f, err := newFleet(settings)
	defer f.close()
	if err != nil {
		return Report{}, err
	}
	time.Sleep(startSpan)
	report := Report{Seed: settings.Seed, Faults: map[string]int{}}
	clients, stopClients := context.WithCancel(ctx)
	var running sync.WaitGroup
	for i := range settings.Clients {
		running.Go(func() { f.client(clients, i) })
	}
	running.Go(func() { f.fatalClient(clients) })
	running.Go(func() { f.strikeWords(clients) })
	running.Go(func() { f.heartbeats(clients) })
	err = f.strike(ctx, report.Faults)
	stopClients()
	running.Wait()
	f.ends.Wait()
	// What was refused must not run later either.
	time.Sleep(settleSpan)
	for _, found := range f.ledger.check() {
		report.Findings = append(report.Findings, found.String())
	}
	report.Requests, report.Served, report.Calls = len(f.ledger.outcomes), f.ledger.served, f.store.Calls()
	report.Fatal = f.ledger.fatalFigures()
	if err == nil && len(report.Findings) > 0 {
		err = fmt.Errorf("%w: seed %d: %s", ErrBroken, settings.Seed, report.Findings[0])
	}
	return report, err
}

// strike begins faults one after the other and ends each after a while.
func (f *fleet) strike(ctx context.Context, counts map[string]int) error {
	random := rand.New(rand.NewPCG(f.settings.Seed, 2))
	list := faults(!f.settings.Timed)
	until := time.Now().Add(f.settings.Span)
	var ends sync.WaitGroup
	errs := make(chan error, endsAtMost)
	for time.Now().Before(until) && ctx.Err() == nil && len(errs) == 0 {
		one := list[random.IntN(len(list))]
		last := time.Duration(leastMs+random.IntN(faultLastMs)) * time.Millisecond
		gap := time.Duration(leastMs+random.IntN(faultGapMs)) * time.Millisecond
		counts[one.name]++
		end, err := one.begin(f)
		if err != nil {
			return fmt.Errorf("%s: %w", one.name, err)
		}
		ends.Go(func() {
			time.Sleep(last)
			if err := end(f); err != nil && len(errs) < endsAtMost {
				errs <- fmt.Errorf("end of %s: %w", one.name, err)
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

// client sends requests to all boxes in turn, on connections that it keeps.
func (f *fleet) client(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(f.settings.Seed, uint64(100+number)))
	clients := make([]*standin.Client, len(f.boxes))
	for i, b := range f.boxes {
		clients[i] = standin.NewClient(b.name, b.callers.address())
	}
	kinds := []string{standin.Safe, standin.Unsafe, standin.Stream, standin.Resumable}
	for sequence := 0; ctx.Err() == nil; sequence++ {
		call := standin.Call{
			ID:   fmt.Sprintf("%d-%d-%d", f.settings.Seed, number, sequence),
			Kind: kinds[random.IntN(len(kinds))], Key: f.someKey(random),
			DeadlineMs: leastCallMs + random.IntN(callRangeMs),
		}
		sending, cancel := context.WithCancel(context.WithoutCancel(ctx))
		if random.IntN(giveUpOneIn) == 0 {
			time.AfterFunc(time.Duration(random.IntN(giveUpWithin))*time.Millisecond, cancel)
		}
		f.ledger.noteOutcome(clients[random.IntN(len(clients))].Do(sending, call))
		cancel()
		time.Sleep(time.Duration(random.IntN(callGapMs)) * time.Millisecond)
	}
}

// someKey draws a key that is, or once was, a tenant's.
func (f *fleet) someKey(random *rand.Rand) string {
	f.ledger.mu.Lock()
	gone := make([]string, 0, len(f.ledger.revoked))
	for key := range f.ledger.revoked {
		gone = append(gone, key)
	}
	f.ledger.mu.Unlock()
	if len(gone) > 0 && random.IntN(5) == 0 {
		return gone[random.IntN(len(gone))]
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	keys := f.config.Keys["tenant-"+strconv.Itoa(random.IntN(tenantCount))]
	return keys[random.IntN(len(keys))]
}
