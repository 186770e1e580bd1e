package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const healthPath = "/health"

// server is a stand-in of one server of a service, within this process.
type server struct {
	id, service, address string
	onRun                func(s *server, r *http.Request)
}

func seal(id, request string) string { return "seal." + id + "." + request }

// startServer starts a server that answers every request at once.
func startServer(
	ctx context.Context, id, service string, onRun func(s *server, r *http.Request),
) (*server, error) {
	l, err := listenLoopback(ctx)
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, address: l.Addr().String(), onRun: onRun}
	serve(l, s)
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.onRun(s, r)
	w.Header().Set("X-Response-Seal", seal(s.id, id))
	fmt.Fprintf(w, "answer of %s to %s", s.id, id)
}

const (
	// lines is the number of lines of an answer of a loneServer, and answerTime how long it takes to write one.
	lines      = 40
	answerTime = 1600 * time.Millisecond
	// events is the number of events of its streams, and eventGap the pause between two.
	events   = 16
	eventGap = 100 * time.Millisecond
)

func wholeBody(id string) string {
	var b strings.Builder
	for i := range lines {
		fmt.Fprintf(&b, "%s: line %d of %d of the report\n", id, i+1, lines)
	}
	return b.String()
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: word %d of %d\n\n", n, n, events) }

func wholeStream() string {
	var b strings.Builder
	for n := range events {
		b.WriteString(event(n + 1))
	}
	return b.String()
}

// loneServer is a server that is a process of its own. Its answers lack a length and end with their connections.
type loneServer struct {
	id string
	mu sync.Mutex
}

// serveAlone runs a loneServer until the process is killed.
func serveAlone(ctx context.Context, address, id string) {
	l, err := listenAt(ctx, address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	s := &loneServer{id: id}
	acceptAll(l, s.handle)
}

func (s *loneServer) say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

// handle serves the requests of one connection.
func (s *loneServer) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		attempt, expected := r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Expect-Instance")
		switch {
		case r.URL.Path == healthPath:
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n")
		case expected != "" && expected != s.id:
			_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: "+attempt+
				"\r\nX-Instance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n")
		case strings.HasPrefix(r.URL.Path, "/draft/"):
			s.stream(conn, attempt)
			return
		default:
			s.answer(conn, attempt)
			return
		}
	}
}

func (s *loneServer) head(conn net.Conn, attempt, contentType string) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+attempt+"\r\nX-Response-Seal: "+
		seal(s.id, attempt)+"\r\nContent-Type: "+contentType+"\r\nConnection: close\r\n\r\n")
}

// answer writes half of the body as soon as it has it, and the other half at the end of its work.
func (s *loneServer) answer(conn net.Conn, attempt string) {
	s.say("run %s", attempt)
	body := wholeBody(attempt)
	half := len(body) / 2
	s.head(conn, attempt, "text/plain")
	_, _ = io.WriteString(conn, body[:half])
	time.Sleep(answerTime)
	if _, err := io.WriteString(conn, body[half:]); err == nil {
		s.say("answered %s", attempt)
	}
}

func (s *loneServer) stream(conn net.Conn, attempt string) {
	s.say("run %s", attempt)
	s.head(conn, attempt, "text/event-stream")
	for n := range events {
		if _, err := io.WriteString(conn, event(n+1)); err != nil {
			return
		}
		time.Sleep(eventGap)
	}
}
