package box

import (
	"context"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/pkg/config"
)

// Defaults of a planned stop.
const (
	defaultAnnounceMs = 2000
	defaultDrainMs    = 120_000
	flushPollMs       = 20 * clock.Millis(1)
	traceFlushMs      = 2 * clock.Second
)

// Drain begins a planned stop.
func (b *Box) Drain() { b.drainOne.Do(func() { close(b.drain) }) }

// stop carries out a planned stop: readiness turns false and peers hear of it,
// running requests finish, claims are settled, then the listeners close.
func (b *Box) stop(ctx context.Context) error {
	config.Fill(&b.settings.Stop.AnnounceMs, defaultAnnounceMs)
	config.Fill(&b.settings.Stop.DrainMs, defaultDrainMs)
	b.draining.Store(true)
	b.gossip.Leave()
	b.logger.Info("stop began", zap.String("box", b.settings.Box))
	_ = b.clock.Sleep(ctx, clock.Millis(b.settings.Stop.AnnounceMs))
	ctx, cancel := context.WithTimeout(ctx, clock.Millis(b.settings.Stop.DrainMs).Duration())
	defer cancel()
	err := errors.Join(b.servers.callers.Shutdown(ctx), b.servers.peers.Shutdown(ctx))
	err = errors.Join(err, b.flushClaims(ctx))
	b.closeListeners()
	b.logger.Info("stopped", zap.String("box", b.settings.Box), zap.Error(err))
	return err
}

// flushTraces sends what is left of the spans.
func (b *Box) flushTraces(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, traceFlushMs.Duration())
	defer cancel()
	return b.tracer.Shutdown(ctx)
}

// flushClaims waits until the ends of this box's claims are on the log.
func (b *Box) flushClaims(ctx context.Context) error {
	for !b.claims.Flushed() {
		if err := b.clock.Sleep(ctx, flushPollMs); err != nil {
			return fmt.Errorf("claims not settled: %w", err)
		}
	}
	return nil
}
