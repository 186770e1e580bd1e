package box

import (
	"context"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/server"
	"dooryard.example/dooryard/pkg/config"
)

// Defaults of a graceful shutdown.
const (
	defaultAnnounceMs = 2000
	defaultDrainMs    = 120_000
	flushPollMs       = 20 * clock.Millis(1)
	traceFlushMs      = 2 * clock.Second
	// claimFlushMs is the time for claims of requests that were cut at the end of the drain.
	claimFlushMs = 2 * clock.Second
)

// Drain starts a graceful shutdown.
func (b *Box) Drain() { b.drainOnce.Do(func() { close(b.drain) }) }

// stop shuts down gracefully: it withdraws readiness and announces the shutdown to peers,
// waits for running requests, flushes claims, and then closes the listeners.
func (b *Box) stop(ctx context.Context) error {
	config.SetDefault(&b.settings.Stop.AnnounceMs, defaultAnnounceMs)
	config.SetDefault(&b.settings.Stop.DrainMs, defaultDrainMs)
	b.draining.Store(true)
	b.gossip.Leave()
	b.logger.Info("graceful shutdown started", zap.String("box", b.settings.Box))
	_ = b.clock.Sleep(ctx, clock.Millis(b.settings.Stop.AnnounceMs))
	drainMs := clock.Millis(b.settings.Stop.DrainMs)
	drain, endDrain := context.WithTimeout(ctx, drainMs.Duration())
	defer endDrain()
	flush, endFlush := context.WithTimeout(ctx, (drainMs + claimFlushMs).Duration())
	defer endFlush()
	err := errors.Join(b.drainServer(drain, b.servers.callers), b.drainServer(drain, b.servers.peers))
	err = errors.Join(err, b.flushClaims(flush))
	b.closeListeners()
	b.logger.Info("stopped", zap.String("box", b.settings.Box), zap.Error(err))
	return err
}

// drainServer waits for the running requests of a server. It cuts those that outlast the drain, which is no fault of
// the box.
func (b *Box) drainServer(ctx context.Context, s *server.Server) error {
	err := s.Shutdown(ctx)
	if !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	b.logger.Warn("requests cut", zap.String("box", b.settings.Box), zap.Error(err))
	s.Close()
	return nil
}

// flushTraces exports the remaining spans.
func (b *Box) flushTraces(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, traceFlushMs.Duration())
	defer cancel()
	return b.tracer.Shutdown(ctx)
}

// flushClaims waits until all records of this box's claims have been appended to the log.
func (b *Box) flushClaims(ctx context.Context) error {
	for !b.claims.Flushed() {
		if err := b.clock.Sleep(ctx, flushPollMs); err != nil {
			return fmt.Errorf("flush claims: %w", err)
		}
	}
	return nil
}
