package box

import (
	"context"
	"net"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/server"
)

// bindTimeoutMs is about the time that an earlier process of the box needs to release its addresses.
const bindTimeoutMs = 10 * clock.Second

func (b *Box) binder() server.Binder {
	return server.Binder{Clock: b.clock, TimeoutMs: bindTimeoutMs, OnRetry: func(err error) {
		b.logger.Warn("listener retried", zap.String("box", b.settings.Box), zap.Error(err))
	}}
}

// listenWithRetries returns a function that opens a named listener, which survives errors of its socket.
func (b *Box) listenWithRetries(ctx context.Context, name string) server.Listen {
	return func(_, address string) (net.Listener, error) {
		open := func(ctx context.Context) (net.Listener, error) {
			return b.binder().Listen(ctx, name, address, b.listen)
		}
		socket, err := open(ctx)
		if err != nil {
			return nil, err
		}
		return server.NewListener(socket, b.clock, open, func(err error) {
			b.logger.Warn("listener failed", zap.String("box", b.settings.Box), zap.String("listener", name), zap.Error(err))
		}), nil
	}
}
