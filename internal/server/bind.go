package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"syscall"

	"dooryard.example/dooryard/internal/clock"
)

// bindRetryMs is the time between two attempts to bind an address. Callers find no listener for as long after another
// process has closed its own.
const bindRetryMs clock.Millis = 50

// bindReportMs is the time between two reports of an address that stays taken.
const bindReportMs = 30 * clock.Second

// Binder opens sockets. It retries while their address is taken or not yet configured, or while descriptors or buffers
// are exhausted, which may end by itself: another process on the machine, such as an earlier one of the same box, may
// release them soon.
type Binder struct {
	Clock clock.Clock
	// TimeoutMs is for how long it tries; 0 means until the context ends.
	TimeoutMs clock.Millis
	// RetriesAll makes it retry other errors, too.
	RetriesAll bool
	// OnRetry is called with the first error of a socket, whenever the error changes, and every 30 s.
	OnRetry func(err error)
}

// Listen opens a TCP listener. Errors name the listener and its address.
func (b Binder) Listen(ctx context.Context, name, address string, listen Listen) (net.Listener, error) {
	var listener net.Listener
	err := b.Retry(ctx, func() (err error) {
		listener, err = listen("tcp", address)
		return socketError(name, address, err)
	})
	return listener, err
}

// ListenPacket opens a UDP socket. Errors name the socket and its address.
func (b Binder) ListenPacket(
	ctx context.Context, name, address string, listen func(network, address string) (net.PacketConn, error),
) (net.PacketConn, error) {
	var conn net.PacketConn
	err := b.Retry(ctx, func() (err error) {
		conn, err = listen("udp", address)
		return socketError(name, address, err)
	})
	return conn, err
}

// Socket is one of several sockets that are opened together.
type Socket struct {
	Name, Address string
	Open          func(address string) (io.Closer, error)
}

// OpenAll opens all sockets or none, in their order. While one of them can't be opened, the others are closed: an open
// listener accepts connections that nobody serves yet. The first socket should take no connections. It is always opened
// first, so that of several processes only the one that has it opens the others.
func (b Binder) OpenAll(ctx context.Context, sockets ...Socket) error {
	return b.Retry(ctx, func() error {
		failed, err := openAll(sockets)
		if failed > 0 {
			// The next attempt goes on with the socket that failed, so that it opens no other listener in vain.
			sockets = slices.Concat(sockets[:1], sockets[failed:], sockets[1:failed])
		}
		return err
	})
}

// OpenAll opens all sockets or none, in their order, without a retry.
func OpenAll(sockets ...Socket) error {
	_, err := openAll(sockets)
	return err
}

// openAll opens all sockets. If one fails, it closes the others and returns the index of the failed one.
func openAll(sockets []Socket) (failed int, err error) {
	opened := make([]io.Closer, 0, len(sockets))
	for i, s := range sockets {
		socket, err := s.Open(s.Address)
		if err != nil {
			errs := []error{socketError(s.Name, s.Address, err)}
			for _, o := range opened {
				errs = append(errs, o.Close())
			}
			return i, errors.Join(errs...)
		}
		opened = append(opened, socket)
	}
	return 0, nil
}

func socketError(name, address string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s listener at %s: %w", name, address, err)
}

// Retry opens sockets and retries errors that may end by themselves.
func (b Binder) Retry(ctx context.Context, open func() error) error {
	startMs, last, reportedMs := b.Clock.Monotonic(), "", clock.Millis(0)
	for {
		err := open()
		if err == nil {
			return nil
		}
		if !b.RetriesAll && !mayBeReleased(err) || b.TimeoutMs > 0 && b.Clock.Monotonic()-startMs >= b.TimeoutMs {
			return err
		}
		if text, now := err.Error(), b.Clock.Monotonic(); text != last || now-reportedMs >= bindReportMs {
			last, reportedMs = text, now
			b.OnRetry(err)
		}
		if stopped := b.Clock.Sleep(ctx, bindRetryMs); stopped != nil {
			return errors.Join(stopped, err)
		}
	}
}

// mayBeReleased reports whether an error may end by itself: an address that is taken or not yet configured, or a lack
// of descriptors or memory.
func mayBeReleased(err error) bool {
	for _, passing := range []error{
		syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
