package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// violation is a violated guarantee.
type violation struct {
	Guarantee string
	Request   string
	Detail    string
}

func (f violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", f.Guarantee, f.Request, f.Detail)
}

// history records what clients and servers observed.
type history struct {
	mu       sync.Mutex
	runs     map[string][]standin.Run
	outcomes []standin.Outcome
	// tenants maps each current or former key to its tenant.
	tenants map[string]string
	// revoked maps a key to the time at which the store acknowledged its removal.
	revoked map[string]time.Time
	// served counts successful requests by kind.
	served map[string]int
	// draining maps a server to the time at which the store acknowledged its draining entry.
	draining     map[string]time.Time
	disturbances disturbances
	// replacements are the intervals from the replacement of a server's entry by another
	// writer until the server rewrote its own.
	replacements map[string][]*interval
	// zones maps each server to its zone, and evacuations holds by zone when it was evacuated.
	zones       map[string]string
	evacuations map[string][]*interval
	// arrivals are the requests that reached the server they were addressed to.
	arrivals          []standin.Arrival
	arrivalsByRequest map[string][]standin.Arrival
	// crashes are the times at which servers crashed under fatal requests, by kind.
	crashes map[standin.Fatal][]time.Time
	// partitions are the intervals in which some boxes were separated from all servers.
	partitions []*partitionOf
	// falls counts the brittle servers that fell over.
	falls int
	// works holds what servers did on requests by id.
	works map[string][]*work
	// stops and reloads are the times at which boxes got SIGTERM, for the first time in a process, and SIGHUP. configs
	// holds when configurations were written, under allBoxes.
	stops, reloads map[string][]time.Time
	configs        map[string][]*interval
	// kills are the times at which boxes were killed, ends those at which their processes had ended, and changedStarts
	// the intervals in which something else may have held their ports.
	kills, ends   map[string][]time.Time
	changedStarts map[string][]*interval
	// interfered reports, by box, whether the link of its callers may have closed a connection from an address.
	interfered map[string]func(address string, from, to time.Time) bool
	// openedBy reports, by box, whether a connection from an address to the link of its callers was open at a time.
	openedBy map[string]func(address string, at time.Time) bool
	// forwarded reports, by box, whether the link of its callers passed on a connection from an address.
	forwarded map[string]func(address string) bool
	lost      lostStats
	otherCuts []string
	// refusals are the times in which boxes refused connections beside restarts that overlap.
	refusals []refusal
	// services are the times from the starts of processes to their first responses.
	services []service
	// exactCalls are the requests of exact callers, and exactResponses when servers responded to them.
	exactCalls     []*exactCall
	exactResponses map[string]time.Time
	exact          exactStats
	// processFaults counts the faults around processes by name.
	processFaults map[string]int
	// releases is set if boxes run two releases by turns.
	releases bool
	// timed is set if time bounds are checked too.
	timed bool
	// leavings is set if the leaving of servers is checked for each request by boxes in touch.
	leavings bool
}

func newHistory() *history {
	return &history{
		runs: map[string][]standin.Run{}, tenants: map[string]string{}, revoked: map[string]time.Time{},
		served: map[string]int{}, draining: map[string]time.Time{}, disturbances: disturbances{},
		arrivalsByRequest: map[string][]standin.Arrival{}, replacements: map[string][]*interval{},
		zones: map[string]string{}, evacuations: map[string][]*interval{}, crashes: map[standin.Fatal][]time.Time{},
		processFaults: map[string]int{}, works: map[string][]*work{}, stops: map[string][]time.Time{},
		reloads: map[string][]time.Time{}, configs: map[string][]*interval{}, kills: map[string][]time.Time{},
		ends: map[string][]time.Time{}, changedStarts: map[string][]*interval{},
		interfered: map[string]func(string, time.Time, time.Time) bool{},
		openedBy:   map[string]func(string, time.Time) bool{},
		forwarded:  map[string]func(string) bool{}, exactResponses: map[string]time.Time{},
	}
}

func (h *history) recordRun(run standin.Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[run.RequestID] = append(h.runs[run.RequestID], run)
}

func (h *history) recordOutcome(o standin.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes = append(h.outcomes, o)
}

func (h *history) recordKey(key, tenant string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tenants[key] = tenant
}

func (h *history) recordRevocation(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revoked[key] = time.Now()
}

func (h *history) countFault(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.processFaults[name]++
}

func (h *history) recordZone(server, zone string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zones[server] = zone
}

func (h *history) recordDraining(server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining[server] = time.Now()
}

// check returns the violated guarantees. It must be called after everything has stopped, so that
// no request can still run later.
func (h *history) check() []violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	violations := []violation{}
	known := map[string]bool{}
	for _, o := range h.outcomes {
		known[o.ID] = true
		violations = append(violations, h.checkOutcome(o)...)
	}
	for id := range h.runs {
		if !known[id] {
			violations = append(violations, violation{"no run without a request", id, "a server ran it"})
		}
	}
	violations = append(violations, h.checkFatal()...)
	violations = append(violations, h.checkStreams()...)
	violations = append(violations, h.checkPartitions()...)
	violations = append(violations, h.checkLost()...)
	violations = append(violations, h.checkCallers()...)
	violations = append(violations, h.checkRefusals()...)
	violations = append(violations, h.checkServices()...)
	violations = append(violations, h.checkGone()...)
	violations = append(violations, h.checkExact()...)
	return append(violations, h.checkSignals()...)
}

func (h *history) checkOutcome(o standin.Outcome) []violation {
	runs := h.runs[o.ID]
	violations := []violation{}
	violated := func(guarantee, format string, arguments ...any) {
		violations = append(violations, violation{guarantee, o.ID, fmt.Sprintf(format, arguments...)})
	}
	atMostOnce := o.Kind == standin.Unsafe || o.Kind == standin.Stream
	if atMostOnce && len(runs) > 1 {
		violated("at most one run", "%s ran %d times", o.Kind, len(runs))
	}
	if atMostOnce && meansNotRun(o.Status) && len(runs) > 0 {
		violated("no run after a not-run status", "%s got %d and ran at %s", o.Kind, o.Status, runs[0].Server)
	}
	if o.Status == http.StatusOK && o.Complete {
		h.served[o.Kind]++
		if !o.Sound() {
			violated("complete answer to its own request", "%s got %q, seal %q", o.Kind, o.Answer, o.Seal)
		}
		if len(runs) == 0 {
			violated("complete answer to its own request", "no server ran it")
		}
	}
	for _, run := range runs {
		violations = append(violations, h.checkRun(o, run)...)
	}
	return violations
}

func (h *history) checkRun(o standin.Outcome, run standin.Run) []violation {
	violations := []violation{}
	violated := func(guarantee, format string, arguments ...any) {
		violations = append(violations, violation{guarantee, o.ID, fmt.Sprintf(format, arguments...)})
	}
	if run.Key || run.Forged != "" {
		violated("no key or forged header reaches a server", "key forwarded: %v, forged: %q", run.Key, run.Forged)
	}
	if want, known := h.tenants[o.Key]; !known || run.Tenant != want {
		violated("tenant of the key", "ran as %q with a key of %q", run.Tenant, want)
	}
	if at, isRevoked := h.revoked[o.Key]; isRevoked && o.Sent.Sub(at) > RevocationBoundMs*time.Millisecond {
		violated("revocation", "ran, though sent %s after its key's removal", o.Sent.Sub(at))
	}
	if run.DeadlineMs > o.DeadlineMs {
		violated("deadline", "the server got %d ms of %d", run.DeadlineMs, o.DeadlineMs)
	}
	if late := h.lateInIntervals(h.replacements[run.Server], o, run); late > 0 {
		violated("no new work after entry replacement", "%s ran it %s after its entry was replaced", run.Server, late)
	}
	if late := h.lateInIntervals(h.evacuations[h.zones[run.Server]], o, run); late > 0 {
		violated("no new work after evacuation", "%s ran it %s after its zone was evacuated", run.Server, late)
	}
	if late := h.lateAfterDraining(o, run); late > 0 {
		violated("no new work after draining entry", "%s ran it %s after its draining entry", run.Server, late)
	}
	return violations
}

const (
	// maxPropagation is how long boxes may still send new work to a server that drains, whose
	// entry was replaced or whose zone was evacuated.
	maxPropagation = 2 * time.Second
	// undisturbedSpan is how long a box must have been undisturbed for that bound to apply.
	undisturbedSpan = 3 * time.Second
	// timingSlack allows for scheduling delays of the machine that runs the soak.
	timingSlack = 300 * time.Millisecond
)

// lateAfterDraining returns how long after a server's draining entry an undisturbed box sent it
// a request, or 0 if that is within the bound.
func (h *history) lateAfterDraining(o standin.Outcome, run standin.Run) time.Duration {
	at, draining := h.draining[run.Server]
	late := run.StartedAt.Sub(at)
	if !h.timed && !h.leavings || !draining || late <= maxPropagation+timingSlack {
		return 0
	}
	if h.leavings {
		if h.inTouch(o, run) {
			return late
		}
		return 0
	}
	for _, name := range append(h.senders(o), allBoxes, run.Server) {
		if !h.disturbances.undisturbed(name, at.Add(-undisturbedSpan), run.StartedAt) {
			return 0
		}
	}
	return late
}

// lateInIntervals returns how long after the start of an interval, in which a server was to get no
// requests, an undisturbed box sent it one, or 0 if that is within the bound.
func (h *history) lateInIntervals(intervals []*interval, o standin.Outcome, run standin.Run) time.Duration {
	for _, s := range intervals {
		late := run.StartedAt.Sub(s.from)
		if !h.timed || late <= maxPropagation+timingSlack || !s.to.IsZero() && run.StartedAt.After(s.to) {
			continue
		}
		undisturbed := true
		for _, name := range append(h.senders(o), allBoxes, run.Server) {
			undisturbed = undisturbed && h.disturbances.undisturbed(name, s.from.Add(-undisturbedSpan), run.StartedAt)
		}
		if undisturbed {
			return late
		}
	}
	return 0
}

// recordReplacement records that another writer replaced a server's entry. The returned function
// records that the server rewrote its own.
func (h *history) recordReplacement(server string) (end func()) {
	return h.beginInterval(h.replacements, server)
}

// recordEvacuation records that a zone was evacuated. The returned function records the end.
func (h *history) recordEvacuation(zone string) (end func()) {
	return h.beginInterval(h.evacuations, zone)
}

// beginInterval adds an interval that begins now. The returned function records its end.
func (h *history) beginInterval(all map[string][]*interval, name string) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &interval{from: time.Now()}
	all[name] = append(all[name], s)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		s.to = time.Now()
	}
}

func meansNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest,
	}, status)
}
