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
	// watchMs is how often the ways to failure domains are watched: half of the
	// shortest silence that counts.
	watchMs clock.Millis = 50
	// pauseMs is how late a watch may be before this box itself stood still.
	pauseMs clock.Millis = 100
)

// watchWays looks at the ways to failure domains that have fallen silent.
func (b *Box) watchWays(ctx context.Context) {
	var looking sync.WaitGroup
	defer looking.Wait()
	lastMs := b.clock.Steady()
	b.clock.Every(ctx, watchMs, func(clock.Millis) {
		b.pauses.look()
		b.pauses.hurry()
		now := b.clock.Steady()
		paused := now-lastMs > watchMs+pauseMs
		lastMs = now
		for _, look := range b.balance.Looks(b.peering.mesh.AskEach(), paused) {
			looking.Go(func() { b.look(ctx, look) })
		}
	})
}

// look finds out whether connections to a failure domain open, and tells if that is news.
func (b *Box) look(ctx context.Context, look balance.Look) {
	beganMs := b.clock.Steady()
	opened := reaches(ctx, look.Clients)
	if !opened && b.clock.Steady()-beganMs > upstream.ReachMs+pauseMs {
		// This box stood still meanwhile: the time-outs say nothing.
		opened = reaches(ctx, look.Clients)
	}
	if awayMs, news := b.balance.Looked(look.FailureDomain, opened); news {
		b.log.Tell(decision.Dependency{
			Dependency: "way to a failure domain", ID: look.FailureDomain, Lost: !opened, AwayMs: awayMs,
		})
	}
}

// reaches opens connections to some upstreams at once, and tells whether any opened.
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
