package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: a log with keyed topics, each with one partition.
type store struct {
	mu      sync.Mutex
	topics  map[string][]logRecord
	changed chan struct{}
}

type logRecord struct {
	key   string
	value []byte
}

func newStore() *store {
	return &store{topics: map[string][]logRecord{}, changed: make(chan struct{})}
}

// put appends a record. An empty value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], logRecord{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
}

// putJSON appends a record whose value is JSON.
func (s *store) putJSON(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(topic, key, data)
}

func (s *store) serve(l net.Listener) { _ = http.Serve(l, s) }

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/log-read":
		s.read(w, r)
	case "/api/log-newest":
		s.newest(w, r)
	case "/api/log-append":
		s.append(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"first":0}`)
			return
		}
		if from < len(records) || over {
			_, _ = w.Write(encodeRecords(records[from:], len(records)))
			return
		}
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func encodeRecords(records []logRecord, end int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, e := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(e.key)+len(e.value)))
		out = append(out, byte(len(e.key)))
		out = append(append(out, e.key...), e.value...)
	}
	return out
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	last := map[string]int{}
	for offset, e := range records {
		last[e.key] = offset
	}
	keys := []string{}
	for key, offset := range last {
		if len(records[offset].value) > 0 && key > r.URL.Query().Get("afterRev") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, key := range keys {
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString(records[last[key]].value), "offset": last[key],
		})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "morePages": false, "end": len(records)})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	data, err := io.ReadAll(r.Body)
	if err != nil || topic == topicOperators || topic == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	offset := len(s.topics[topic])
	s.mu.Unlock()
	count := 0
	for ; len(data) >= 5; count++ {
		length := int(binary.BigEndian.Uint32(data))
		keyEnd := 5 + int(data[4])
		s.put(topic, string(data[5:keyEnd]), data[keyEnd:4+length])
		data = data[4+length:]
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": offset, "end": offset + count})
}

const (
	topicOperators = "keyed.op"
	topicServers   = "keyed.servers"
)
