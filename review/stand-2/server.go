package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// upstreamServer is the process of a server. Its answers have no length and end with their connections. It tells of
// each run on its standard output.
type upstreamServer struct {
	id string
	// bornMs is the start that it tells, as model servers do in their reports, or 0 for a server of a plain service,
	// which has no such page.
	bornMs int64
	pieces int
	gap    time.Duration
	// warmUntil is until when it accepts connections and does not respond yet.
	warmUntil time.Time

	mu sync.Mutex
}

// runServer is the command "server": ADDRESS ID BORN_MS PIECES GAP_MS WARM_MS.
func runServer(args []string) {
	bornMs, _ := strconv.ParseInt(args[2], 10, 64)
	pieces, _ := strconv.Atoi(args[3])
	gapMs, _ := strconv.Atoi(args[4])
	s := &upstreamServer{id: args[1], bornMs: bornMs, pieces: pieces, gap: time.Duration(gapMs) * time.Millisecond}
	warmMs, _ := strconv.Atoi(args[5])
	s.warmUntil = time.Now().Add(time.Duration(warmMs) * time.Millisecond)
	l, err := listen(args[0])
	if err != nil {
		fmt.Println("listen:", err)
		os.Exit(exitCantRun)
	}
	s.say("listening")
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *upstreamServer) say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

func (s *upstreamServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		time.Sleep(time.Until(s.warmUntil))
		if !s.respond(c, r) {
			return
		}
	}
}

// respond responds to a request, and reports whether the connection is kept.
func (s *upstreamServer) respond(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	expected := r.Header.Get("X-Expect-Instance")
	switch {
	case r.URL.Path == "/health":
		return s.write(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
	case expected != "" && expected != s.id:
		return s.write(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\n"+
			"Content-Length: 0\r\n\r\n", id, s.id)
	case r.URL.Path == "/api/report" && s.bornMs > 0:
		report := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,`+
			`"sequence":1,"queued":0,"running":0,"kvUsed":0,"kvTotal":232000,"handles":0,"born":%d}`, s.bornMs)
		return s.write(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			len(report), report)
	case id == "":
		// It has no such page, and runs nothing without an id.
		return s.write(c, "HTTP/1.1 404 Not Found\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	s.say("run %s %s %s tenant %s", id, r.Method, r.URL.Path, r.Header.Get("X-Tenant"))
	contentType := "text/plain"
	if s.bornMs > 0 {
		contentType = "text/event-stream"
	}
	if !s.write(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\nContent-Type: %s\r\n"+
		"Connection: close\r\n\r\n", id, id, contentType) {
		return false
	}
	for piece := range s.pieces {
		if !s.write(c, "%s", pieceOf(id, piece, s.bornMs > 0)) {
			return false
		}
		time.Sleep(s.gap)
	}
	s.say("whole %s", id)
	return false
}

// pieceOf returns a piece of the answer to an attempt: an event of a stream, or a hundred bytes.
func pieceOf(id string, piece int, event bool) string {
	if event {
		return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", piece+1, id, piece+1)
	}
	return fmt.Sprintf("%-99s\n", fmt.Sprintf("%s part %d", id, piece))
}

// wholeAnswer returns the body of the whole answer to an attempt.
func wholeAnswer(id string, pieces int, events bool) string {
	whole := strings.Builder{}
	for piece := range pieces {
		whole.WriteString(pieceOf(id, piece, events))
	}
	return whole.String()
}

func (s *upstreamServer) write(c net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format, args...)
	return err == nil
}
