package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"dooryard.example/dooryard/internal/clock"
)

// bindRetryMs is the time between two attempts to bind an address.
const bindRetryMs clock.Millis = 100

// Binder opens sockets. It retries while their address is taken or not yet configured, which may end by itself: another
// process on the machine, such as an earlier one of the same box, may release it soon.
type Binder struct {
	Clock clock.Clock
	// TimeoutMs is for how long it tries; 0 means until the context ends.
	TimeoutMs clock.Millis
	// OnRetry is called with the first error of a socket and whenever the error changes.
	OnRetry func(err error)
}

// Listen opens a TCP listener. Errors name the listener and its address.
func (b Binder) Listen(ctx context.Context, name, address string, listen Listen) (net.Listener, error) {
	return bind(ctx, b, name, address, func() (net.Listener, error) { return listen("tcp", address) })
}

// ListenPacket opens a UDP socket. Errors name the socket and its address.
func (b Binder) ListenPacket(
	ctx context.Context, name, address string, listen func(network, address string) (net.PacketConn, error),
) (net.PacketConn, error) {
	return bind(ctx, b, name, address, func() (net.PacketConn, error) { return listen("udp", address) })
}

func bind[T any](ctx context.Context, b Binder, name, address string, open func() (T, error)) (T, error) {
	startMs, last := b.Clock.Monotonic(), ""
	for {
		socket, err := open()
		if err == nil {
			return socket, nil
		}
		err = fmt.Errorf("%s listener at %s: %w", name, address, err)
		if !mayBeReleased(err) || b.TimeoutMs > 0 && b.Clock.Monotonic()-startMs >= b.TimeoutMs {
			return socket, err
		}
		if text := err.Error(); text != last {
			last = text
			b.OnRetry(err)
		}
		if stopped := b.Clock.Sleep(ctx, bindRetryMs); stopped != nil {
			return socket, errors.Join(stopped, err)
		}
	}
}

func mayBeReleased(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}
