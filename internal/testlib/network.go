// Package testlib provides helpers shared by the tests of several packages: an in-memory network with fault injection,
// TLS certificates, and a fixed seed for property-based tests.
package testlib

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Errors of binds, dials and reads.
var (
	errTaken       = &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	errRefused     = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	errReset       = &net.OpError{Op: "read", Err: syscall.ECONNRESET}
	errUnreachable = &net.OpError{Op: "dial", Err: syscall.EHOSTUNREACH}
)

// Network is an in-memory network. Its operations block durably in the sense of testing/synctest, so that tests can run
// on a fake clock.
type Network struct {
	mu            sync.Mutex
	port          int
	listeners     map[string]*listener
	packets       map[string]*packetConn
	hostByAddress map[string]string
	partitioned   func(from, to string) bool
	dialDelay     func(from, to string) time.Duration
	packetDelay   func(from, to string) time.Duration
	dropPacket    func() bool
	blackholed    func(from, to string) bool
	// stalled drops the data of connections like blackholed, but lets them open.
	stalled   func(from, to string) bool
	refused   func(from, to string) bool
	resetOpen func(from, to string) bool
	conns     map[*conn]struct{}
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		port: firstPort, listeners: map[string]*listener{}, packets: map[string]*packetConn{},
		hostByAddress: map[string]string{}, conns: map[*conn]struct{}{},
		dialDelay:   func(string, string) time.Duration { return 0 },
		packetDelay: func(string, string) time.Duration { return 0 },
		blackholed:  func(string, string) bool { return false },
		stalled:     func(string, string) bool { return false },
		refused:     func(string, string) bool { return false },
		resetOpen:   func(string, string) bool { return false },
		partitioned: func(string, string) bool { return false }, dropPacket: func() bool { return false },
	}
}

const firstPort = 20_000

// SetPartition partitions the network: for each direction in which the function returns true, new connections fail and
// datagrams are dropped. Existing connections are closed if either of their directions is cut.
func (n *Network) SetPartition(partitioned func(from, to string) bool) {
	n.mu.Lock()
	n.partitioned = partitioned
	n.mu.Unlock()
	n.sever(partitioned)
}

// sever closes the connections of which either direction is cut.
func (n *Network) sever(cut func(from, to string) bool) {
	n.mu.Lock()
	severed := []*conn{}
	for c := range n.conns {
		if cut(c.from, c.to) || cut(c.to, c.from) {
			severed = append(severed, c)
		}
	}
	n.mu.Unlock()
	for _, c := range severed {
		_ = c.Close()
	}
}

// SetReset resets connections in the directions for which the function returns true: existing ones, and new ones as
// soon as they are open.
func (n *Network) SetReset(resetOpen func(from, to string) bool) {
	n.mu.Lock()
	n.resetOpen = resetOpen
	n.mu.Unlock()
	n.sever(resetOpen)
}

// SilenceOpen makes the open connections between two hosts for which the function returns true go silent for good:
// writes appear to succeed, and nothing arrives. New connections work.
func (n *Network) SilenceOpen(silenced func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if silenced(c.from, c.to) {
			c.silent.Store(true)
			c.peer.silent.Store(true)
		}
	}
}

// SetBlackhole silently drops traffic in the directions for which the function returns true: writes appear to succeed,
// and datagrams are dropped. Connections don't open if either direction is dropped.
func (n *Network) SetBlackhole(blackholed func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blackholed = blackholed
}

// SetStall silently drops the data of connections in the directions for which the function returns true, as if a proxy
// between the hosts accepted connections and passed nothing on. Connections open, and datagrams arrive.
func (n *Network) SetStall(stalled func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stalled = stalled
}

// SetRefusal refuses new connections in the directions for which the function returns true. Existing connections
// continue to work.
func (n *Network) SetRefusal(refused func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused = refused
}

func (n *Network) isBlackholed(from, to string) bool {
	n.mu.Lock()
	blackholed := n.blackholed
	n.mu.Unlock()
	return blackholed(from, to)
}

// drops reports whether the data of connections is dropped.
func (n *Network) drops(from, to string) bool {
	n.mu.Lock()
	stalled := n.stalled
	n.mu.Unlock()
	return stalled(from, to) || n.isBlackholed(from, to)
}

// SetDialDelay delays the opening of connections from one host to another. The delay ignores the caller's deadline, as
// if the dialing host were paused.
func (n *Network) SetDialDelay(delay func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dialDelay = delay
}

// SetPacketDelay delays the delivery of datagrams from one host to another. Datagrams keep their order as long as the
// delay doesn't change.
func (n *Network) SetPacketDelay(packetDelay func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.packetDelay = packetDelay
}

// SetPacketLoss sets a function that is called for each datagram; the datagram is dropped if the function returns true.
func (n *Network) SetPacketLoss(dropPacket func() bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropPacket = dropPacket
}

// Host is one host of the network.
type Host struct {
	network *Network
	name    string
}

// Host returns the host with the given name.
func (n *Network) Host(name string) Host { return Host{network: n, name: name} }

func (n *Network) bind(address, owner string) string {
	if host, found := strings.CutSuffix(address, ":0"); found {
		n.port++
		address = fmt.Sprintf("%s:%d", host, n.port)
	}
	n.hostByAddress[address] = owner
	return address
}

// Listen opens a listener on the address. Port 0 assigns a new port.
func (h Host) Listen(_, address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errTaken
	}
	address = n.bind(address, h.name)
	l := &listener{network: n, address: addr(address), accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial opens a connection to the address.
func (h Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	l, owner, partitioned, dialDelay := n.listeners[address], n.hostByAddress[address], n.partitioned, n.dialDelay
	refused, resetOpen := n.refused(h.name, owner), n.resetOpen(h.name, owner)
	n.mu.Unlock()
	if wait := dialDelay(h.name, owner); wait > 0 {
		time.Sleep(wait)
	}
	if n.isBlackholed(h.name, owner) || n.isBlackholed(owner, h.name) {
		return nil, waitDialTimeout(ctx)
	}
	if partitioned(h.name, owner) {
		return nil, errUnreachable
	}
	if l == nil || refused {
		return nil, errRefused
	}
	near, far := net.Pipe()
	local, reset := addr("127.0.0.1:1"), &atomic.Bool{}
	wrapped := &conn{Conn: near, network: n, from: h.name, to: owner, local: local, remote: l.address, reset: reset}
	accepted := &conn{Conn: far, network: n, from: owner, to: h.name, local: l.address, remote: local, reset: reset}
	wrapped.peer, accepted.peer = accepted, wrapped
	n.mu.Lock()
	n.conns[wrapped] = struct{}{}
	n.mu.Unlock()
	select {
	case l.accept <- accepted:
		if resetOpen {
			_ = wrapped.SetLinger(0)
			_ = wrapped.Conn.Close()
		}
		return wrapped, nil
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// unansweredDialTimeout is the time after which a dial fails that gets no answer.
const unansweredDialTimeout = 2 * time.Second

// waitDialTimeout blocks until an unanswered dial times out.
func waitDialTimeout(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(unansweredDialTimeout):
		return os.ErrDeadlineExceeded
	}
}

// ListenPackets opens a datagram socket on the address. Port 0 assigns a new port.
func (h Host) ListenPackets(_, address string) (net.PacketConn, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.packets[address] != nil {
		return nil, errTaken
	}
	address = n.bind(address, h.name)
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
	// reset is shared by both ends. It is set once either end resets the connection.
	reset *atomic.Bool
	// peer is the other end, and unread how many bytes of it wait to be read.
	peer   *conn
	unread atomic.Int64
	// silent is set once what is written is dropped.
	silent atomic.Bool
}

// Buffered returns how many bytes wait to be read.
func (c *conn) Buffered() int { return int(c.unread.Load()) }

// SetLinger makes Close reset the connection if seconds is 0, like the method of net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	c.reset.Store(seconds == 0)
	return nil
}

func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.unread.Add(-int64(n))
	if errors.Is(err, io.EOF) && c.reset.Load() {
		return n, errReset
	}
	return n, err
}

func (c *conn) LocalAddr() net.Addr { return c.local }

func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) Write(data []byte) (int, error) {
	if c.silent.Load() || c.network.drops(c.from, c.to) {
		return len(data), nil
	}
	c.peer.unread.Add(int64(len(data)))
	n, err := c.Conn.Write(data)
	c.peer.unread.Add(-int64(len(data) - n))
	return n, err
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
	dropped := target == nil || n.partitioned(p.host, target.host) || n.blackholed(p.host, target.host) || n.dropPacket()
	packetDelay := n.packetDelay
	n.mu.Unlock()
	if dropped {
		return len(data), nil
	}
	sent := packet{from: p.address, data: append([]byte(nil), data...)}
	if wait := packetDelay(p.host, target.host); wait > 0 {
		time.AfterFunc(wait, func() { target.enqueue(sent) })
		return len(data), nil
	}
	target.enqueue(sent)
	return len(data), nil
}

// enqueue delivers a datagram to the inbox, or drops it if the inbox is full.
func (p *packetConn) enqueue(sent packet) {
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
