package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/jsonhttp"
)

// Server is a fake server of a plain service. It counts how often each idempotency key ran.
type Server struct {
	name   string
	clock  clock.Clock
	ledger *RunCounter

	mu     sync.Mutex
	faults ServerFaults
}

// ServerFaults are the faults that a Server injects.
type ServerFaults struct {
	// DelayMs is the time that a call takes.
	DelayMs clock.Millis `json:"delay_ms"`
	// DropAnswer runs the call, then breaks the connection without an answer.
	DropAnswer bool `json:"drop_answer"`
	// Fail runs the call, then answers with status 500.
	Fail bool `json:"fail"`
	// StallMs is the time between the head of an answer and its body.
	StallMs clock.Millis `json:"stall_ms"`
	// NoEcho omits the request's id from the answer.
	NoEcho bool `json:"no_echo"`
}

// RunCounter counts the runs of each idempotency key over all servers of a service.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRunCounter returns a RunCounter without runs.
func NewRunCounter() *RunCounter { return &RunCounter{runs: map[string]int{}} }

// Add counts one run of a key.
func (l *RunCounter) Add(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
}

// Runs returns the number of runs of a key.
func (l *RunCounter) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// All returns the number of runs of each key.
func (l *RunCounter) All() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make(map[string]int, len(l.runs))
	for key, count := range l.runs {
		runs[key] = count
	}
	return runs
}

// NewServer returns a server that counts its runs in ledger.
func NewServer(name string, ledger *RunCounter, c clock.Clock) *Server {
	return &Server{name: name, ledger: ledger, clock: c}
}

// SetFaults changes the server's faults.
func (s *Server) SetFaults(change func(*ServerFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// ServiceReply is the answer to a call.
type ServiceReply struct {
	Server string `json:"server"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Target is the path and query as they were received.
	Target string `json:"target"`
	Key    string `json:"key,omitempty"`
	Body   string `json:"body,omitempty"`
	Run    int    `json:"run"`
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && r.URL.Path == "/standin/server/faults" {
		s.serveFaults(w, r)
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.ledger.Add(key)
	if s.clock.Sleep(r.Context(), faults.DelayMs) != nil || faults.DropAnswer {
		panic(http.ErrAbortHandler)
	}
	if !faults.NoEcho {
		w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	}
	if faults.Fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	reply := ServiceReply{
		Server: s.name, Method: r.Method, Path: r.URL.Path, Target: r.RequestURI, Key: key,
		Body: string(body), Run: s.ledger.Runs(key),
	}
	if faults.StallMs > 0 {
		s.stall(w, r, faults.StallMs, reply)
		return
	}
	jsonhttp.Write(w, reply)
}

// stall writes the head of an answer, and the body some time later.
func (s *Server) stall(w http.ResponseWriter, r *http.Request, span clock.Millis, reply ServiceReply) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	if http.NewResponseController(w).Flush() != nil || s.clock.Sleep(r.Context(), span) != nil {
		panic(http.ErrAbortHandler)
	}
	// A write error means that the client is gone, so it cannot be reported.
	_ = json.NewEncoder(w).Encode(reply)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults ServerFaults
	if !readJSON(w, r, &faults) {
		return
	}
	s.SetFaults(func(current *ServerFaults) { *current = faults })
	jsonhttp.Write(w, faults)
}
