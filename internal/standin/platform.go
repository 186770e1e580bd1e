package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/jsonhttp"
)

// Platform is a fake of the log, the weight store and the list of boxes.
type Platform struct {
	Log     *Log
	Weights *Weights
	Boxes   *Boxes
	mux     *http.ServeMux
}

// NewPlatform returns a platform that serves the given parts.
func NewPlatform(log *Log, weights *Weights, boxes *Boxes) *Platform {
	p := &Platform{Log: log, Weights: weights, Boxes: boxes, mux: http.NewServeMux()}
	log.Routes(p.mux)
	weights.routes(p.mux)
	boxes.routes(p.mux)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Weights is a weight store that limits the rate at which loads may start.
type Weights struct {
	clock   clock.Clock
	limiter *rate.Limiter

	mu       sync.Mutex
	reserved int
	refused  int
}

// NewWeights returns a store that allows the given number of loads per minute.
func NewWeights(c clock.Clock, perMinute int) *Weights {
	const secondsPerMinute = 60
	limit := rate.Limit(float64(perMinute) / secondsPerMinute)
	return &Weights{clock: c, limiter: rate.NewLimiter(limit, 1)}
}

// Counts returns the number of granted and of rejected reservations.
func (s *Weights) Counts() (reserved, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserved, s.refused
}

func (s *Weights) routes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/weights/{model}/reservations", s.serve)
}

func (s *Weights) serve(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limiter.AllowN(s.clock.Now().Time(), 1) {
		s.refused++
		http.Error(w, "too many loads", throttleStatus)
		return
	}
	s.reserved++
	jsonhttp.Write(w, struct{}{})
}

// Boxes is a list of boxes and upstreams whose changes become visible after a lag.
type Boxes struct {
	clock clock.Clock
	lagMs clock.Millis

	mu      sync.Mutex
	history []listVersion
	down    bool
}

// listVersion is the content of the list from fromMs on.
type listVersion struct {
	fromMs clock.Millis
	list   backing.BoxListReply
}

// NewBoxes returns an empty list whose changes become visible after lagMs.
func NewBoxes(c clock.Clock, lagMs clock.Millis) *Boxes {
	return &Boxes{clock: c, lagMs: lagMs, history: []listVersion{{}}}
}

// Set changes the list; the change becomes visible after the lag.
func (b *Boxes) Set(change func(list *backing.BoxListReply)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := cloneList(b.history[len(b.history)-1].list)
	change(&next)
	b.history = append(b.history, listVersion{fromMs: b.clock.Now(), list: next})
}

// visibleList returns the list as of one lag ago.
func (b *Boxes) visibleList() backing.BoxListReply {
	visible := 0
	for i, version := range b.history {
		if version.fromMs+b.lagMs <= b.clock.Now() {
			visible = i
		}
	}
	b.history = b.history[visible:]
	return b.history[0].list
}

// SetDown sets whether calls to the list fail.
func (b *Boxes) SetDown(down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = down
}

func cloneList(list backing.BoxListReply) backing.BoxListReply {
	return backing.BoxListReply{
		Boxes:     append([]backing.ListedBox(nil), list.Boxes...),
		Upstreams: append([]backing.ListedBox(nil), list.Upstreams...),
	}
}

func (b *Boxes) routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/boxes", b.serve)
	mux.HandleFunc("POST /standin/boxes", b.serveSet)
}

func (b *Boxes) serve(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		http.Error(w, "list is down", downStatus)
		return
	}
	list := filterByDomain(b.visibleList(), r.URL.Query().Get("failure_domain"))
	etag := etagOf(list)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Etag", etag)
	jsonhttp.Write(w, list)
}

func (b *Boxes) serveSet(w http.ResponseWriter, r *http.Request) {
	var list backing.BoxListReply
	if !readJSON(w, r, &list) {
		return
	}
	b.Set(func(current *backing.BoxListReply) { *current = list })
	jsonhttp.Write(w, list)
}

// filterByDomain returns the entries of a list that are in a failure domain, or all entries
// if the domain is empty.
func filterByDomain(list backing.BoxListReply, domain string) backing.BoxListReply {
	outside := func(b backing.ListedBox) bool { return domain != "" && b.FailureDomain != domain }
	kept := cloneList(list)
	kept.Boxes = slices.DeleteFunc(kept.Boxes, outside)
	kept.Upstreams = slices.DeleteFunc(kept.Upstreams, outside)
	return kept
}

func etagOf(list backing.BoxListReply) string {
	data, err := json.Marshal(list)
	if err != nil {
		return ""
	}
	return strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 16))
}
