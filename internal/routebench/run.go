package routebench

import (
	"fmt"
	"math/rand/v2"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/route"
)

// A request's times and sizes, in the proportions of a chat on a large model.
const (
	turnTokens   = 500
	turns        = 8
	outputMs     = 4000
	prefillMs    = 1200
	sampleMs     = 100
	reportMs     = 1000
	fullWeight   = 100
	engineSlots  = 1 << 20
	awayMs       = 20_000
	slowStartMs  = 30_000
	warmupParts  = 6
	thirds       = 3
	surgeTries   = 8
	surgeBacklog = 4
)

// run is the state of one run.
type run struct {
	scenario Scenario
	pick     picker
	random   *rand.Rand
	events   events
	now      clock.Millis
	nextMs   float64

	views    []*route.View
	engines  []*engine
	sessions []*session
	surgers  []*session
	history  *history

	owners *owners

	all          int
	requests     int
	prompt, warm float64
}

// engine is the truth about one engine.
type engine struct {
	inFlight int
	up       bool
	// steady is set while the engine was there all along.
	steady   bool
	joinedMs clock.Millis
	cache    *sessionCache
}

// session is one chat. It sends one request at a time.
type session struct {
	key  route.Key
	turn int
	busy bool
}

func newRun(scenario Scenario, pick picker, usesGrants bool) *run {
	r := &run{scenario: scenario, pick: pick, random: newRandom(scenario)}
	r.buildEngines()
	r.buildViews()
	r.sessions = r.newSessions(scenario.SessionsPerEngine * scenario.Engines)
	r.surgers = r.newSessions(int(scenario.Mean * scenario.Surge * float64(scenario.Engines) * surgeBacklog))
	r.history = newHistory(scenario)
	if usesGrants {
		r.owners = newOwners(scenario.Boxes)
	}
	r.scheduleArrival()
	r.events.add(sampleMs, r.sample)
	if scenario.ChurnMs > 0 {
		r.events.add(scenario.ChurnMs, r.churn)
	}
	return r
}

func (r *run) buildEngines() {
	for i := range r.scenario.Engines {
		size := r.scenario.CacheSessions
		if i < r.scenario.SmallCaches {
			size /= 2
		}
		r.engines = append(r.engines, &engine{up: true, steady: true, joinedMs: -slowStartMs, cache: newSessionCache(size)})
	}
}

func (r *run) buildViews() {
	members := make([]route.Member, r.scenario.Engines)
	for i := range members {
		members[i] = route.Member{
			Name:   fmt.Sprintf("engine-%04d", i),
			Weight: route.SlowStartWeight(fullWeight, -slowStartMs, 0, slowStartMs), TableWeight: fullWeight,
			Slots: engineSlots,
		}
	}
	boxes := make([]string, r.scenario.Boxes)
	for i := range boxes {
		boxes[i] = fmt.Sprintf("box-%03d", i)
	}
	for _, box := range boxes {
		r.views = append(r.views, route.NewView(members, BoundPercent, boxes, box))
	}
}

func (r *run) newSessions(count int) []*session {
	sessions := make([]*session, count)
	for i := range sessions {
		sessions[i] = &session{key: route.Key(r.random.Uint64()), turn: r.random.IntN(turns)}
	}
	return sessions
}

func (r *run) loop() {
	for {
		e, found := r.events.next()
		if !found || e.at > r.scenario.LengthMs {
			return
		}
		r.now = e.at
		e.do()
	}
}

// surging reports whether the middle third runs.
func (r *run) surging() bool {
	third := r.scenario.LengthMs / thirds
	return r.scenario.Surge > 1 && r.now >= third && r.now < 2*third
}

// measuring is false while caches fill.
func (r *run) measuring() bool { return r.now > r.scenario.LengthMs/warmupParts }

func (r *run) scheduleArrival() {
	perMs := r.scenario.Mean * float64(r.scenario.Engines) / outputMs
	if r.surging() {
		perMs *= r.scenario.Surge
	}
	r.nextMs += r.random.ExpFloat64() / perMs
	r.events.add(clock.Millis(r.nextMs), func() {
		r.scheduleArrival()
		r.request()
	})
}

func (r *run) request() {
	s := r.chooseSession()
	box := r.chooseBox()
	position := r.pick(r, box, s)
	if position == none {
		return
	}
	r.all++
	e := r.engines[position]
	tokens := float64(turnTokens * (s.turn + 1))
	warm := min(tokens, e.cache.use(s.key, tokens))
	if r.measuring() {
		r.requests++
		r.prompt += tokens
		r.warm += warm
	}
	r.begin(box, position, s, r.length(tokens-warm))
}

// length is how long a request runs: its output, and its cold part's prefill.
func (r *run) length(cold float64) clock.Millis {
	output := outputMs/2 + r.random.ExpFloat64()*outputMs/2
	return clock.Millis(output + cold/(turnTokens*turns)*prefillMs)
}

func (r *run) begin(box, position int, s *session, length clock.Millis) {
	e := r.engines[position]
	e.inFlight++
	r.views[box].Add(position, 1)
	s.busy = true
	r.events.add(r.now+length, func() {
		e.inFlight--
		r.views[box].Add(position, -1)
		r.hold(box, position)
		s.busy = false
		s.turn++
		if s.turn == turns {
			*s = session{key: route.Key(r.random.Uint64())}
		}
	})
}

func (r *run) chooseBox() int {
	if r.scenario.Uneven > 1 && r.random.Float64() < r.scenario.Uneven/float64(r.scenario.Boxes) {
		return 0
	}
	return r.random.IntN(r.scenario.Boxes)
}

// chooseSession picks who sends next; in a surge the extra requests are those of
// one organisation's sessions.
func (r *run) chooseSession() *session {
	from := r.sessions
	if r.surging() && r.random.Float64() < 1-1/r.scenario.Surge {
		from = r.surgers
	}
	for range surgeTries {
		if s := from[r.random.IntN(len(from))]; !s.busy {
			return s
		}
	}
	return &session{key: route.Key(r.random.Uint64())}
}

// sample records the truth and hands old records to the boxes as reports.
func (r *run) sample() {
	r.events.add(r.now+sampleMs, r.sample)
	r.history.add(r)
	r.history.report(r)
	for position, e := range r.engines {
		if r.now-e.joinedMs <= slowStartMs+sampleMs {
			weight := route.SlowStartWeight(fullWeight, e.joinedMs, r.now, slowStartMs)
			for _, v := range r.views {
				v.SetWeight(position, weight)
			}
		}
	}
}

// churn lets one engine leave and come back empty.
func (r *run) churn() {
	r.events.add(r.now+r.scenario.ChurnMs, r.churn)
	position := r.random.IntN(len(r.engines))
	e := r.engines[position]
	if !e.up {
		return
	}
	e.up, e.steady = false, false
	r.tellBoxes(position, true)
	r.events.add(r.now+awayMs, func() {
		e.cache.clear()
		e.up, e.joinedMs = true, r.now
		r.tellBoxes(position, false)
	})
}

// tellBoxes lets each box see a change after a delay of its own.
func (r *run) tellBoxes(position int, leaving bool) {
	for _, v := range r.views {
		delay := clock.Millis(0)
		if r.scenario.ViewLagMs > 0 {
			delay = clock.Millis(r.random.Int64N(int64(r.scenario.ViewLagMs)))
		}
		r.events.add(r.now+delay, func() { v.SetDraining(position, leaving) })
	}
}
