package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	topicOperators = "keyed.op"
	topicServers   = "keyed.servers"
	// storeAnswer is the usual time of an answer of the store.
	storeAnswer = 4 * time.Millisecond
	// maxPageItems is the largest number of items of a page.
	maxPageItems = 500
)

type storeRecord struct {
	key   string
	value []byte
}

// store is a stand-in of the platform's store: keyed topics with one partition each.
type store struct {
	// pageItems is the number of items of a page of log-newest.
	pageItems int

	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
}

func newStore() *store {
	return &store{pageItems: maxPageItems, topics: map[string][]storeRecord{}, changed: make(chan struct{})}
}

// acknowledged is when the store has acknowledged a record.
type acknowledged = time.Time

// put appends a record.
func (s *store) put(topic, key string, value []byte) acknowledged {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) putJSON(topic, key string, value any) acknowledged {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.put(topic, key, data)
}

// listen serves the store on a loopback address.
func (s *store) listen(ctx context.Context) (string, error) {
	l, err := listenLoopback(ctx)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.newest)
	mux.HandleFunc("POST /api/log-append", s.append)
	serve(l, mux)
	return l.Addr().String(), nil
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		list, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if len(list) > from {
			s.answerRead(w, list, from)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answerRead(w, list, from)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) answerRead(w http.ResponseWriter, list []storeRecord, from int) {
	time.Sleep(storeAnswer)
	out := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range list[min(from, len(list)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(append(out, rec.key...), rec.value...)
	}
	_, _ = w.Write(out)
}

// newest answers with one page of the newest record of each key, as it stands now.
func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	q := r.URL.Query()
	time.Sleep(storeAnswer)
	s.mu.Lock()
	list := s.topics[q.Get("topic")]
	newest := map[string]int{}
	for i, rec := range list {
		newest[rec.key] = i
	}
	end := len(list)
	s.mu.Unlock()
	keys := []string{}
	for key, i := range newest {
		if len(list[i].value) > 0 && key > q.Get("afterRev") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > s.pageItems
	keys = keys[:min(len(keys), s.pageItems)]
	items := []item{}
	for _, key := range keys {
		i := newest[key]
		items = append(items, item{key, base64.StdEncoding.EncodeToString(list[i].value), i})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "morePages": more, "end": end})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	topic := r.URL.Query().Get("topic")
	if err != nil || topic == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	first := len(s.topics[topic])
	s.mu.Unlock()
	for len(data) >= 4 {
		n := int(binary.BigEndian.Uint32(data))
		rec := data[4 : 4+n]
		key := string(rec[1 : 1+int(rec[0])])
		s.put(topic, key, append([]byte(nil), rec[1+int(rec[0]):]...))
		data = data[4+n:]
	}
	s.mu.Lock()
	end := len(s.topics[topic])
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": first, "end": end})
}
