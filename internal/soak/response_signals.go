package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// Servers signal in their responses that they need backoff or that they drain. These signals have
// their own schedule beside the other faults, so that each can coincide with any fault.
const (
	// maxBackoffMs is the longest backoff that a server requests.
	maxBackoffMs = 4000
	// backoffGrace is how long after a server requested backoff requests may still reach it.
	// maxSendsInBackoff is how many requests may reach it after backoffGrace until the backoff
	// ends.
	backoffGrace      = 500 * time.Millisecond
	maxSendsInBackoff = 2
)

// injectSignals makes one, half or all of the servers request backoff, or one server drain by its
// responses alone. It starts one such signal after the other until ctx ends.
func (f *fleet) injectSignals(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.settings.Seed, 4))
	for ctx.Err() == nil {
		duration := time.Duration(minDelayMs+random.IntN(faultRangeMs)) * time.Millisecond
		switch random.IntN(4) {
		case 0:
			f.drainBySignal(ctx, f.servers[random.IntN(len(f.servers))])
		case 1:
			f.requestBackoff(ctx, f.servers, duration)
		case 2:
			f.requestBackoff(ctx, f.servers[:len(f.servers)/2], duration)
		default:
			index := random.IntN(len(f.servers))
			f.requestBackoff(ctx, f.servers[index:index+1], duration)
		}
		sleep(ctx, time.Duration(minDelayMs+random.IntN(faultGapMs))*time.Millisecond)
	}
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	<-ctx.Done()
}

// incarnation returns the server's current incarnation.
func (s *server) incarnation() *standin.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// requestBackoff makes servers request backoff for a time.
func (*fleet) requestBackoff(ctx context.Context, servers []*server, duration time.Duration) {
	requesting := []*standin.Server{}
	for _, s := range servers {
		current := s.incarnation()
		current.ReportBackoff(maxBackoffMs)
		requesting = append(requesting, current)
	}
	sleep(ctx, duration)
	for _, one := range requesting {
		one.ReportBackoff(0)
	}
}

// drainBySignal makes a server signal in its responses that it drains, while its entry stays
// unchanged. The server continues to serve for longer than boxes may send it work, and is then
// replaced.
func (f *fleet) drainBySignal(ctx context.Context, s *server) {
	current := s.incarnation()
	current.ReportDraining()
	sleep(ctx, drainSpan)
	if s.incarnation() != current {
		return
	}
	f.entriesMu.Lock()
	defer f.entriesMu.Unlock()
	f.store.RemoveServer(current.ID)
	f.startIncarnation(s)
}

func (h *history) recordArrival(a standin.Arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.arrivals = append(h.arrivals, a)
	h.arrivalsByRequest[a.RequestID] = append(h.arrivalsByRequest[a.RequestID], a)
}

// senders returns the box that got a request from its client, and the boxes that sent it to servers.
func (h *history) senders(o standin.Outcome) []string {
	boxes := []string{o.Box}
	for _, a := range h.arrivalsByRequest[o.ID] {
		if a.Box != "" && !slices.Contains(boxes, a.Box) {
			boxes = append(boxes, a.Box)
		}
	}
	return boxes
}

// boxServer is a pair of a box and an incarnation of a server.
type boxServer struct{ box, server string }

// delivery is a request that a box sent to a server, with the outcome of the request.
type delivery struct {
	standin.Arrival
	outcome standin.Outcome
}

// deliveries returns the requests that each box sent to each server, in order of arrival.
func (h *history) deliveries() map[boxServer][]delivery {
	outcomes := map[string]standin.Outcome{}
	for _, o := range h.outcomes {
		outcomes[o.ID] = o
	}
	all := map[boxServer][]delivery{}
	for _, a := range h.arrivals {
		o := outcomes[a.RequestID]
		pair := boxServer{box: cmp.Or(a.Box, o.Box), server: a.Server}
		all[pair] = append(all[pair], delivery{Arrival: a, outcome: o})
	}
	for _, list := range all {
		slices.SortFunc(list, func(a, b delivery) int { return a.At.Compare(b.At) })
	}
	return all
}

// checkSignals checks whether boxes respected the signals in servers' responses.
func (h *history) checkSignals() []violation {
	violations := []violation{}
	for pair, list := range h.deliveries() {
		for _, v := range list {
			if sent := h.sendsInBackoff(pair, list, v); len(sent) > maxSendsInBackoff {
				violations = append(violations, violation{
					"Retry-After is respected", v.RequestID,
					fmt.Sprintf("%s sent %s %d requests in a backoff of %d ms from %s: %s", pair.box, pair.server, len(sent),
						v.BackoffMs, v.At.Format(timeOfDay), strings.Join(sent, ", ")),
				})
			}
		}
		if late := h.lateAfterSignal(pair, list); late != "" {
			violations = append(violations, violation{
				"no new work after a Server-Leaving answer", late, pair.box + " sent it to " + pair.server,
			})
		}
	}
	return violations
}

// earliestSend returns the earliest time at which the box can have sent a request.
func (v delivery) earliestSend() time.Time {
	if v.EarliestSend.IsZero() {
		return v.At
	}
	return v.EarliestSend
}

// sendsInBackoff returns the requests that were sent and arrived during the backoff that a server requested in its
// refusal, with the times of their arrival. It returns none if the box or the server's link was disturbed meanwhile, or
// if the client left: the box closes its connection then, and may not receive the refusal. So it does with a request
// that was held back on its way, and with an attempt that it has given up.
func (h *history) sendsInBackoff(pair boxServer, list []delivery, refusal delivery) (sent []string) {
	timedOut := strings.Contains(refusal.outcome.Err, context.DeadlineExceeded.Error())
	if refusal.Abandoned || cancelled(refusal.outcome) || timedOut {
		return nil
	}
	from := refusal.At.Add(backoffGrace + timingSlack)
	until := refusal.At.Add(time.Duration(refusal.BackoffMs) * time.Millisecond)
	if !until.After(from) || !h.noDisturbance(pair, refusal.At, until) ||
		h.separated(pair.box, refusal.outcome.Sent, refusal.At) {
		return nil
	}
	for _, v := range list {
		if v.earliestSend().After(from) && v.At.Before(until) {
			sent = append(sent, v.RequestID+" at "+v.At.Format(timeOfDay))
		}
	}
	return sent
}

// lateAfterSignal returns the id of a request that a client sent too late after the box had
// forwarded a response in which the server signals that it drains, or "".
func (h *history) lateAfterSignal(pair boxServer, list []delivery) string {
	var signalled time.Time
	for _, v := range list {
		if v.Draining && v.outcome.Complete && (signalled.IsZero() || v.outcome.Ended.Before(signalled)) {
			signalled = v.outcome.Ended
		}
	}
	for _, v := range list {
		late := !signalled.IsZero() && v.outcome.Sent.After(signalled.Add(maxPropagation+timingSlack))
		if late && h.noDisturbance(pair, signalled, v.At) {
			return v.RequestID
		}
	}
	return ""
}

// noDisturbance reports whether neither the box nor the server's link was disturbed during the
// given time, nor the box separated from the server.
func (h *history) noDisturbance(pair boxServer, from, to time.Time) bool {
	return !h.separated(pair.box, from, to) && h.disturbances.undisturbed(pair.box, from, to) &&
		h.disturbances.undisturbed(idOf(pair.server), from, to)
}

// idOf returns the server id of an incarnation, which is written as id@start.
func idOf(incarnation string) string {
	id, _, _ := strings.Cut(incarnation, "@")
	return id
}
