package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// server is a stand-in of one server of a service, within this process.
type server struct {
	id, service, address string
	onRun                func(s *server, r *http.Request)
}

func seal(id, request string) string { return "seal." + id + "." + request }

// startServer starts a server that answers every request at once.
func startServer(id, service string, onRun func(s *server, r *http.Request)) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, address: l.Addr().String(), onRun: onRun}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
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

// wholeBody is the body of an answer of a server that is a process of its own.
func wholeBody(id string) string {
	var b strings.Builder
	for i := range 40 {
		fmt.Fprintf(&b, "%s: line %d of 40 of the report\n", id, i+1)
	}
	return b.String()
}

const (
	// events is the number of events of a stream, and eventGap the pause between two.
	events   = 16
	eventGap = 100 * time.Millisecond
)

func event(n int) string { return fmt.Sprintf("id: %d\ndata: word %d of %d\n\n", n, n, events) }

// streamAlone writes a stream that lacks a length and ends with its connection.
func streamAlone(conn net.Conn, id, attempt string) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+attempt+"\r\nX-Response-Seal: "+
		seal(id, attempt)+"\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	for n := range events {
		if _, err := io.WriteString(conn, event(n+1)); err != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

// answerTime is how long such a server takes to write an answer.
const answerTime = 1600 * time.Millisecond

// serveAlone is a server as a process of its own. Its answers lack a length and end with their connections. It writes
// half of the body as soon as it has it, and the other half at the end of its work.
func serveAlone(address, id, service string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/health" {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
					continue
				}
				attempt := r.Header.Get("X-Attempt-Id")
				if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
					_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: "+attempt+
						"\r\nX-Instance-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
					continue
				}
				say("run %s", attempt)
				if strings.HasPrefix(r.URL.Path, "/draft/") {
					streamAlone(conn, id, attempt)
					return
				}
				body := wholeBody(attempt)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+attempt+"\r\nX-Response-Seal: "+
					seal(id, attempt)+"\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"+body[:len(body)/2])
				time.Sleep(answerTime)
				if _, err := io.WriteString(conn, body[len(body)/2:]); err == nil {
					say("answered %s", attempt)
				}
				return
			}
		}()
	}
}
