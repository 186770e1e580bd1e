package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Whoever restarts a box may start the next process before the one before it has ended.
const (
	// The next process is started at the SIGTERM, or less than maxOverlapMs later, and gets one itself less than
	// maxServedMs later, at most maxOverlaps in a row.
	maxOverlapMs  = 3000
	maxServedMs   = 3000
	maxOverlaps   = 3
	overlapGapMs  = 1900
	probeInterval = 10 * time.Millisecond
	// maxRefused is how long a box may refuse connections while a process runs that was not asked to stop and was
	// started more than startSpan before, beside timingSlack and the time for which its threads waited for a processor.
	maxRefused = 300 * time.Millisecond
	startSpan  = 500 * time.Millisecond
)

func overlapFaults() []processFault {
	return []processFault{{"restart that overlaps", planOverlap}}
}

// injectOverlaps restarts boxes without waiting for the ends of processes, until ctx ends.
func (f *fleet) injectOverlaps(ctx context.Context) {
	f.play(ctx, rand.New(rand.NewPCG(f.settings.Seed, 12)), overlapFaults(), overlapGapMs)
}

// overlap is a SIGTERM to the most recently started process and the start of the next one after a delay.
type overlap struct {
	// start is the time from the SIGTERM to the start, served that from the start to the next SIGTERM.
	start, served time.Duration
}

// planOverlap restarts a box once or several times in a row.
func planOverlap(f *fleet, b *box, random *rand.Rand) func() error {
	list := []overlap{}
	for range 1 + random.IntN(maxOverlaps) {
		start := drawMs(random, 0, maxOverlapMs) * time.Duration(random.IntN(2))
		list = append(list, overlap{start, drawMs(random, 0, maxServedMs)})
	}
	return func() error { return f.restartBeside(b, list) }
}

// restartBeside plays overlaps, and waits until all processes that got SIGTERM have ended.
func (f *fleet) restartBeside(b *box, list []overlap) error {
	if !f.beginStop() {
		return nil
	}
	defer f.endStop()
	// The box finds its settings and its ports as they should be, but for those that its own processes hold.
	b.changing.Lock()
	defer b.changing.Unlock()
	defer f.disturbAsPlanned(b.name)()
	defer f.probe(b)()
	stopped := []*incarnation{}
	for i, one := range list {
		last := b.process.current()
		if err := b.process.signalTo(last, syscall.SIGTERM); err != nil {
			return err
		}
		stopped = append(stopped, last)
		time.Sleep(one.start)
		if err := b.process.startBeside(last); err != nil {
			return err
		}
		if i+1 < len(list) {
			time.Sleep(one.served)
		}
	}
	for _, one := range stopped {
		if err := b.process.awaitStopOf(one); err != nil {
			return err
		}
	}
	// Those that did not wait for the ports have ended.
	return b.process.start()
}

// refusal is a time in which a box refused connections although one of its processes should have served.
type refusal struct {
	box      string
	from, to time.Time
	// waited is how long a thread of the box waited for a processor meanwhile, at most.
	waited time.Duration
}

// probe connects to a box all the time, until the returned function is called and the box accepts a connection.
func (f *fleet) probe(b *box) (end func()) {
	ended, probing := make(chan struct{}), sync.WaitGroup{}
	probing.Go(func() {
		p := prober{box: b.name, serves: b.process.shouldServe, times: b.process.times, record: f.history.recordRefusal}
		defer func() { p.observe(time.Now(), true) }()
		var until time.Time
		for until.IsZero() || time.Now().Before(until) {
			accepted := b.accepts()
			p.observe(time.Now(), accepted)
			if isClosed(ended) {
				if accepted {
					return
				}
				if until.IsZero() {
					until = time.Now().Add(stopSpan)
				}
			}
			time.Sleep(probeInterval)
		}
	})
	return func() {
		close(ended)
		probing.Wait()
	}
}

// accepts reports whether the box accepts a connection of a caller.
func (b *box) accepts() bool {
	dialer := net.Dialer{Timeout: maxRefused}
	connection, err := dialer.DialContext(context.Background(), "tcp", net.JoinHostPort(b.ip, strconv.Itoa(callersPort)))
	if err != nil {
		return false
	}
	// The box may have closed it.
	_ = connection.Close()
	return true
}

// prober records for how long a box refuses connections.
type prober struct {
	box    string
	serves func(now time.Time) bool
	times  func() threadTimes
	record func(r refusal)
	since  time.Time
	before threadTimes
}

// observe takes the result of one connection.
func (p *prober) observe(now time.Time, accepted bool) {
	refused := !accepted && p.serves(now)
	switch {
	case refused && p.since.IsZero():
		p.since, p.before = now, p.times()
	case !refused && !p.since.IsZero():
		p.record(refusal{p.box, p.since, now, p.times().waitedSince(p.before, now.Sub(p.since))})
		p.since = time.Time{}
	}
}

// shouldServe reports whether the most recently started process was not asked to stop and had the time to start. Once
// the run has ended one that could not receive signals yet, nothing serves until the next start.
func (p *process) shouldServe(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.endedEarly && p.asked.terminated.IsZero() && !p.asked.killed && now.Sub(p.started) > startSpan
}

// threadTimes are the threads of a box. The kernel counts a wait for a processor once it has ended.
type threadTimes struct {
	waits map[string]time.Duration
	// ready holds what the kernel tells of the threads that run or wait at this time.
	ready map[string]string
	// ran is for how long all threads of one process have run.
	ran time.Duration
}

// times returns the threads of the processes that are running.
func (p *process) times() threadTimes {
	t := threadTimes{waits: map[string]time.Duration{}, ready: map[string]string{}}
	for _, i := range p.all() {
		if !i.running() {
			continue
		}
		one := timesOf(i.command.Process.Pid)
		maps.Copy(t.waits, one.waits)
		maps.Copy(t.ready, one.ready)
	}
	return t
}

// waitedSince returns how long a thread waited for a processor since an earlier time, at most: all the time if it was
// ready at both and has not run.
func (t threadTimes) waitedSince(before threadTimes, span time.Duration) time.Duration {
	for thread, content := range t.ready {
		if earlier, ready := before.ready[thread]; ready && earlier == content {
			return span
		}
	}
	return longestWait(before.waits, t.waits)
}

func (h *history) recordRefusal(r refusal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusals = append(h.refusals, r)
}

// checkRefusals checks that the next process of a box takes over soon after the one before has closed its listeners.
func (h *history) checkRefusals() []violation {
	bound := maxRefused + timingSlack
	if h.releases {
		// The other release may keep the ports until it has ended.
		bound += stopSpan
	}
	violations := []violation{}
	unplanned := h.disturbances.without(func(s *interval) bool { return s.planned })
	for _, r := range h.refusals {
		span := r.to.Sub(r.from)
		h.lost.LongestRefusalMs = max(h.lost.LongestRefusalMs, span.Milliseconds())
		from := r.from.Add(-undisturbedSpan)
		if span <= bound+r.waited || !unplanned.undisturbed(r.box, from, r.to) ||
			!unplanned.undisturbed(allBoxes, from, r.to) {
			continue
		}
		violations = append(violations, violation{
			"the next process accepts connections soon", "of a probe",
			fmt.Sprintf("%s refused connections for %s from %s on, although a process was to serve that had been started "+
				"before; its threads waited %s for a processor",
				r.box, millis(span), r.from.Format(timeOfDay), millis(r.waited)),
		})
	}
	return violations
}
