package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"golang.org/x/time/rate"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/jsonhttp"
)

// LogFaults are the faults that the log injects. Log.SetFaults may change them at any time.
type LogFaults struct {
	// Down rejects every call.
	Down bool `json:"down"`
	// AppendsDown rejects appends only.
	AppendsDown bool `json:"appends_down"`
	// LoseReplies is the number of following appends that take effect but lose their
	// reply.
	LoseReplies int `json:"lose_replies"`
	// DelayMs is added to every call.
	DelayMs clock.Millis `json:"delay_ms"`
	// DownFor lists the boxes, by the X-Box header, whose calls are rejected.
	DownFor []string `json:"down_for"`
}

// HeaderBox is the header that names the calling box, for faults that affect single boxes.
const HeaderBox = "X-Box"

// Log is an append-only log with numbered records, limited retention and a
// limited rate of appends.
type Log struct {
	clock       clock.Clock
	retentionMs clock.Millis
	limiter     *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	appends int
	reads   int
}

type stream struct {
	first    int64
	records  []backing.Record
	appended chan struct{}
}

// LogOption configures a Log in NewLog.
type LogOption func(*Log)

// WithLogClock replaces the system clock.
func WithLogClock(c clock.Clock) LogOption { return func(l *Log) { l.clock = c } }

// WithRetention sets how long records are kept.
func WithRetention(span clock.Millis) LogOption { return func(l *Log) { l.retentionMs = span } }

// WithAppendRate limits the number of appends per second.
func WithAppendRate(perSecond int) LogOption {
	return func(l *Log) { l.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond) }
}

const (
	defaultAppendRate  = 400
	defaultRetentionMs = 24 * 60 * 60 * clock.Second
	maxWaitMs          = 30 * clock.Second
	maxPageRecords     = 10_000
	throttleStatus     = http.StatusTooManyRequests
	downStatus         = http.StatusServiceUnavailable
	replyLostStatus    = http.StatusGatewayTimeout
	pathStream         = "stream"
)

// NewLog returns an empty log.
func NewLog(options ...LogOption) *Log {
	l := &Log{clock: clock.New(), retentionMs: defaultRetentionMs, streams: map[string]*stream{}}
	WithAppendRate(defaultAppendRate)(l)
	for _, option := range options {
		option(l)
	}
	return l
}

// SetFaults changes the log's faults.
func (l *Log) SetFaults(change func(*LogFaults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
}

// Counts returns the number of accepted appends and of answered reads.
func (l *Log) Counts() (appends, reads int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

// Routes registers the log's handlers on a mux.
func (l *Log) Routes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/logs/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /v1/logs/{stream}/records", l.serveRead)
	mux.HandleFunc("POST /standin/log/faults", l.serveFaults)
}

func (l *Log) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults LogFaults
	if !readJSON(w, r, &faults) {
		return
	}
	l.SetFaults(func(current *LogFaults) { *current = faults })
	jsonhttp.Write(w, faults)
}

// applyFaults applies delays and outages to a call and reports whether the call goes on.
func (l *Log) applyFaults(w http.ResponseWriter, r *http.Request, isAppend bool) bool {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.DelayMs > 0 && l.clock.Sleep(r.Context(), faults.DelayMs) != nil {
		return false
	}
	if faults.Down || isAppend && faults.AppendsDown || slices.Contains(faults.DownFor, r.Header.Get(HeaderBox)) {
		http.Error(w, "log is down", downStatus)
		return false
	}
	return true
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var request backing.AppendRequest
	if !readJSON(w, r, &request) || !l.applyFaults(w, r, true) {
		return
	}
	if !l.limiter.AllowN(l.clock.Now().Time(), 1) {
		http.Error(w, "too many appends", throttleStatus)
		return
	}
	offset, lost := l.acceptAppend(r.PathValue(pathStream), request.Records)
	if lost {
		http.Error(w, "reply lost", replyLostStatus)
		return
	}
	jsonhttp.Write(w, backing.AppendReply{Offset: offset})
}

func (l *Log) acceptAppend(name string, records []json.RawMessage) (offset int64, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	offset = l.append(name, records)
	if l.faults.LoseReplies > 0 {
		l.faults.LoseReplies--
		return offset, true
	}
	return offset, false
}

// Append adds records directly, without a network call, and returns the offset of the first.
func (l *Log) Append(name string, records ...json.RawMessage) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.append(name, records)
}

func (l *Log) append(name string, records []json.RawMessage) int64 {
	s := l.stream(name)
	offset := s.first + int64(len(s.records))
	now := l.clock.Now()
	for i, data := range records {
		s.records = append(s.records, backing.Record{Offset: offset + int64(i), TimeMs: now, Data: data})
	}
	l.expire(s, now)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) expire(s *stream, now clock.Millis) {
	expired := 0
	for expired < len(s.records) && s.records[expired].TimeMs+l.retentionMs <= now {
		expired++
	}
	s.records = s.records[expired:]
	s.first += int64(expired)
}

// Expire removes all records of a stream before an offset, as retention would.
func (l *Log) Expire(name string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	count := min(max(0, before-s.first), int64(len(s.records)))
	s.records = s.records[count:]
	s.first += count
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	if !l.applyFaults(w, r, false) {
		return
	}
	query := r.URL.Query()
	from, fromErr := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, limitErr := strconv.Atoi(query.Get("limit"))
	wait, waitErr := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if fromErr != nil || limitErr != nil || waitErr != nil || from < 0 || limit < 1 || wait < 0 {
		http.Error(w, "from, limit and wait_ms must be whole numbers", http.StatusBadRequest)
		return
	}
	jsonhttp.Write(w, l.Read(r, from, min(limit, maxPageRecords), min(clock.Millis(wait), maxWaitMs)))
}

// Read returns records of the stream that a request names. If there are none, it waits up to
// waitMs for the first one.
func (l *Log) Read(r *http.Request, from int64, limit int, waitMs clock.Millis) backing.Page {
	name := r.PathValue(pathStream)
	until := l.clock.Now() + waitMs
	for {
		page, appended := l.page(name, from, limit)
		remaining := until - l.clock.Now()
		if len(page.Records) > 0 || from < page.FirstOffset || remaining <= 0 {
			return page
		}
		if !l.wait(r, appended, remaining) {
			return page
		}
	}
}

// wait reports whether records were appended to the stream before the timeout.
func (l *Log) wait(r *http.Request, appended <-chan struct{}, timeout clock.Millis) bool {
	ctx, cancel := context.WithTimeout(r.Context(), timeout.Duration())
	defer cancel()
	select {
	case <-appended:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Log) page(name string, from int64, limit int) (backing.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	s := l.stream(name)
	page := backing.Page{Records: []backing.Record{}, FirstOffset: s.first, EndOffset: s.first + int64(len(s.records))}
	if from >= s.first && from < page.EndOffset {
		rest := s.records[from-s.first:]
		page.Records = rest[:min(limit, len(rest))]
	}
	return page, s.appended
}
