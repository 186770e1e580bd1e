package gateway

import (
	"context"
	"sync"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/upstream"
)

const (
	// pathCheckIntervalMs is how often the paths to failure domains are checked: half of the shortest silence that
	// triggers a probe.
	pathCheckIntervalMs clock.Millis = 50
	// checkDelayThresholdMs is the delay of a check above which this process itself counts as paused.
	checkDelayThresholdMs clock.Millis = 100
)

// watchPaths probes the paths to failure domains from which nothing was received for some time.
func (b *Box) watchPaths(ctx context.Context) {
	var probing sync.WaitGroup
	defer probing.Wait()
	lastMs := b.clock.Monotonic()
	b.clock.Every(ctx, pathCheckIntervalMs, func(clock.Millis) {
		b.pauseDetector.check()
		b.pauseDetector.pingIfStale()
		now := b.clock.Monotonic()
		paused := now-lastMs > pathCheckIntervalMs+checkDelayThresholdMs
		lastMs = now
		for _, probe := range b.balance.Probes(b.peering.mesh.DomainPingIntervals(), paused) {
			probing.Go(func() { guard.Do("probe of a path", func() { b.probe(ctx, probe) }) })
		}
	})
}

// maxPathProbes is how often a path is probed while this process is paused during each probe.
const maxPathProbes = 4

// probe checks whether connections to a failure domain open, and logs a change.
func (b *Box) probe(ctx context.Context, probe balance.Probe) {
	reachable, known := b.probePath(func() bool { return anyReachable(ctx, probe.Clients) })
	if !known {
		b.balance.RecordProbeWithoutResult(probe.FailureDomain)
		return
	}
	if downMs, changed := b.balance.RecordProbe(probe.FailureDomain, reachable); changed {
		b.log.Record(decision.Dependency{
			Dependency: "path to a failure domain", ID: probe.FailureDomain, Unavailable: !reachable, UnavailableMs: downMs,
		})
	}
}

// probePath probes a path until the result is known. The timeout of a probe during which this process was paused proves
// nothing.
func (b *Box) probePath(probe func() bool) (reachable, known bool) {
	for range maxPathProbes {
		startMs := b.clock.Monotonic()
		if probe() {
			return true, true
		}
		if b.clock.Monotonic()-startMs <= upstream.HostReachableTimeoutMs+checkDelayThresholdMs {
			return false, true
		}
	}
	return false, false
}

// anyReachable opens connections to some upstreams in parallel, and reports whether any of them opened.
func anyReachable(ctx context.Context, clients []*upstream.Client) bool {
	return anyOf(clients, func(c *upstream.Client) bool { return c.HostReachable(ctx) })
}

// anyOf checks some upstreams in parallel, and reports as soon as one check succeeds.
func anyOf(clients []*upstream.Client, check func(c *upstream.Client) bool) bool {
	results := make(chan bool, len(clients))
	for _, client := range clients {
		go func() {
			succeeded := false
			guard.Do("check of an upstream", func() { succeeded = check(client) })
			results <- succeeded
		}()
	}
	for range clients {
		if <-results {
			return true
		}
	}
	return false
}
