package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// Servers that speak of themselves in their answers. Their troubles have a schedule of their
// own beside the other faults, so that each meets any of them.
const (
	// mostRestMs is the longest rest that a server asks for.
	mostRestMs = 4000
	// deafSpan is how long after a server asked for rest requests may still reach it, and
	// mostInRest how many may in the rest of the span.
	deafSpan   = 500 * time.Millisecond
	mostInRest = 2
)

// strikeWords has servers ask for rest, one, half or all of them, or leave by their answers
// alone, one such trouble after the other until the context ends.
func (f *fleet) strikeWords(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.settings.Seed, 4))
	for ctx.Err() == nil {
		span := time.Duration(leastMs+random.IntN(faultLastMs)) * time.Millisecond
		switch random.IntN(4) {
		case 0:
			f.leaveByAnswers(ctx, f.servers[random.IntN(len(f.servers))])
		case 1:
			f.askRest(ctx, f.servers, span)
		case 2:
			f.askRest(ctx, f.servers[:len(f.servers)/2], span)
		default:
			at := random.IntN(len(f.servers))
			f.askRest(ctx, f.servers[at:at+1], span)
		}
		sleep(ctx, time.Duration(leastMs+random.IntN(faultGapMs))*time.Millisecond)
	}
}

// sleep waits for a span, or until the context ends.
func sleep(ctx context.Context, span time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	<-ctx.Done()
}

// incarnation is the server's current one.
func (s *server) incarnation() *standin.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// askRest has servers ask for rest for a while.
func (*fleet) askRest(ctx context.Context, servers []*server, span time.Duration) {
	asking := []*standin.Server{}
	for _, s := range servers {
		current := s.incarnation()
		current.AskRest(mostRestMs)
		asking = append(asking, current)
	}
	sleep(ctx, span)
	for _, one := range asking {
		one.AskRest(0)
	}
}

// leaveByAnswers has a server say in its answers that it leaves while its entry stays as it is,
// serve on for longer than boxes may send it work, and go.
func (f *fleet) leaveByAnswers(ctx context.Context, s *server) {
	current := s.incarnation()
	current.SayLeaving()
	sleep(ctx, lingerSpan)
	if s.incarnation() != current {
		return
	}
	f.entries.Lock()
	defer f.entries.Unlock()
	f.store.RemoveServer(current.ID)
	f.incarnate(s)
}

func (l *ledger) noteArrival(a standin.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// place is a box at an incarnation of a server.
type place struct{ box, server string }

// visit is a request of a box at a server.
type visit struct {
	standin.Arrival
	outcome standin.Outcome
}

// visits are the requests of each box at each server, in the order of their arrival.
func (l *ledger) visits() map[place][]visit {
	outcomes := map[string]standin.Outcome{}
	for _, o := range l.outcomes {
		outcomes[o.ID] = o
	}
	all := map[place][]visit{}
	for _, a := range l.arrivals {
		o := outcomes[a.RequestID]
		at := place{box: o.Box, server: a.Server}
		all[at] = append(all[at], visit{Arrival: a, outcome: o})
	}
	for _, list := range all {
		slices.SortFunc(list, func(a, b visit) int { return a.At.Compare(b.At) })
	}
	return all
}

// checkWords looks whether boxes heeded what servers said of themselves.
func (l *ledger) checkWords() []finding {
	findings := []finding{}
	for at, list := range l.visits() {
		for _, v := range list {
			if count := l.inRest(at, list, v); count > mostInRest {
				findings = append(findings, finding{
					"rest that a server asked for", v.RequestID,
					fmt.Sprintf("%s sent %s %d requests in %d ms of rest", at.box, at.server, count, v.RestMs),
				})
			}
		}
		if late := l.afterLeaving(at, list); late != "" {
			findings = append(findings, finding{
				"no new work after an answer that says leaving", late, at.box + " sent it to " + at.server,
			})
		}
	}
	return findings
}

// inRest counts the requests that came in the rest that a server asked for in its answer to
// one, if nothing struck the box or the server's link meanwhile.
func (l *ledger) inRest(at place, list []visit, asked visit) int {
	from := asked.At.Add(deafSpan + lateSlack)
	until := asked.At.Add(time.Duration(asked.RestMs) * time.Millisecond)
	if !until.After(from) || !l.undisturbed(at, asked.At, until) {
		return 0
	}
	count := 0
	for _, v := range list {
		if v.At.After(from) && v.At.Before(until) {
			count++
		}
	}
	return count
}

// afterLeaving returns a request that a client sent too late after the box had passed on an
// answer by which the server leaves, or "".
func (l *ledger) afterLeaving(at place, list []visit) string {
	var told time.Time
	for _, v := range list {
		if v.Leaving && v.outcome.Whole && (told.IsZero() || v.outcome.Ended.Before(told)) {
			told = v.outcome.Ended
		}
	}
	for _, v := range list {
		late := !told.IsZero() && v.outcome.Sent.After(told.Add(leaveSpan+lateSlack))
		if late && l.undisturbed(at, told, v.At) {
			return v.RequestID
		}
	}
	return ""
}

// undisturbed reports whether nothing struck a box, or a server's link, in a span.
func (l *ledger) undisturbed(at place, from, to time.Time) bool {
	return l.touch.calm(at.box, from, to) && l.touch.calm(idOf(at.server), from, to)
}

// idOf is the id of a server whose id and start are given.
func idOf(incarnation string) string {
	id, _, _ := strings.Cut(incarnation, "@")
	return id
}
