package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// Callers with connections of their own send two requests by turns: a usual one, and one that is particular to their
// kind.
const (
	// callerNext sends a request at once after the end of a stream.
	callerNext = "next after a stream"
	// callerRests lets its connection rest, in every other case about as long as the configuration allows.
	callerRests = "after a rest"
	// callerBody sends a body that is often too long or has no route.
	callerBody = "long body"
	// callerHalf ends its writing side after the request.
	callerHalf = "half-closed"

	firstCallerStream = 20_000
	// maxBodyBytes is the longest body by the configuration of the stand-in.
	maxBodyBytes    = 1 << 20
	bodyRangeBytes  = 8 << 20
	unknownRoute    = "nowhere"
	bodyGapMs       = 200
	idleTimeoutMs   = 3000
	idleRangeMs     = 1000
	restPoll        = 20 * time.Millisecond
	announceRangeMs = 400
	callersPerKind  = 3
	restsPerCaller  = 5
	// announceSpan is how long after SIGTERM a box announces its end, before it closes its listeners.
	announceSpan = min(2600*time.Millisecond, shutdownGraceS*time.Second/2)
	// maxUnansweredPart of the requests of a kind of caller may cross the closes of a stop.
	maxUnansweredPart = 4
)

// callerKinds returns the kinds of callers. There are more of those that send when a box is about to end.
func callerKinds() []string {
	kinds := []string{callerBody, callerHalf}
	for range callersPerKind {
		kinds = append(kinds, callerNext)
		kinds = append(kinds, slices.Repeat([]string{callerRests}, restsPerCaller)...)
	}
	return kinds
}

// caller sends requests of one kind.
type caller struct {
	kind     string
	number   int
	sequence int
	random   *rand.Rand
}

// runCaller opens one connection to a box after the other, until ctx ends.
func (f *fleet) runCaller(ctx context.Context, number int, kinds []string) {
	c := caller{
		kind: kinds[number%len(kinds)], number: number,
		random: rand.New(rand.NewPCG(f.settings.Seed, uint64(firstCallerStream+number))),
	}
	b := f.boxes[number/len(kinds)%len(f.boxes)]
	for ctx.Err() == nil {
		if connection, err := standin.Connect(b.name, f.keptAddress(b)); err == nil {
			f.useConnection(ctx, &c, b, connection)
			// The box may have closed it.
			_ = connection.Close()
		}
		if c.kind == callerBody {
			sleep(ctx, drawMs(c.random, 0, bodyGapMs))
		}
		sleep(ctx, refusedGap)
		b = f.boxes[c.random.IntN(len(f.boxes))]
	}
}

// useConnection sends requests on a connection until the box or the caller ends it, or ctx ends.
func (f *fleet) useConnection(ctx context.Context, c *caller, b *box, connection *standin.Connection) {
	particular := (c.kind == callerBody || c.kind == callerHalf) && c.random.IntN(2) == 0
	for keep := true; keep && ctx.Err() == nil; particular = !particular {
		call := c.call(particular)
		call.ID, call.Key = fmt.Sprintf("%d-c%d-%d", f.settings.Seed, c.number, c.sequence), f.drawKey(c.random)
		c.sequence++
		if particular && c.kind == callerRests && !f.rest(ctx, c.random, b, connection) {
			return
		}
		var o standin.Outcome
		if o, keep = connection.Do(call); particular {
			o.Caller = c.kind
		}
		f.history.recordOutcome(o)
	}
}

// call draws the next request without its ID.
func (c *caller) call(particular bool) standin.Call {
	call := standin.Call{Kind: []string{standin.Safe, standin.Unsafe}[c.random.IntN(2)], DeadlineMs: keptDeadlineMs}
	switch {
	case particular && isForm(c.kind):
		call.Form, call.Kind = standin.Form(c.kind), []string{standin.Safe, standin.Stream}[c.random.IntN(2)]
		// Each connection by HTTP/1.0 carries a usual request before, and this one is the last.
		call.HalfCloseLate = call.Form == standin.FormHTTP10 && c.sequence%4 == 3
	case c.kind == callerNext && !particular:
		call.Kind = standin.Stream
	case c.kind == callerBody && particular:
		call.BodyBytes, call.Chunked = maxBodyBytes/2+c.random.IntN(bodyRangeBytes), c.random.IntN(2) == 0
		call.Route = []string{"", unknownRoute}[c.random.IntN(2)]
	case particular:
		call.HalfClose = c.kind == callerHalf
		call.Kind = []string{standin.Safe, standin.Unsafe, standin.Stream}[c.random.IntN(3)]
	}
	return call
}

// rest lets a connection rest for a time, or until about the end of the announcement if its box is stopped meanwhile.
// It reports whether the box has not closed it.
func (f *fleet) rest(ctx context.Context, random *rand.Rand, b *box, connection *standin.Connection) bool {
	span := drawMs(random, 0, idleTimeoutMs)
	if random.IntN(2) == 0 {
		span = drawMs(random, idleTimeoutMs-idleRangeMs/2, idleRangeMs)
	}
	afterStop := announceSpan + drawMs(random, -announceRangeMs/2, announceRangeMs)
	began := time.Now()
	for until := began.Add(span); time.Now().Before(until) && ctx.Err() == nil; {
		if stop := f.history.lastStop(b.name); stop.Add(afterStop).After(began) {
			until = stop.Add(afterStop)
		}
		if !connection.AwaitClose(time.Now().Add(min(restPoll, time.Until(until)))) {
			return false
		}
	}
	return ctx.Err() == nil
}

// lastStop returns when a box last got SIGTERM.
func (h *history) lastStop(box string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if list := h.stops[box]; len(list) > 0 {
		return list[len(list)-1]
	}
	return time.Time{}
}

// phase is where a box was in its life when a request was sent.
type phase string

const (
	phaseServing    phase = "serving"
	phaseAnnouncing phase = "announcing a stop"
	phaseDraining   phase = "listeners closed"
)

// phaseOf returns the phase of a request's box when the request was sent, and how long ago it got SIGTERM.
func (h *history) phaseOf(o standin.Outcome) (phase, time.Duration) {
	for _, at := range h.stops[o.Box] {
		gone := slices.ContainsFunc(h.ends[o.Box], func(end time.Time) bool {
			return end.After(at) && end.Before(o.Sent)
		})
		switch since := o.Sent.Sub(at); {
		case gone || since < 0 || since > stopSpan:
		case since < announceSpan:
			return phaseAnnouncing, since
		default:
			return phaseDraining, since
		}
	}
	return phaseServing, 0
}

// callerPhase is a kind of caller and the phase of the boxes to which it sent.
type callerPhase struct {
	caller string
	phase  phase
}

func (c callerPhase) String() string { return c.caller + ", " + string(c.phase) }

// answers counts particular requests, and holds those without a complete response.
type answers struct {
	requests   int
	unanswered []standin.Outcome
}

// tooMany reports whether more requests than may be were not answered. In a stop closes may cross a part of them, and
// at any time those of callers that rest, which send when that is likely.
func (a answers) tooMany(of callerPhase) bool {
	return of.caller != callerRests && len(a.unanswered) > maxLostOnKept &&
		(of.phase == phaseServing || len(a.unanswered)*maxUnansweredPart > a.requests)
}

// checkCallers checks that boxes respond to callers of each kind. One request may cross a close, also if it is long and
// can't be written whole then.
func (h *history) checkCallers() []violation {
	groups := map[callerPhase]answers{}
	for _, o := range h.outcomes {
		if o.Caller == "" {
			continue
		}
		at, _ := h.phaseOf(o)
		group := groups[callerPhase{o.Caller, at}]
		group.requests++
		if !o.Complete && !h.endedOtherwise(o) && !h.closedBySoak(o) && !h.outlastedGrace(o) {
			group.unanswered = append(group.unanswered, o)
		}
		groups[callerPhase{o.Caller, at}] = group
	}
	violations := []violation{}
	h.lost.Callers = map[string]callerStats{}
	for of, group := range groups {
		h.lost.Callers[of.String()] = callerStats{group.requests, len(group.unanswered)}
		if group.tooMany(of) {
			violations = append(violations, violation{
				"a response to callers of each kind", group.unanswered[0].ID,
				fmt.Sprintf("%s, the first of %d of %d: %s", h.describe(group.unanswered[0]), len(group.unanswered),
					group.requests, of),
			})
		}
	}
	slices.SortFunc(violations, func(a, b violation) int { return cmp.Compare(a.Detail, b.Detail) })
	return violations
}

// callerStats counts the requests of one kind of caller, and those without a complete response.
type callerStats struct{ Requests, Unanswered int }
