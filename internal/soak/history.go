package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// finding is a broken promise.
type finding struct {
	Promise string
	Request string
	Detail  string
}

func (f finding) String() string {
	return fmt.Sprintf("%s: request %s: %s", f.Promise, f.Request, f.Detail)
}

// ledger notes what clients and servers saw.
type ledger struct {
	mu       sync.Mutex
	runs     map[string][]standin.Run
	outcomes []standin.Outcome
	// tenants is whose each key is, or was.
	tenants map[string]string
	// revoked is when the removal of a key was acknowledged.
	revoked map[string]time.Time
	// served counts successes by kind.
	served map[string]int
	// left is when a server's word that it leaves was acknowledged.
	left  map[string]time.Time
	touch touch
	// unnamed is when another writer's entry took a server's place, and when it wrote its own
	// again.
	unnamed map[string][]*span
	// arrivals are the requests that reached the server they were meant for.
	arrivals []standin.Arrival
	// ends are when servers ended under the fatal request.
	ends []time.Time
	// timed is set when bounds in time are checked, too.
	timed bool
}

func newLedger() *ledger {
	return &ledger{
		runs: map[string][]standin.Run{}, tenants: map[string]string{}, revoked: map[string]time.Time{},
		served: map[string]int{}, left: map[string]time.Time{}, touch: touch{}, unnamed: map[string][]*span{},
	}
}

func (l *ledger) noteRun(run standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[run.RequestID] = append(l.runs[run.RequestID], run)
}

func (l *ledger) noteOutcome(o standin.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

func (l *ledger) noteKey(key, tenant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tenants[key] = tenant
}

func (l *ledger) noteRevoked(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked[key] = time.Now()
}

func (l *ledger) noteLeft(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left[server] = time.Now()
}

// check returns the promises that were broken. It is called when nothing runs any
// more, so that what never ran never will.
func (l *ledger) check() []finding {
	l.mu.Lock()
	defer l.mu.Unlock()
	findings := []finding{}
	known := map[string]bool{}
	for _, o := range l.outcomes {
		known[o.ID] = true
		findings = append(findings, l.checkOutcome(o)...)
	}
	for id := range l.runs {
		if !known[id] {
			findings = append(findings, finding{"nobody asked for it", id, "a server ran it"})
		}
	}
	findings = append(findings, l.checkFatal()...)
	return append(findings, l.checkWords()...)
}

func (l *ledger) checkOutcome(o standin.Outcome) []finding {
	runs := l.runs[o.ID]
	findings := []finding{}
	broken := func(promise, format string, arguments ...any) {
		findings = append(findings, finding{promise, o.ID, fmt.Sprintf(format, arguments...)})
	}
	once := o.Kind == standin.Unsafe || o.Kind == standin.Stream
	if once && len(runs) > 1 {
		broken("at most one run", "%s ran %d times", o.Kind, len(runs))
	}
	if once && promisesNotRun(o.Status) && len(runs) > 0 {
		broken("not run is true", "%s got %d and ran at %s", o.Kind, o.Status, runs[0].Server)
	}
	if o.Status == http.StatusOK && o.Whole {
		l.served[o.Kind]++
		if !o.Sound() {
			broken("whole answer to its own request", "%s got %q, seal %q", o.Kind, o.Answer, o.Seal)
		}
		if len(runs) == 0 {
			broken("whole answer to its own request", "no server ran it")
		}
	}
	for _, run := range runs {
		findings = append(findings, l.checkRun(o, run)...)
	}
	return findings
}

func (l *ledger) checkRun(o standin.Outcome, run standin.Run) []finding {
	findings := []finding{}
	broken := func(promise, format string, arguments ...any) {
		findings = append(findings, finding{promise, o.ID, fmt.Sprintf(format, arguments...)})
	}
	if run.Key || run.Forged != "" {
		broken("headers are the system's", "key passed on: %v, forged: %q", run.Key, run.Forged)
	}
	if want, known := l.tenants[o.Key]; !known || run.Tenant != want {
		broken("tenant of the key", "ran as %q with a key of %q", run.Tenant, want)
	}
	if at, gone := l.revoked[o.Key]; gone && o.Sent.Sub(at) > RevokeMs*time.Millisecond {
		broken("revocation", "ran, though sent %s after its key's removal", o.Sent.Sub(at))
	}
	if run.DeadlineMs > o.DeadlineMs {
		broken("deadline", "the server got %d ms of %d", run.DeadlineMs, o.DeadlineMs)
	}
	if late := l.lateAfterForeign(o, run); late > 0 {
		broken("no new work by another writer's entry", "%s ran it %s after its entry was replaced", run.Server, late)
	}
	if late := l.lateAfterLeaving(o, run); late > 0 {
		broken("no new work after leaving", "%s ran it %s after it had said that it leaves", run.Server, late)
	}
	return findings
}

const (
	// leaveSpan is how long boxes may send new work to a server that leaves.
	leaveSpan = 2 * time.Second
	// contactSpan is how long a box must have been undisturbed to be held to that.
	contactSpan = 3 * time.Second
	// lateSlack is for the machine that the soak runs on.
	lateSlack = 300 * time.Millisecond
)

// lateAfterLeaving is how long after a server's word that it leaves a box that was
// undisturbed sent it a request, if that is too long.
func (l *ledger) lateAfterLeaving(o standin.Outcome, run standin.Run) time.Duration {
	at, left := l.left[run.Server]
	late := run.Began.Sub(at)
	if !l.timed || !left || late <= leaveSpan+lateSlack {
		return 0
	}
	for _, name := range []string{everywhere, o.Box, run.Server} {
		if !l.touch.calm(name, at.Add(-contactSpan), run.Began) {
			return 0
		}
	}
	return late
}

// lateAfterForeign is how long after another writer replaced a server's entry a box that was
// undisturbed sent it a request, if that is too long.
func (l *ledger) lateAfterForeign(o standin.Outcome, run standin.Run) time.Duration {
	for _, s := range l.unnamed[run.Server] {
		late := run.Began.Sub(s.from)
		if !l.timed || late <= leaveSpan+lateSlack || !s.to.IsZero() && run.Began.After(s.to) {
			continue
		}
		calm := true
		for _, name := range []string{everywhere, o.Box, run.Server} {
			calm = calm && l.touch.calm(name, s.from.Add(-contactSpan), run.Began)
		}
		if calm {
			return late
		}
	}
	return 0
}

// noteUnnamed notes that another writer replaced a server's entry, and returns what notes that
// the server wrote its own again.
func (l *ledger) noteUnnamed(server string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &span{from: time.Now()}
	l.unnamed[server] = append(l.unnamed[server], s)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.to = time.Now()
	}
}

func promisesNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest,
	}, status)
}
