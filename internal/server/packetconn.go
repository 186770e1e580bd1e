package server

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"dooryard.example/dooryard/internal/clock"
)

// PacketConn is a UDP socket that survives errors: a socket that can't receive any more is opened anew. Other errors
// are returned, and the next receive may succeed.
type PacketConn struct {
	clock   clock.Clock
	reopen  func(ctx context.Context) (net.PacketConn, error)
	onError func(err error)
	onLost  func(err error)
	address net.Addr
	closed  context.Context
	close   context.CancelFunc
	// bound ends when the address is given up, also by Close.
	bound  context.Context
	unbind context.CancelFunc

	mu     sync.Mutex
	socket net.PacketConn
}

// NewPacketConn returns a connection on a socket. OnError is called with each error of a dead socket, and onLost if it
// can't be opened anew; receives return net.ErrClosed then.
func NewPacketConn(
	socket net.PacketConn, c clock.Clock, reopen func(ctx context.Context) (net.PacketConn, error),
	onError, onLost func(err error),
) *PacketConn {
	p := &PacketConn{
		clock: c, reopen: reopen, onError: onError, onLost: onLost, address: socket.LocalAddr(), socket: socket,
	}
	p.closed, p.close = context.WithCancel(context.Background())
	p.bound, p.unbind = context.WithCancel(p.closed)
	return p
}

// Move gives up the address for another process and goes on with another socket, which is not opened anew if it fails.
// It returns the former socket, which the caller closes; until then, receives may still use it. If there is no other
// socket, the connection is closed.
func (p *PacketConn) Move(open func() (net.PacketConn, error)) (former net.PacketConn, err error) {
	next, err := open()
	if err != nil {
		return nil, errors.Join(err, p.Close())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unbind()
	return p.switchLocked(p.closed, next)
}

// Switch goes on with another socket, and returns the former one, which the caller closes. It fails once the address is
// given up.
func (p *PacketConn) Switch(next net.PacketConn) (former net.PacketConn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.switchLocked(p.bound, next)
}

func (p *PacketConn) switchLocked(while context.Context, next net.PacketConn) (former net.PacketConn, err error) {
	if while.Err() != nil {
		return nil, errors.Join(net.ErrClosed, next.Close())
	}
	former = p.socket
	p.socket = next
	return former, nil
}

// IsOpen reports whether the connection has a socket.
func (p *PacketConn) IsOpen() bool { return !IsUnopened(p.current()) }

// ReadFrom implements net.PacketConn.
func (p *PacketConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	for backoffMs := minAcceptBackoffMs; ; backoffMs = min(2*backoffMs, maxAcceptBackoffMs) {
		socket := p.current()
		n, from, err := socket.ReadFrom(buffer)
		if err == nil {
			return n, from, nil
		}
		if p.closed.Err() != nil {
			return 0, nil, net.ErrClosed
		}
		if p.current() != socket {
			continue
		}
		if !isDead(err) {
			return n, from, err
		}
		p.onError(err)
		if !p.revive(socket, err, backoffMs) {
			return 0, nil, net.ErrClosed
		}
	}
}

// revive replaces a dead socket, and backs off. It reports whether the connection can be used.
func (p *PacketConn) revive(dead net.PacketConn, because error, backoffMs clock.Millis) bool {
	err := p.replace(dead, because)
	if err != nil && p.closed.Err() == nil {
		p.onLost(err)
	}
	return err == nil && p.clock.Sleep(p.closed, backoffMs) == nil
}

func (p *PacketConn) current() net.PacketConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.socket
}

// replace closes a socket that is dead because of an error, and opens another one unless there is one already.
func (p *PacketConn) replace(dead net.PacketConn, because error) error {
	// It is dead, whatever the error.
	_ = dead.Close()
	if given := p.bound.Err(); given != nil {
		if p.current() != dead {
			return nil
		}
		return given
	}
	missing := NewUnopened(p.address.String(), because)
	if !p.exchange(dead, missing) {
		return nil
	}
	socket, err := p.reopen(p.bound)
	switch {
	case p.current() != missing:
		// Whatever was opened in vain is closed without effect.
		if err == nil {
			_ = socket.Close()
		}
		return nil
	case err != nil:
		return err
	}
	if !p.exchange(missing, socket) || p.closed.Err() != nil {
		return socket.Close()
	}
	return nil
}

// exchange replaces a socket by another one, and reports whether the connection had the former.
func (p *PacketConn) exchange(former, next net.PacketConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.socket != former {
		return false
	}
	p.socket = next
	return true
}

// WriteTo implements net.PacketConn.
func (p *PacketConn) WriteTo(data []byte, to net.Addr) (int, error) {
	return p.current().WriteTo(data, to)
}

// Close implements net.PacketConn.
func (p *PacketConn) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close()
	return p.socket.Close()
}

// LocalAddr implements net.PacketConn.
func (p *PacketConn) LocalAddr() net.Addr { return p.address }

// SetDeadline implements net.PacketConn, for the current socket.
func (p *PacketConn) SetDeadline(at time.Time) error { return p.current().SetDeadline(at) }

// SetReadDeadline implements net.PacketConn, for the current socket.
func (p *PacketConn) SetReadDeadline(at time.Time) error { return p.current().SetReadDeadline(at) }

// SetWriteDeadline implements net.PacketConn, for the current socket.
func (p *PacketConn) SetWriteDeadline(at time.Time) error { return p.current().SetWriteDeadline(at) }
