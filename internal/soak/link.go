// Package soak runs the real programs as separate processes, injects faults from outside, and
// checks the fleet's guarantees against what callers and upstreams observe. It is the only
// package that starts processes.
package soak

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// linkFault is a network fault of a link.
type linkFault string

// Faults of a link. The value is the name on the command line and in reports.
const (
	linkHealthy linkFault = ""
	linkDelayed linkFault = "delayed"
	// linkReset resets open and new connections.
	linkReset linkFault = "reset"
	// linkBlackhole forwards nothing and closes nothing.
	linkBlackhole linkFault = "silent"
	// linkNoAnswers forwards what the caller sends, but nothing in the other direction.
	linkNoAnswers linkFault = "no answers"
	// linkStale permanently drops the bytes of connections that are open when the fault begins.
	// New connections work.
	linkStale linkFault = "stale"
	// linkRefused resets open connections and refuses new ones, like a host whose process has
	// exited.
	linkRefused linkFault = "refused"
	// linkClosed closes open connections in order and refuses new ones, like a host whose process
	// has exited with nothing left to read.
	linkClosed linkFault = "closed"
)

const (
	linkDelay        = 60 * time.Millisecond
	linkPollInterval = 5 * time.Millisecond
	linkBuffer       = 16 << 10
	dialTimeout      = time.Second
)

// link is a loopback TCP proxy between two processes that can inject network faults.
type link struct {
	target func() string
	addr   string

	mu       sync.Mutex
	listener net.Listener
	fault    linkFault
	// faults are the times at which the link had a fault.
	faults []*interval
	conns  map[net.Conn]struct{}
	// stale are the members of conns whose bytes are dropped.
	stale map[net.Conn]struct{}
	// ownerOf returns the box that opened a connection. It may be nil.
	ownerOf func(inbound net.Conn) string
	// owners maps connections to the boxes that opened them, and separated holds the boxes whose connections are
	// reset.
	owners    map[net.Conn]string
	separated []string
	// stalled holds the boxes whose connections open and pass nothing on.
	stalled []string
	// unforwarded holds the addresses of connections that the link reset as they opened, or whose bytes it drops.
	unforwarded map[string]struct{}
	// opened maps the addresses of inbound connections to the times at which they were accepted.
	opened map[string]time.Time
	// origins maps the local addresses of outbound connections to the origins of the inbound ones.
	origins map[string]origin
	// left maps them to the times at which the boxes closed the inbound connections.
	left map[string]time.Time
}

// origin tells which box opened a connection, and when the link accepted it and began to forward its data.
type origin struct {
	box                  string
	accepted, forwarding time.Time
	used                 bool
}

// nextRequest returns the origin of a request that arrives at the target from an address: the box that sent it, or "",
// and the earliest time at which it can have done so. The first request of a connection may have waited for the link.
func (l *link) nextRequest(address string, arrived time.Time) (box string, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, known := l.origins[address]
	if !known {
		return "", arrived
	}
	first := !o.used
	o.used = true
	l.origins[address] = o
	if first && arrived.Sub(o.forwarding) <= timingSlack {
		return o.box, o.accepted
	}
	return o.box, arrived
}

// leftBefore reports whether a box had closed the connection that comes to the target from an address, so that nobody
// reads a response. Boxes don't close one direction alone.
func (l *link) leftBefore(address string, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	left, known := l.left[address]
	return known && left.Before(at)
}

// recordLeft records that a box closed its connection, unless the link did.
func (l *link) recordLeft(outbound net.Conn, err error) {
	if errors.Is(err, net.ErrClosed) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left[outbound.LocalAddr().String()] = time.Now()
}

// separate resets the open and new connections of some boxes, until it is called again.
func (l *link) separate(boxes []string) {
	l.mu.Lock()
	l.separated = boxes
	conns := []net.Conn{}
	for c, owner := range l.owners {
		if slices.Contains(boxes, owner) {
			conns = append(conns, c)
		}
	}
	l.mu.Unlock()
	for _, c := range conns {
		reset(c)
	}
}

// stall holds back the data of some boxes, until it is called again.
func (l *link) stall(boxes []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled = boxes
}

// isStalled reports whether the data of a box is held back.
func (l *link) isStalled(owner string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.stalled, owner)
}

// admit records the box that opened a connection, and reports whether the box is not separated.
func (l *link) admit(inbound net.Conn) bool {
	if l.ownerOf == nil {
		return true
	}
	owner := l.ownerOf(inbound)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owners[inbound] = owner
	return !slices.Contains(l.separated, owner)
}

// newLink listens on a free port of an IP address and forwards connections to a target, which
// may change. While the link refuses connections, another listener on that address may take the
// port, so the address must not be shared between runs.
func newLink(ip string, target func() string, options ...linkOption) (*link, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	l := &link{
		listener: listener, addr: listener.Addr().String(), target: target,
		conns: map[net.Conn]struct{}{}, stale: map[net.Conn]struct{}{}, owners: map[net.Conn]string{},
		origins: map[string]origin{}, unforwarded: map[string]struct{}{}, opened: map[string]time.Time{},
		left: map[string]time.Time{},
	}
	for _, option := range options {
		option(l)
	}
	go l.acceptLoop(listener)
	return l, nil
}

// linkOption configures a link.
type linkOption func(l *link)

// withOwners makes a link know which box opened each connection.
func withOwners(ownerOf func(inbound net.Conn) string) linkOption {
	return func(l *link) { l.ownerOf = ownerOf }
}

func (l *link) address() string { return l.addr }

// reopenListener reopens the listener that linkRefused closed. If another socket holds the port
// at that moment, the listener stays closed until the link leaves linkRefused again.
func (l *link) reopenListener() {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", l.addr)
	if err != nil {
		return
	}
	l.listener = listener
	go l.acceptLoop(listener)
}

func (l *link) set(fault linkFault) {
	l.mu.Lock()
	switch {
	case fault.refuses() && !l.fault.refuses():
		closeListener(l.listener)
	case !fault.refuses() && l.fault.refuses():
		l.reopenListener()
	}
	l.fault = fault
	l.recordFault(fault != linkHealthy)
	conns := l.conns
	if fault == linkStale {
		maps.Copy(l.stale, conns)
		for c := range conns {
			l.unforwarded[c.RemoteAddr().String()] = struct{}{}
		}
	}
	if fault == linkReset || fault.refuses() {
		l.conns = map[net.Conn]struct{}{}
	} else {
		conns = nil
	}
	l.mu.Unlock()
	for c := range conns {
		if fault == linkClosed {
			closeInOrder(c)
			continue
		}
		reset(c)
	}
}

// refuses reports whether new connections are refused.
func (f linkFault) refuses() bool { return f == linkRefused || f == linkClosed }

func (l *link) currentFault() linkFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

// recordFault records whether the link has a fault from now on. The caller holds the lock.
func (l *link) recordFault(faulty bool) {
	last := len(l.faults) - 1
	open := last >= 0 && l.faults[last].to.IsZero()
	switch now := time.Now(); {
	case faulty && !open:
		l.faults = append(l.faults, &interval{from: now})
	case !faulty && open:
		l.faults[last].to = now
	}
}

// disturbed reports whether the link had a fault at any time in an interval.
func (l *link) disturbed(from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !disturbances{allBoxes: l.faults}.undisturbed(allBoxes, from, to)
}

// interfered reports whether the link, instead of its target, may have closed a connection from an address in an
// interval.
func (l *link) interfered(address string, from, to time.Time) bool {
	return !l.forwarded(address) || l.disturbed(from, to)
}

// forwarded reports whether the link passed on a connection from an address, or none came from there. One whose target
// can't be connected to is reset although its client may have sent a request.
func (l *link) forwarded(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, unforwarded := l.unforwarded[address]
	return !unforwarded
}

// openedBy reports whether the newest connection from an address was open at a time.
func (l *link) openedBy(address string, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	opened, known := l.opened[address]
	return known && opened.Before(at)
}

// refuse resets a connection that just opened.
func (l *link) refuse(inbound net.Conn) {
	l.mu.Lock()
	l.unforwarded[inbound.RemoteAddr().String()] = struct{}{}
	l.mu.Unlock()
	reset(inbound)
}

// closeListener closes a listener also for a process that is being started, which shares it until it executes its
// program. The kernel would accept connections until then.
func closeListener(listener net.Listener) {
	if tcp, ok := listener.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			// The errors are ignored because the listener is closed in any case.
			_ = raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
		}
	}
	_ = listener.Close()
}

// closeInOrder closes a connection in order, also for a process that is being started.
func closeInOrder(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.Close()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// If linger can't be set, the following close sends a FIN instead of a reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (l *link) acceptLoop(listener net.Listener) {
	for {
		inbound, err := listener.Accept()
		if err != nil {
			return
		}
		go l.serve(inbound)
	}
}

func (l *link) serve(inbound net.Conn) {
	defer l.forget(inbound)
	accepted := time.Now()
	if currentFault := l.currentFault(); currentFault == linkReset || currentFault.refuses() || !l.admit(inbound) {
		l.refuse(inbound)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	outbound, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.target())
	if err != nil {
		l.refuse(inbound)
		return
	}
	l.mu.Lock()
	l.conns[inbound], l.conns[outbound] = struct{}{}, struct{}{}
	l.opened[inbound.RemoteAddr().String()] = accepted
	owner := l.owners[inbound]
	delete(l.left, outbound.LocalAddr().String())
	l.origins[outbound.LocalAddr().String()] = origin{box: owner, accepted: accepted, forwarding: time.Now()}
	l.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { l.copyDirection(inbound, outbound, owner, true) })
	directions.Go(func() { l.copyDirection(outbound, inbound, owner, false) })
	directions.Wait()
	l.forget(outbound)
}

// forget removes a connection that has ended.
func (l *link) forget(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	delete(l.stale, c)
	delete(l.owners, c)
	delete(l.origins, c.LocalAddr().String())
}

// copyDirection forwards the bytes of one direction. A fault may hold bytes back; they are
// forwarded when it ends.
func (l *link) copyDirection(from, to net.Conn, owner string, forward bool) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil && forward {
			l.recordLeft(to, err)
		}
		l.applyFault(owner, forward)
		if n > 0 && !l.isStale(from) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				l.abort(from)
				return
			}
		}
		if err != nil {
			l.closeDirection(to, err, l.isStale(from))
			return
		}
	}
}

func (l *link) isStale(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, stale := l.stale[c]
	return stale
}

// applyFault delays or blocks a direction of a box's connection as the current fault requires.
func (l *link) applyFault(owner string, forward bool) {
	for {
		switch fault := l.currentFault(); {
		case fault == linkBlackhole, fault == linkNoAnswers && !forward, l.isStalled(owner):
			time.Sleep(linkPollInterval)
		case fault == linkDelayed:
			time.Sleep(linkDelay)
			return
		default:
			return
		}
	}
}

// abort resets a connection whose other side is gone. A closed link ends it in order: the other side may be gone
// because the link closed it.
func (l *link) abort(c net.Conn) {
	if l.currentFault() == linkClosed {
		closeInOrder(c)
		return
	}
	reset(c)
}

// closeDirection forwards the end of a direction in kind: a half-close or a reset. After bytes that were dropped no end
// in order can arrive.
func (l *link) closeDirection(to net.Conn, err error, dropped bool) {
	tcp, ok := to.(*net.TCPConn)
	if ok && !dropped && err == io.EOF { //nolint:errorlint // Read returns it bare.
		// The other direction stays open.
		_ = tcp.CloseWrite()
		return
	}
	l.abort(to)
}

func (l *link) close() {
	l.set(linkReset)
	closeListener(l.listener)
}
