package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Another process may have a port of a box from a start on, for longer than any wait.
const (
	heldPortGapMs = 2500
	// lastPeersPort leaves a box fewer ports than a run may hold.
	lastPeersPort = peersPort + 2
	// maxStartSpan is how long after its start a box may leave callers without a response, beside the time for which its
	// threads waited for a processor.
	maxStartSpan = 3 * time.Second
)

func heldPortFaults() []processFault {
	return []processFault{{"a port held from a start on", planHeldPort}}
}

// injectHeldPorts restarts boxes of which another process takes a port until the run ends, until ctx ends.
func (f *fleet) injectHeldPorts(ctx context.Context) {
	f.play(ctx, rand.New(rand.NewPCG(f.settings.Seed, 15)), heldPortFaults(), heldPortGapMs)
}

func planHeldPort(f *fleet, b *box, random *rand.Rand) func() error {
	chosen := boxPorts()[1+random.IntN(3)]
	return func() error {
		b.changing.Lock()
		defer b.changing.Unlock()
		before := b.process.current()
		err := f.stopAndStart(b, func(b *box) error {
			if err := b.process.awaitStop(); err != nil {
				return err
			}
			f.holdPort(b, chosen.network, chosen.port)
			return nil
		}, 0)
		if next := b.process.current(); next != before {
			f.awaitService(b, next)
		}
		return err
	}
}

// holdPort takes the readiness port of a box, or the first one for other boxes that is free, until the run ends.
func (f *fleet) holdPort(b *box, network string, port int) {
	last := port
	if port == peersPort {
		last = lastPeersPort
	}
	for ; port <= last; port++ {
		held, err := b.listenOn(network, port)
		if err != nil {
			// It is held already.
			continue
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		// The run has ended when it is released.
		f.closers = append(f.closers, func() { _ = held.Close() })
		return
	}
}

// service is the time from the start of a process to its first response to a caller.
type service struct {
	box      string
	from, to time.Time
	// waited is how long a thread of the box waited for a processor meanwhile, at most.
	waited time.Duration
}

// awaitService waits until a process responds to a caller, unless it is asked to end before.
func (f *fleet) awaitService(b *box, one *incarnation) {
	before := b.process.times()
	for !b.responds() {
		if b.process.askedToEnd(one) {
			return
		}
		if time.Since(one.started) > maxStartSpan+stopSpan {
			break
		}
		time.Sleep(probeInterval)
	}
	now := time.Now()
	waited := b.process.times().waitedSince(before, now.Sub(one.started))
	f.history.recordService(service{box: b.name, from: one.started, to: now, waited: waited})
}

// responds reports whether the box answers a request, whatever the status.
func (b *box) responds() bool {
	client := http.Client{Timeout: maxStartSpan, Transport: &http.Transport{DisableKeepAlives: true}}
	address := net.JoinHostPort(b.ip, strconv.Itoa(callersPort))
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	return err == nil && response.Body.Close() == nil
}

// askedToEnd reports whether a process was asked to end, or has ended.
func (p *process) askedToEnd(i *incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !i.asked.terminated.IsZero() || i.asked.killed || i.asked.paused || !i.running()
}

func (h *history) recordService(s service) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.services = append(h.services, s)
}

// checkServices checks that boxes serve callers soon after their start, whatever other ports others have.
func (h *history) checkServices() []violation {
	violations := []violation{}
	unplanned := h.disturbances.without(func(s *interval) bool { return s.planned })
	for _, s := range h.services {
		span := s.to.Sub(s.from)
		h.lost.LongestStartMs = max(h.lost.LongestStartMs, span.Milliseconds())
		if span <= maxStartSpan+s.waited || !unplanned.undisturbed(s.box, s.from, s.to) ||
			!unplanned.undisturbed(allBoxes, s.from, s.to) {
			continue
		}
		violations = append(violations, violation{
			"a box serves callers soon after its start", "of a probe",
			fmt.Sprintf("%s responded %s after its start at %s; its threads waited %s for a processor",
				s.box, millis(span), s.from.Format(timeOfDay), millis(s.waited)),
		})
	}
	return violations
}
