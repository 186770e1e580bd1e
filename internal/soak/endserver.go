package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

const (
	// endServersHost is the last octet of the IP address of the servers.
	endServersHost = 249
	endPieces      = 8
	endAttempts    = 2
	// A server that has served for minLife may crash. The next one has its address less than replacedMs later, its entry
	// appears less than entryMs after that, and the entry before goes less than lapseMs after the crash.
	minLife    = 1500 * time.Millisecond
	replacedMs = 100
	entryMs    = 1000
	lapseMs    = 2000
	// A server reads the rest of a long body less than readOnMs after an early response.
	readOnMs = 300
	endGapMs = 800
	// A response that was whole for soundSpan when its server ended, and soundSpan before the caller's deadline and the
	// route's timeout, is to be delivered.
	soundSpan = time.Second
	shortMs   = 40
	longMs    = 250
	writeSpan = 10 * time.Second
	// receiveBytes is small enough that boxes can't write a long body at once.
	receiveBytes = 16 << 10
)

// endRun is a response that a server began.
type endRun struct {
	ending

	server string
	after  int
	// finished is when the last byte was written, or zero. life is the server.
	finished time.Time
	life     *endLife
}

// endServer is an address at which one server after the other responds in all ways.
type endServer struct {
	fleet         *fleet
	zone, address string

	mu      sync.Mutex
	current *endLife
}

// endLife is one incarnation of an endServer.
type endLife struct {
	of       *endServer
	id       string
	born     time.Time
	listener net.Listener

	mu    sync.Mutex
	conns map[*net.TCPConn]struct{}
	// ended is how the incarnation has ended, or empty, at endedAt.
	ended   endKind
	endedAt time.Time
}

func (f *fleet) addEndServers() error {
	for i := range f.settings.Servers {
		s := &endServer{fleet: f, zone: zoneName(i), address: net.JoinHostPort(f.ip(endServersHost), "0")}
		if err := s.begin(); err != nil {
			return err
		}
		s.writeEntry(s.current, false)
		f.endServers = append(f.endServers, s)
		f.closers = append(f.closers, func() { s.life().close(endCrashReset) })
	}
	return nil
}

func (s *endServer) life() *endLife {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// begin starts an incarnation at the address.
func (s *endServer) begin() error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return err
	}
	s.fleet.mu.Lock()
	s.fleet.incarnations++
	id := fmt.Sprintf("server-%d-%d", s.fleet.settings.Seed, s.fleet.incarnations)
	s.fleet.mu.Unlock()
	l := &endLife{of: s, id: id, born: time.Now(), listener: listener, conns: map[*net.TCPConn]struct{}{}}
	s.mu.Lock()
	s.current, s.address = l, listener.Addr().String()
	s.mu.Unlock()
	go l.accept()
	return nil
}

func (s *endServer) writeEntry(l *endLife, draining bool) {
	s.fleet.store.PutServer(standin.Entry{
		ID: l.id, Service: standin.Service, Address: s.address, Zone: s.zone, BornMs: l.born.UnixMilli(), Version: "v1",
		Draining: draining,
	})
}

// end ends the current incarnation and replaces it, unless it has ended.
func (s *endServer) end(l *endLife, kind endKind) {
	if !l.close(kind) {
		return
	}
	draw := func(n int) time.Duration { return time.Duration(s.fleet.draw(n)) * time.Millisecond }
	s.fleet.background.Go(func() {
		time.Sleep(draw(lapseMs))
		s.fleet.store.RemoveServer(l.id)
	})
	s.fleet.background.Go(func() {
		time.Sleep(draw(replacedMs))
		if err := s.begin(); err != nil {
			s.fleet.endings.report("the soak's server starts again", l.id, err.Error())
			return
		}
		time.Sleep(draw(entryMs))
		s.writeEntry(s.life(), false)
	})
}

// injectEnds crashes and drains servers, until ctx ends.
func (f *fleet) injectEnds(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.settings.Seed, 14))
	for ctx.Err() == nil {
		s := f.endServers[random.IntN(len(f.endServers))]
		l := s.life()
		kind := []endKind{endCrash, endCrashReset, endDrained}[random.IntN(3)]
		f.history.countFault("end a server: " + string(kind))
		if kind == endDrained {
			s.writeEntry(l, true)
			f.background.Go(func() {
				time.Sleep(drainSpan)
				s.end(l, kind)
			})
		} else {
			s.end(l, kind)
		}
		sleep(ctx, drawMs(random, minDelayMs, endGapMs))
	}
}

// close ends the incarnation as the kernel does: its connections are closed in order, or reset. It reports whether it
// had not ended.
func (l *endLife) close(kind endKind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended != "" {
		return false
	}
	l.ended, l.endedAt = kind, time.Now()
	closeListener(l.listener)
	for c := range l.conns {
		if kind == endCrashReset {
			_ = c.SetLinger(0)
		}
		_ = c.Close()
	}
	return true
}

// outlived reports whether the incarnation had not ended at a time.
func (l *endLife) outlived(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended == "" || l.endedAt.After(at)
}

func (l *endLife) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		tcp, _ := conn.(*net.TCPConn)
		_ = tcp.SetReadBuffer(receiveBytes)
		l.mu.Lock()
		l.conns[tcp] = struct{}{}
		ended := l.ended
		l.mu.Unlock()
		if ended != "" {
			_ = tcp.Close()
			return
		}
		go l.serve(tcp)
	}
}

// serve responds to the requests of a connection.
func (l *endLife) serve(conn *net.TCPConn) {
	defer func() {
		l.mu.Lock()
		delete(l.conns, conn)
		l.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetDeadline(time.Time{})
		r, err := http.ReadRequest(reader)
		if err != nil {
			l.checkGone("a whole request", "", err)
			return
		}
		_ = conn.SetDeadline(time.Now().Add(writeSpan))
		if !l.respond(conn, r) {
			return
		}
	}
}

// checkGone records a violation unless an error means that the connection has ended.
func (l *endLife) checkGone(due, id string, err error) {
	gone := slices.ContainsFunc([]error{
		io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE,
	}, func(one error) bool { return errors.Is(err, one) })
	var netErr net.Error
	late := errors.As(err, &netErr) && netErr.Timeout()
	if !gone && !late {
		l.of.fleet.endings.report("servers receive "+due, id, l.id+": "+err.Error())
	}
}

// respond responds to a request. It reports whether the connection goes on.
func (l *endLife) respond(conn *net.TCPConn, r *http.Request) bool {
	id := r.Header.Get(standin.HeaderRequestID)
	expected := r.Header.Get(standin.HeaderExpectUpstream)
	if r.Method == http.MethodGet || expected != "" && expected != l.id {
		return l.respondAtOnce(conn, r, expected)
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	pieces := content(id, kind, after)
	recorded := &endRun{server: l.id, after: after, life: l}
	seal, attempt := l.of.fleet.endings.begin(id, recorded)
	run := *recorded
	defer func() { l.of.fleet.endings.complete(recorded, run) }()
	random := rand.New(rand.NewPCG(l.of.fleet.settings.Seed, hashOf(id)+attempt))
	isUpload, mayCrash := r.ContentLength != int64(len(id)), time.Since(l.born) > minLife
	deadlineMs, err := strconv.Atoi(r.Header.Get(standin.HeaderDeadlineMs))
	if err != nil {
		l.of.fleet.endings.report("servers receive a deadline", id, err.Error())
	}
	arrived := time.Now()
	run.ending = drawEnding(random, len(pieces), isStream(kind), isUpload, mayCrash)
	run.deadline, run.lateEnd = arrived.Add(time.Duration(deadlineMs)*time.Millisecond), endReset
	if isStream(kind) {
		run.lateEnd = endStopped
	}
	if !run.early && !l.readBody(r, id) {
		return false
	}
	written := run.write(conn, run.head(id, seal, kind, pieces), pieces)
	if written && l.finish(conn, r, id, &run, random) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended != "" && run.finished.IsZero() && (!written || run.end == endWhole) {
		// The server ended beside this response.
		run.end = l.ended
	}
	return false
}

// respondAtOnce responds to a health check, to a question for a report, or to a request for another server.
func (l *endLife) respondAtOnce(conn *net.TCPConn, r *http.Request, expected string) bool {
	isOther := expected != "" && expected != l.id
	// Half of the servers tell only by the ids in health checks that one is for another server, and have no reports.
	onlyHealth := hashOf(l.id)%2 == 0
	if r.Method == http.MethodGet && (!isOther || onlyHealth) {
		status, head := "200 OK", standin.HeaderUpstreamID+": "+l.id+"\r\n"
		if r.URL.Path == standin.ReportPath {
			head = ""
			if onlyHealth {
				status = "404 Not Found"
			}
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: 2\r\n\r\n{}", status, head)
		return err == nil
	}
	id := r.Header.Get(standin.HeaderRequestID)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n"+
		standin.HeaderRequestID+": %s\r\n"+standin.HeaderNotRun+": 1\r\n"+
		"Content-Length: 0\r\n\r\n", id)
	return err == nil && l.readBody(r, id)
}

// readBody reads the body of a request and checks it. It reports whether it is whole.
func (l *endLife) readBody(r *http.Request, id string) bool {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		l.checkGone("the body of the request", id, err)
		return false
	}
	rest, found := strings.CutPrefix(string(data), id)
	if at := strings.IndexFunc(rest, func(c rune) bool { return c != 'x' }); !found || at >= 0 {
		l.of.fleet.endings.report("servers receive the body of the request", id,
			fmt.Sprintf("%s: %d bytes, others after %d", l.id, len(data), at))
	}
	return true
}

// finish ends a response. It reports whether the connection goes on.
func (l *endLife) finish(conn *net.TCPConn, r *http.Request, id string, run *endRun, random *rand.Rand) bool {
	switch run.end {
	case endStopped:
		run.writeEnd(conn)
	case endWhole:
		if !run.writeEnd(conn) {
			return false
		}
		if run.early {
			time.Sleep(drawMs(random, 0, readOnMs))
			if !l.readBody(r, id) {
				return false
			}
		}
		run.finished = time.Now()
		return run.framing != byConnection && run.garbled == ""
	case endReset:
		_ = conn.SetLinger(0)
	case endCrash, endCrashReset:
		l.of.end(l, run.end)
	case endClosed, endDrained:
	}
	return false
}
