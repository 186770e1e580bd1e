package server

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/socket"
)

// Backoff of failed accepts.
const (
	minAcceptBackoffMs clock.Millis = 5
	maxAcceptBackoffMs clock.Millis = 1000
)

// Listener is a listener that survives errors of its socket. A failed accept is repeated after a backoff, and a socket
// that can't accept any more is opened anew. Accept fails only if that is impossible or the listener was closed.
type Listener struct {
	clock   clock.Clock
	kernel  *socket.Kernel
	reopen  func(ctx context.Context) (net.Listener, error)
	onError func(err error)
	address net.Addr
	closed  context.Context
	close   context.CancelFunc

	mu     sync.Mutex
	socket net.Listener
}

// NewListener returns a listener on a socket. OnError is called with each error of the socket.
func NewListener(
	inner net.Listener, c clock.Clock, reopen func(ctx context.Context) (net.Listener, error), onError func(err error),
) *Listener {
	l := &Listener{
		clock: c, kernel: socket.System(), reopen: reopen, onError: onError, address: inner.Addr(), socket: inner,
	}
	l.closed, l.close = context.WithCancel(context.Background())
	return l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for backoffMs := minAcceptBackoffMs; ; backoffMs = min(2*backoffMs, maxAcceptBackoffMs) {
		socket := l.current()
		conn, err := socket.Accept()
		if err == nil {
			return conn, nil
		}
		if l.closed.Err() != nil {
			return nil, net.ErrClosed
		}
		l.onError(err)
		if isDead(err) {
			err = l.replace(socket)
		} else {
			err = l.clock.Sleep(l.closed, backoffMs)
		}
		if l.closed.Err() != nil {
			return nil, net.ErrClosed
		}
		if err != nil {
			return nil, err
		}
	}
}

// isDead reports whether a socket can't accept any more after an error.
func isDead(err error) bool {
	for _, dead := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		if errors.Is(err, dead) {
			return true
		}
	}
	return false
}

func (l *Listener) current() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.socket
}

// replace closes a dead socket and opens another one.
func (l *Listener) replace(dead net.Listener) error {
	// It is dead, whatever the error.
	_ = dead.Close()
	socket, err := l.reopen(l.closed)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.socket = socket
	if l.closed.Err() != nil {
		return socket.Close()
	}
	return nil
}

const (
	// acceptPollMs is how often a listener checks whether connections wait to be accepted.
	acceptPollMs clock.Millis = 5
	// openAcceptPolls is how often, and openAcceptMs for how long it checks before the kernel takes no new connections.
	// A process that gets little processor time makes few checks.
	openAcceptPolls              = 10
	openAcceptMs    clock.Millis = 100
	// lastAcceptPolls is how often it checks afterwards. These checks have no limit in time, since a process that gets
	// little processor time accepts slowly.
	lastAcceptPolls = 10
)

// AwaitAccepted waits until no connection waits to be accepted, which Close would reset. If there are always some, the
// kernel drops new ones after a moment, so that their callers find the listener closed when they try again. It gives
// up when the context ends, or if connections still wait after many checks.
func (l *Listener) AwaitAccepted(ctx context.Context) {
	startMs, open := l.clock.Monotonic(), 0
	for last := 0; last < lastAcceptPolls; {
		current := l.current()
		if open >= openAcceptPolls || l.clock.Monotonic()-startMs >= openAcceptMs {
			dropNew(current)
			last++
		}
		open++
		if !l.kernel.MayHaveWaiting(current) || l.clock.Sleep(ctx, acceptPollMs) != nil {
			return
		}
	}
}

// dropNew makes the kernel drop new connections while one waits to be accepted.
func dropNew(socket net.Listener) {
	withDescriptor, ok := socket.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return
	}
	// After an error it takes new ones, as before.
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), 0) })
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.close()
	return l.socket.Close()
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }
