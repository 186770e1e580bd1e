package box

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
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
	// lastResponsesMs is the time for the responses to these requests. The call that cancels a request at its engine
	// fits into it.
	lastResponsesMs = 2500 * clock.Millis(1)
	// operatorsDrainMs is the time for requests of operators, which are served until all others have ended.
	operatorsDrainMs = 2 * clock.Second
)

// Drain starts a graceful shutdown.
func (b *Box) Drain() { b.drainOnce.Do(func() { close(b.drain) }) }

// stop shuts down gracefully: it withdraws readiness and announces the shutdown to peers and callers, waits for running
// requests, flushes claims, and then closes the listeners.
func (b *Box) stop(ctx context.Context) error {
	config.SetDefault(&b.settings.Stop.AnnounceMs, defaultAnnounceMs)
	config.SetDefault(&b.settings.Stop.DrainMs, defaultDrainMs)
	b.draining.Store(true)
	b.gossip.Leave()
	b.logger.Info("graceful shutdown started", zap.String("box", b.settings.Box))
	announceMs, drainMs := clock.Millis(b.settings.Stop.AnnounceMs), clock.Millis(b.settings.Stop.DrainMs)
	for _, s := range b.allServers() {
		s.AnnounceClose(announceMs + drainMs)
	}
	_ = b.clock.Sleep(ctx, announceMs)
	drain, endDrain := context.WithTimeout(ctx, drainMs.Duration())
	defer endDrain()
	flush, endFlush := context.WithTimeout(ctx, (drainMs + 2*lastResponsesMs + claimFlushMs).Duration())
	defer endFlush()
	b.logger.Info("listeners close", zap.String("box", b.settings.Box))
	// All addresses are given up at once: the next process of the box opens all of them or none. Owners of upstreams know
	// this box by its name, so questions of this process would mix its requests with those of the next one.
	b.endPeering()
	last, endLast := context.WithCancel(ctx)
	defer endLast()
	operators := b.drainServers(last, b.servers.operators)
	err := errors.Join(<-b.drainServers(drain, b.servers.callers, b.servers.peers), b.flushClaims(flush))
	b.clock.AfterFunc(operatorsDrainMs, endLast)
	err = errors.Join(err, <-operators)
	b.closeListeners()
	b.logger.Info("stopped", zap.String("box", b.settings.Box), zap.Error(err))
	return err
}

// drainServers closes the listeners of servers at once, and returns a channel that gets a value when their running
// requests have ended.
func (b *Box) drainServers(ctx context.Context, list ...*server.Server) <-chan error {
	errs := make([]error, len(list))
	var running sync.WaitGroup
	for i, s := range list {
		running.Go(func() { guard.Do("drain of a listener", func() { errs[i] = b.drainServer(ctx, s) }) })
	}
	drained := make(chan error, 1)
	go func() {
		running.Wait()
		drained <- errors.Join(errs...)
	}()
	return drained
}

// drainServer waits for the running requests of a server. It cuts those that outlast the drain, which is no fault of
// the box.
func (b *Box) drainServer(ctx context.Context, s *server.Server) error {
	err := s.Drain(ctx)
	if !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) {
		return err
	}
	b.logger.Warn("requests cut", zap.String("box", b.settings.Box), zap.Error(err))
	last, endLast := context.WithTimeout(context.WithoutCancel(ctx), lastResponsesMs.Duration())
	defer endLast()
	s.Cut(last)
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
