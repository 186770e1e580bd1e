package server

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/socket"
)

// Backoff of failed accepts.
const (
	minAcceptBackoffMs clock.Millis = 5
	maxAcceptBackoffMs clock.Millis = 1000
	// maxExhaustedBackoffMs is the longest one while descriptors or memory are exhausted, which any connection that ends
	// may change.
	maxExhaustedBackoffMs clock.Millis = 20
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
	// makeRoom is set by OnExhausted, or does nothing.
	makeRoom func()
	// failing is set from a failed accept until the next one that does not fail, and accepted counts those.
	failing  atomic.Bool
	accepted atomic.Int64
	// nearOnly is set once connections may inherit nearHops from the socket.
	nearOnly atomic.Bool

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
	l.makeRoom = func() {}
	return l
}

// OnExhausted sets a function that is called when a connection can't be accepted because descriptors or memory are
// exhausted. It must be called before Accept.
func (l *Listener) OnExhausted(makeRoom func()) { l.makeRoom = makeRoom }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for backoffMs := minAcceptBackoffMs; ; backoffMs = min(2*backoffMs, maxAcceptBackoffMs) {
		socket := l.current()
		conn, err := socket.Accept()
		l.failing.Store(err != nil)
		if err == nil {
			l.accepted.Add(1)
			if l.nearOnly.Load() {
				setMinHops(conn, anyHops)
			}
			return conn, nil
		}
		if l.closed.Err() != nil {
			return nil, net.ErrClosed
		}
		if l.current() != socket {
			continue
		}
		l.onError(err)
		err = l.recoverFrom(socket, err, backoffMs)
		if l.closed.Err() != nil {
			return nil, net.ErrClosed
		}
		if err != nil {
			return nil, err
		}
	}
}

// recoverFrom replaces a socket that is dead after a failed accept, or backs off.
func (l *Listener) recoverFrom(socket net.Listener, failure error, backoffMs clock.Millis) error {
	switch {
	case isDead(failure):
		return l.replace(socket, failure)
	case isExhausted(failure):
		l.makeRoomIn(socket)
		return l.clock.Sleep(l.closed, min(backoffMs, maxExhaustedBackoffMs))
	default:
		return l.clock.Sleep(l.closed, backoffMs)
	}
}

// makeRoomIn makes room unless no connection waits at a socket. An accept needs a descriptor also if none does.
func (l *Listener) makeRoomIn(inner net.Listener) {
	if _, ok := inner.(syscall.Conn); ok {
		if waiting, known := l.kernel.HasWaiting(inner); known && !waiting {
			return
		}
	}
	l.makeRoom()
}

// isDead reports whether a socket can't accept any more after an error.
func isDead(err error) bool {
	for _, dead := range []error{errUnopened, net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		if errors.Is(err, dead) {
			return true
		}
	}
	return false
}

// isExhausted reports whether a socket can accept again once connections have ended.
func isExhausted(err error) bool {
	for _, exhausted := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, exhausted) {
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

// replace closes a socket that is dead because of an error, and opens another one unless there is one already.
func (l *Listener) replace(dead net.Listener, because error) error {
	// It is dead, whatever the error.
	_ = dead.Close()
	missing := NewUnopened(l.address.String(), because)
	if !l.exchange(dead, missing) {
		return nil
	}
	socket, err := l.reopen(l.closed)
	switch {
	case l.current() != missing:
		// Whatever was opened in vain is closed without effect.
		if err == nil {
			_ = socket.Close()
		}
		return nil
	case err != nil:
		return err
	}
	if !l.exchange(missing, socket) || l.closed.Err() != nil {
		return socket.Close()
	}
	return nil
}

// exchange replaces a socket by another one, and reports whether the listener had the former.
func (l *Listener) exchange(former, next net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket != former {
		return false
	}
	l.socket = next
	return true
}

// Switch makes the listener go on with another socket, and closes the former one.
func (l *Listener) Switch(next net.Listener) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed.Err() != nil {
		return errors.Join(net.ErrClosed, next.Close())
	}
	// The former one may be dead.
	_ = l.socket.Close()
	l.socket = next
	return nil
}

// IsOpen reports whether the listener has a socket.
func (l *Listener) IsOpen() bool { return !IsUnopened(l.current()) }

const (
	// acceptPollMs is how often a listener that closes checks whether connections wait to be accepted.
	acceptPollMs clock.Millis = 5
	// openingMs is the time before the first check, longer than most round trips: connections that are open for their
	// callers wait to be accepted by then. Callers who connect meanwhile try again after a second.
	openingMs clock.Millis = 50
	// openAcceptPolls is how often, and openAcceptMs for how long it checks before the kernel is made to drop new
	// connections while one waits. A process that gets little processor time makes few checks.
	openAcceptPolls              = 10
	openAcceptMs    clock.Millis = 100
	// lastAcceptPolls is how often it checks afterwards. These checks have no limit in time, since a process that gets
	// little processor time accepts slowly.
	lastAcceptPolls = 10
	// stuckMs is for how long accepts may fail. It covers the longest backoff of an accept.
	stuckMs = maxAcceptBackoffMs
)

// AwaitAccepted makes the kernel drop new connections, and waits until none waits to be accepted, which Close would
// reset. It also waits for those that are open on their callers' side only. Callers whose connections are dropped find
// the listener closed when they try again.
//
// If there are always some, from callers with nearHops or where the kernel sets no limit of hops, it drops new ones
// while one waits. It gives up when the context ends, if connections still wait after many checks at which some could
// be accepted, and while accepts fail: until the listener is closed, the next process waits for the address.
func (l *Listener) AwaitAccepted(ctx context.Context) {
	if IsUnopened(l.current()) {
		return
	}
	l.nearOnly.Store(true)
	setMinHops(l.current(), nearHops)
	startMs, isStuck := l.clock.Monotonic(), l.stuckAfter()
	if l.clock.Sleep(ctx, openingMs) != nil {
		return
	}
	open := 1
	for last := 0; last < lastAcceptPolls && !isStuck(); {
		if open >= openAcceptPolls || l.clock.Monotonic()-startMs >= openAcceptMs {
			control(l.current(), func(fd int) {
				// After an error it takes new ones, as before.
				_ = unix.Listen(fd, 0)
			})
			if !l.failing.Load() {
				last++
			}
		}
		open++
		waiting, known := l.kernel.HasWaiting(l.current())
		if known && !waiting || l.clock.Sleep(ctx, acceptPollMs) != nil {
			return
		}
	}
}

// stuckAfter returns a function that is called once a poll, and reports whether accepts have failed for stuckMs and
// none has succeeded meanwhile.
func (l *Listener) stuckAfter() func() bool {
	accepted, failedMs := l.accepted.Load(), clock.Millis(0)
	return func() bool {
		if now := l.accepted.Load(); now != accepted || !l.failing.Load() {
			accepted, failedMs = now, 0
			return false
		}
		failedMs += acceptPollMs
		return failedMs > stuckMs
	}
}

// Values of IP_MINTTL and IPV6_MINHOPCOUNT, which any user may set, while some kernels allow a filter of packets to
// root only. The kernel drops packets with fewer hops left, but those that complete the opening of a connection only
// once the connection is there.
const (
	anyHops = 0
	// nearHops is what only packets from the same link can have left, if their sender sets as much. Few do.
	nearHops = 255
)

// setMinHops makes the kernel drop what arrives at a socket with fewer hops left. A connection inherits it.
func setMinHops(socket any, hops int) {
	control(socket, func(fd int) {
		// One of them fails if the socket is not of that family. After an error the kernel drops nothing, as before.
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_MINTTL, hops)
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_IPV6, unix.IPV6_MINHOPCOUNT, hops)
	})
}

// control calls a function with the descriptor of a socket, unless it has none.
func control(socket any, call func(fd int)) {
	withDescriptor, ok := socket.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return
	}
	// A socket that is closed has no descriptor.
	_ = raw.Control(func(fd uintptr) { call(int(fd)) })
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
