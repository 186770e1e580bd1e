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
		now := b.clock.Steady()
		paused := now-lastMs > watchMs+pauseMs
		lastMs = now
		for _, look := range b.balance.Looks(b.peering.mesh.AskEach(), paused) {
			looking.Go(func() { b.look(ctx, look) })
		}
	})
}

// look opens connections to some upstreams of a failure domain at once.
func (b *Box) look(ctx context.Context, look balance.Look) {
	reached := make(chan bool, len(look.Clients))
	for _, client := range look.Clients {
		go func(c *upstream.Client) { reached <- c.Reach(ctx) }(client)
	}
	opened := false
	for range look.Clients {
		opened = <-reached || opened
		if opened {
			break
		}
	}
	if b.balance.Looked(look.FailureDomain, opened) {
		b.log.Tell(decision.Dependency{Dependency: "way to a failure domain", ID: look.FailureDomain, Lost: !opened})
	}
}
