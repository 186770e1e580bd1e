package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// The load bound, as the users state it: in any five seconds in which no server is disturbed, at most 3 in 100 of the
// requests of undisturbed boxes, or fewer than 20, arrive at a server that holds more than a multiple of the mean of
// all servers, and 3. It counts what servers hold, whoever sent it.
const (
	loadCap            = 2
	loadSlack          = 3
	loadWindow         = 5 * time.Second
	minOverloaded      = 20
	maxOverloadedShare = 0.03
	// loadContactSpan is how long a box must have been undisturbed for its requests to count.
	loadContactSpan = 4 * time.Second
)

// loadArrival is a request that reached a server.
type loadArrival struct {
	request string
	at      time.Time
	// held is what the server held before, and total what all servers did.
	held, total int
}

// serverLoads counts the requests that servers hold.
type serverLoads struct {
	servers int

	mu       sync.Mutex
	held     map[*server]int
	total    int
	arrivals []loadArrival
}

func newServerLoads(servers int) *serverLoads {
	return &serverLoads{servers: servers, held: map[*server]int{}}
}

// hold counts a request at a server until the returned function is called.
func (l *serverLoads) hold(s *server) (release func()) {
	l.add(s, 1)
	return func() { l.add(s, -1) }
}

func (l *serverLoads) add(s *server, change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[s] += change
	l.total += change
}

// recordArrival records what servers hold when a request arrives. It must be called before hold.
func (l *serverLoads) recordArrival(s *server, a standin.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, loadArrival{request: a.RequestID, at: a.At, held: l.held[s], total: l.total})
}

// overloaded reports whether the server was above the bound when the request arrived.
func (a loadArrival) overloaded(servers int) bool {
	return a.held*servers > loadCap*a.total+loadSlack*servers
}

// loadStats are the figures of the load bound in one run.
type loadStats struct {
	Arrivals int
	// Overloaded is the number of arrivals at servers above the bound.
	Overloaded int
	// Worst is the window with the highest share of those.
	Worst loadWindowStats
	// Broken is the number of arrivals with which a window begins that violates the bound.
	Broken int
	// Refused is the number of requests that were refused.
	Refused int
	// Metrics holds the sums of the boxes' counters of requests to engines, and of those of the mesh.
	Metrics map[string]float64
}

type loadWindowStats struct {
	FromS                float64
	Arrivals, Overloaded int
}

func (w loadWindowStats) share() float64 { return float64(w.Overloaded) / float64(max(1, w.Arrivals)) }

func (w loadWindowStats) broken() bool {
	return w.Overloaded >= minOverloaded && w.share() > maxOverloadedShare
}

// findings returns the violated guarantees.
func (s loadStats) findings() []string {
	if s.Broken == 0 {
		return nil
	}
	return []string{fmt.Sprintf("load bound: %d of %d requests in %s arrived at servers above it, from second %.1f on",
		s.Worst.Overloaded, s.Worst.Arrivals, loadWindow, s.Worst.FromS)}
}

// loadStats returns the figures of the run. It must be called after all requests have ended.
func (f *fleet) loadStats() loadStats {
	boxes, refused := map[string]string{}, 0
	for _, o := range f.history.outcomes {
		boxes[o.ID] = o.Box
		if o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests {
			refused++
		}
	}
	f.loads.mu.Lock()
	defer f.loads.mu.Unlock()
	counted := []loadArrival{}
	for _, a := range f.loads.arrivals {
		if f.history.disturbances.undisturbed(boxes[a.request], a.at.Add(-loadContactSpan), a.at) {
			counted = append(counted, a)
		}
	}
	f.writeArrivals(boxes)
	stats := windowsOf(counted, f.loads.servers)
	stats.Refused, stats.Metrics = refused, f.engineMetrics()
	return stats
}

// writeArrivals writes what servers held at each arrival to the run's folder, to be read beside the boxes' logs.
func (f *fleet) writeArrivals(boxes map[string]string) {
	var text strings.Builder
	for _, a := range f.loads.arrivals {
		fmt.Fprintf(&text, "%s %s %s %d %d %t\n", a.at.UTC().Format(time.RFC3339Nano), a.request, boxes[a.request], a.held,
			a.total, a.overloaded(f.loads.servers))
	}
	// The file only helps to trace a violation, which the report tells in any case.
	_ = os.WriteFile(filepath.Join(f.settings.Folder, "arrivals.txt"), []byte(text.String()), 0o600)
}

// windowsOf slides a window over arrivals. Each window begins with an arrival and ends before the last one.
func windowsOf(arrivals []loadArrival, servers int) loadStats {
	stats := loadStats{Arrivals: len(arrivals)}
	slices.SortFunc(arrivals, func(a, b loadArrival) int { return a.at.Compare(b.at) })
	// overloaded holds the number of arrivals at servers above the bound before each arrival.
	overloaded := []int{0}
	for _, a := range arrivals {
		if a.overloaded(servers) {
			stats.Overloaded++
		}
		overloaded = append(overloaded, stats.Overloaded)
	}
	end := 0
	for i, first := range arrivals {
		for end < len(arrivals) && arrivals[end].at.Sub(first.at) < loadWindow {
			end++
		}
		if end == len(arrivals) {
			break
		}
		stats.add(loadWindowStats{
			FromS: first.at.Sub(arrivals[0].at).Seconds(), Arrivals: end - i, Overloaded: overloaded[end] - overloaded[i],
		})
	}
	return stats
}

// add adds a window.
func (s *loadStats) add(w loadWindowStats) {
	if w.share() > s.Worst.share() {
		s.Worst = w
	}
	if w.broken() {
		s.Broken++
	}
}

// engineMetrics returns the sums of the boxes' counters of requests to engines. A box that doesn't respond is left out.
func (f *fleet) engineMetrics() map[string]float64 {
	sums := map[string]float64{}
	client := &http.Client{Timeout: dialTimeout}
	for i := range f.boxes {
		values, err := readMetrics(client, fmt.Sprintf("http://%s:%d/metrics", f.ip(i+1), metricsPort))
		if err != nil {
			continue
		}
		addCounters(sums, "", "engine_", values)
		if mesh, ok := values["mesh"].(map[string]any); ok {
			addCounters(sums, "mesh_", "", mesh)
		}
	}
	return sums
}

func readMetrics(client *http.Client, url string) (map[string]any, error) {
	response, err := client.Get(url) //nolint:noctx // The client has a timeout.
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	values := map[string]any{}
	return values, json.NewDecoder(response.Body).Decode(&values)
}

// addCounters adds the values whose names begin with a prefix to sums, under their names behind another prefix.
func addCounters(sums map[string]float64, group, prefix string, values map[string]any) {
	for name, value := range values {
		if count, ok := value.(float64); ok && strings.HasPrefix(name, prefix) {
			sums[group+name] += count
		}
	}
}
