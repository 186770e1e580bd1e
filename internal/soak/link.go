// Package soak runs the real programs as separate processes, injects faults from
// outside them, and checks the fleet's promises from what callers and upstreams
// see. It is the only package that starts processes.
package soak

import (
	"context"
	"io"
	"maps"
	"net"
	"sync"
	"time"
)

// linkFault is a way for a link to misbehave.
type linkFault string

// Faults of a link.
const (
	linkWell    linkFault = ""
	linkDelayed linkFault = "delayed"
	// linkReset resets what is open and what comes.
	linkReset linkFault = "reset"
	// linkSilent passes nothing on and closes nothing.
	linkSilent linkFault = "silent"
	// linkNoAnswers passes on what the caller sends, and nothing back.
	linkNoAnswers linkFault = "no answers"
	// linkStale loses for good what the connections carry that are open when it begins.
	// New ones work.
	linkStale linkFault = "stale"
	// linkRefused resets what is open and refuses what comes, as a host does whose process has
	// ended.
	linkRefused linkFault = "refused"
)

const (
	linkDelay   = 60 * time.Millisecond
	linkLook    = 5 * time.Millisecond
	linkBuffer  = 16 << 10
	dialTimeout = time.Second
)

// link is a loopback proxy between two processes.
type link struct {
	target func() string
	port   string

	mu       sync.Mutex
	listener net.Listener
	fault    linkFault
	conns    map[net.Conn]struct{}
	// stale are those of them whose bytes are lost.
	stale map[net.Conn]struct{}
}

// newLink listens on a free port of an IP number and passes connections on to a target, which
// may change. While connections are refused something else on that number may take the port, so
// it belongs to one run.
func newLink(ip string, target func() string) (*link, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	l := &link{
		listener: listener, port: listener.Addr().String(), target: target,
		conns: map[net.Conn]struct{}{}, stale: map[net.Conn]struct{}{},
	}
	go l.run(listener)
	return l, nil
}

func (l *link) address() string { return l.port }

// listenAgain opens the listener that linkRefused had closed. Something else may hold the port
// for an instant; then it is tried at the next change.
func (l *link) listenAgain() {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", l.port)
	if err != nil {
		return
	}
	l.listener = listener
	go l.run(listener)
}

func (l *link) set(fault linkFault) {
	l.mu.Lock()
	switch {
	case fault == linkRefused && l.fault != linkRefused:
		_ = l.listener.Close()
	case fault != linkRefused && l.fault == linkRefused:
		l.listenAgain()
	}
	l.fault = fault
	conns := l.conns
	if fault == linkStale {
		maps.Copy(l.stale, conns)
	}
	if fault == linkReset || fault == linkRefused {
		l.conns = map[net.Conn]struct{}{}
	} else {
		conns = nil
	}
	l.mu.Unlock()
	for c := range conns {
		reset(c)
	}
}

func (l *link) now() linkFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// What follows is the close; a linger that can't be set only makes it mild.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (l *link) run(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go l.serve(near)
	}
}

func (l *link) serve(near net.Conn) {
	if now := l.now(); now == linkReset || now == linkRefused {
		reset(near)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.target())
	if err != nil {
		reset(near)
		return
	}
	l.mu.Lock()
	l.conns[near], l.conns[far] = struct{}{}, struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pass(near, far, true) })
	both.Go(func() { l.pass(far, near, false) })
	both.Wait()
	l.mu.Lock()
	for _, c := range []net.Conn{near, far} {
		delete(l.conns, c)
		delete(l.stale, c)
	}
	l.mu.Unlock()
}

// pass copies one direction. A fault holds bytes up; when it ends, they go on.
func (l *link) pass(from, to net.Conn, forward bool) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		l.hold(forward)
		if n > 0 && !l.isStale(from) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			l.end(to, err)
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

// hold waits while the direction is held up.
func (l *link) hold(forward bool) {
	for {
		switch fault := l.now(); {
		case fault == linkSilent, fault == linkNoAnswers && !forward:
			time.Sleep(linkLook)
		case fault == linkDelayed:
			time.Sleep(linkDelay)
			return
		default:
			return
		}
	}
}

// end passes on the end of a direction as it came: a close, or a reset.
func (l *link) end(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if ok && err == io.EOF { //nolint:errorlint // Read returns it bare.
		// The other direction goes on.
		_ = tcp.CloseWrite()
		return
	}
	reset(to)
}

func (l *link) close() {
	l.set(linkReset)
	_ = l.listener.Close()
}
