// Package testlib holds what several tests share: a network in memory, whose
// hosts can be cut off from each other, and shared assertions.
package testlib

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Errors of the network.
var (
	errRefused = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	errCut     = &net.OpError{Op: "dial", Err: syscall.EHOSTUNREACH}
)

// Network is a network in memory. Its connections block in ways that
// testing/synctest understands, so that tests run on a fake clock.
type Network struct {
	mu        sync.Mutex
	port      int
	listeners map[string]*listener
	packets   map[string]*packetConn
	owners    map[string]string
	cut       func(from, to string) bool
	delay     func(from, to string) time.Duration
	lag       func(from, to string) time.Duration
	lose      func() bool
	silent    func(from, to string) bool
	conns     map[*conn]struct{}
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		port: firstPort, listeners: map[string]*listener{}, packets: map[string]*packetConn{},
		owners: map[string]string{}, conns: map[*conn]struct{}{},
		delay:  func(string, string) time.Duration { return 0 },
		lag:    func(string, string) time.Duration { return 0 },
		silent: func(string, string) bool { return false },
		cut:    func(string, string) bool { return false }, lose: func() bool { return false },
	}
}

const firstPort = 20_000

// SetCut cuts hosts off from each other: connections between them break, new
// ones fail and datagrams are lost.
func (n *Network) SetCut(cut func(from, to string) bool) {
	n.mu.Lock()
	n.cut = cut
	broken := []*conn{}
	for c := range n.conns {
		if cut(c.from, c.to) || cut(c.to, c.from) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// SetSilent loses without a word what one host sends to another: writes seem to work,
// connections don't open, datagrams are lost.
func (n *Network) SetSilent(silent func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = silent
}

func (n *Network) isSilent(from, to string) bool {
	n.mu.Lock()
	silent := n.silent
	n.mu.Unlock()
	return silent(from, to)
}

// SetDialDelay lets connections from one host to another open only after a span,
// whatever the caller's patience, as a host that is paused meanwhile would see it.
func (n *Network) SetDialDelay(delay func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// SetPacketDelay lets datagrams from one host to another arrive only after a span, in the
// order in which they were sent as long as the span stays.
func (n *Network) SetPacketDelay(lag func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lag = lag
}

// SetLoss loses datagrams for which the function returns true.
func (n *Network) SetLoss(lose func() bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lose = lose
}

// Host is one machine on the network.
type Host struct {
	network *Network
	name    string
}

// Host returns the machine with a name.
func (n *Network) Host(name string) Host { return Host{network: n, name: name} }

func (n *Network) claim(address, owner string) string {
	if address == "127.0.0.1:0" {
		n.port++
		address = fmt.Sprintf("127.0.0.1:%d", n.port)
	}
	n.owners[address] = owner
	return address
}

// Listen opens a listener.
func (h Host) Listen(_, address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	address = n.claim(address, h.name)
	l := &listener{network: n, address: addr(address), accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial opens a connection.
func (h Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	l, owner, cut, delay := n.listeners[address], n.owners[address], n.cut, n.delay
	n.mu.Unlock()
	if span := delay(h.name, owner); span > 0 {
		time.Sleep(span)
	}
	if n.isSilent(h.name, owner) || n.isSilent(owner, h.name) {
		return nil, hang(ctx)
	}
	if cut(h.name, owner) {
		return nil, errCut
	}
	if l == nil {
		return nil, errRefused
	}
	near, far := net.Pipe()
	local := addr("127.0.0.1:1")
	wrapped := &conn{Conn: near, network: n, from: h.name, to: owner, local: local, remote: l.address}
	n.mu.Lock()
	n.conns[wrapped] = struct{}{}
	n.mu.Unlock()
	select {
	case l.accept <- &conn{Conn: far, network: n, from: owner, to: h.name, local: l.address, remote: local}:
		return wrapped, nil
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// hangs is how long a connection tries to open that nobody answers.
const hangs = 2 * time.Second

// hang waits until nobody can have answered.
func hang(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(hangs):
		return os.ErrDeadlineExceeded
	}
}

// ListenPackets opens a socket for datagrams.
func (h Host) ListenPackets(_, address string) (net.PacketConn, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	address = n.claim(address, h.name)
	p := &packetConn{
		network: n, host: h.name, address: addr(address),
		inbox: make(chan packet, inboxPackets), closed: make(chan struct{}),
	}
	n.packets[address] = p
	return p, nil
}

const inboxPackets = 4096

type addr string

func (addr) Network() string { return "memory" }

func (a addr) String() string { return string(a) }

type listener struct {
	network *Network
	address addr
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, string(l.address))
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }

type conn struct {
	net.Conn
	network       *Network
	from, to      string
	local, remote addr
}

func (c *conn) LocalAddr() net.Addr { return c.local }

func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) Write(data []byte) (int, error) {
	if c.network.isSilent(c.from, c.to) {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

type packet struct {
	from addr
	data []byte
}

type packetConn struct {
	network *Network
	host    string
	address addr
	inbox   chan packet
	closed  chan struct{}
	once    sync.Once
}

func (p *packetConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case got := <-p.inbox:
		return copy(buffer, got.data), got.from, nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

func (p *packetConn) WriteTo(data []byte, to net.Addr) (int, error) {
	n := p.network
	n.mu.Lock()
	target := n.packets[to.String()]
	lost := target == nil || n.cut(p.host, target.host) || n.silent(p.host, target.host) || n.lose()
	lag := n.lag
	n.mu.Unlock()
	if lost {
		return len(data), nil
	}
	sent := packet{from: p.address, data: append([]byte(nil), data...)}
	if span := lag(p.host, target.host); span > 0 {
		time.AfterFunc(span, func() { target.put(sent) })
		return len(data), nil
	}
	target.put(sent)
	return len(data), nil
}

// put hands a datagram over, or loses it when too many wait.
func (p *packetConn) put(sent packet) {
	select {
	case p.inbox <- sent:
	default:
	}
}

func (p *packetConn) Close() error {
	p.once.Do(func() {
		close(p.closed)
		p.network.mu.Lock()
		defer p.network.mu.Unlock()
		delete(p.network.packets, string(p.address))
	})
	return nil
}

func (p *packetConn) LocalAddr() net.Addr { return p.address }

func (*packetConn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

func (*packetConn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

func (*packetConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
