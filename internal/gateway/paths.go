package gateway

import (
	"context"
	"sync"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/upstream"
)

const (
	// watchMs is how often the paths to failure domains are watched: half of the
	// shortest silence that counts.
	watchMs clock.Millis = 50
	// pauseMs is how late a watch may be before this box itself stood still.
	pauseMs clock.Millis = 100
)

// watchPaths probes the paths to failure domains that have fallen silent.
func (b *Box) watchPaths(ctx context.Context) {
	var probing sync.WaitGroup
	defer probing.Wait()
	lastMs := b.clock.Steady()
	b.clock.Every(ctx, watchMs, func(clock.Millis) {
		b.pauses.check()
		b.pauses.hurry()
		now := b.clock.Steady()
		paused := now-lastMs > watchMs+pauseMs
		lastMs = now
		for _, probe := range b.balance.Probes(b.peering.mesh.AskEach(), paused) {
			probing.Go(func() { b.probe(ctx, probe) })
		}
	})
}

// probe finds out whether connections to a failure domain open, and tells if that is news.
func (b *Box) probe(ctx context.Context, probe balance.Probe) {
	beganMs := b.clock.Steady()
	opened := reaches(ctx, probe.Clients)
	if !opened && b.clock.Steady()-beganMs > upstream.ReachMs+pauseMs {
		// This box stood still meanwhile: the time-outs say nothing.
		opened = reaches(ctx, probe.Clients)
	}
	if awayMs, news := b.balance.Probed(probe.FailureDomain, opened); news {
		b.log.Tell(decision.Dependency{
			Dependency: "path to a failure domain", ID: probe.FailureDomain, Lost: !opened, AwayMs: awayMs,
		})
	}
}

// reaches opens connections to some upstreams at once, and reports whether any opened.
func reaches(ctx context.Context, clients []*upstream.Client) bool {
	reached := make(chan bool, len(clients))
	for _, client := range clients {
		go func(c *upstream.Client) { reached <- c.Reach(ctx) }(client)
	}
	for range clients {
		if <-reached {
			return true
		}
	}
	return false
}
