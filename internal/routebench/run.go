package routebench

import (
	"fmt"
	"math/rand/v2"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/route"
)

// Times and sizes of requests, in the proportions of a chat with a large model, and parameters of the simulation.
const (
	turnTokens      = 500
	turns           = 8
	outputMs        = 4000
	prefillMs       = 1200
	sampleMs        = 100
	reportMs        = 1000
	fullWeight      = 100
	engineSlots     = 1 << 20
	downtimeMs      = 20_000
	slowStartMs     = 30_000
	warmupDivisor   = 6
	thirds          = 3
	maxSessionTries = 8
	// sessionRatio is the number of surge sessions per request in flight.
	sessionRatio = 4
)

// run is the state of one run.
type run struct {
	scenario Scenario
	pick     picker
	random   *rand.Rand
	events   events
	now      clock.Millis
	nextMs   float64

	views         []*route.View
	engines       []*engine
	sessions      []*session
	surgeSessions []*session
	history       *history

	owners *owners

	allRequests                int
	requests                   int
	promptTokens, cachedTokens float64
}

// engine is the true state of an engine.
type engine struct {
	inFlight int
	up       bool
	// stable is set as long as the engine has never left.
	stable   bool
	joinedMs clock.Millis
	cache    *sessionCache
}

// session is a chat, which sends one request at a time.
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
	r.surgeSessions = r.newSessions(int(scenario.Mean * scenario.SurgeFactor * float64(scenario.Engines) * sessionRatio))
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
		r.engines = append(r.engines, &engine{up: true, stable: true, joinedMs: -slowStartMs, cache: newSessionCache(size)})
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
		e.action()
	}
}

// surging reports whether the surge in the middle third of the run is active.
func (r *run) surging() bool {
	third := r.scenario.LengthMs / thirds
	return r.scenario.SurgeFactor > 1 && r.now >= third && r.now < 2*third
}

// measuring reports whether the warm-up, in which the caches fill, is over.
func (r *run) measuring() bool { return r.now > r.scenario.LengthMs/warmupDivisor }

func (r *run) scheduleArrival() {
	perMs := r.scenario.Mean * float64(r.scenario.Engines) / outputMs
	if r.surging() {
		perMs *= r.scenario.SurgeFactor
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
	r.allRequests++
	e := r.engines[position]
	tokens := float64(turnTokens * (s.turn + 1))
	cachedTokens := min(tokens, e.cache.use(s.key, tokens))
	if r.measuring() {
		r.requests++
		r.promptTokens += tokens
		r.cachedTokens += cachedTokens
	}
	r.begin(box, position, s, r.length(tokens-cachedTokens))
}

// length returns the duration of a request: the time of its output plus the prefill of its uncached tokens.
func (r *run) length(uncachedTokens float64) clock.Millis {
	output := outputMs/2 + r.random.ExpFloat64()*outputMs/2
	return clock.Millis(output + uncachedTokens/(turnTokens*turns)*prefillMs)
}

func (r *run) begin(box, position int, s *session, length clock.Millis) {
	e := r.engines[position]
	e.inFlight++
	r.views[box].Add(position, 1)
	s.busy = true
	r.events.add(r.now+length, func() {
		e.inFlight--
		r.views[box].Add(position, -1)
		r.reportInFlight(box, position)
		s.busy = false
		s.turn++
		if s.turn == turns {
			*s = session{key: route.Key(r.random.Uint64())}
		}
	})
}

func (r *run) chooseBox() int {
	if r.scenario.FirstBoxFactor > 1 && r.random.Float64() < r.scenario.FirstBoxFactor/float64(r.scenario.Boxes) {
		return 0
	}
	return r.random.IntN(r.scenario.Boxes)
}

// chooseSession picks the session that sends the next request. During a surge the additional requests belong to the
// sessions of one organisation.
func (r *run) chooseSession() *session {
	from := r.sessions
	if r.surging() && r.random.Float64() < 1-1/r.scenario.SurgeFactor {
		from = r.surgeSessions
	}
	for range maxSessionTries {
		if s := from[r.random.IntN(len(from))]; !s.busy {
			return s
		}
	}
	return &session{key: route.Key(r.random.Uint64())}
}

// sample records the true loads, delivers delayed load reports to the boxes, and updates the slow-start weights.
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

// churn takes a random engine down, which rejoins later with an empty cache.
func (r *run) churn() {
	r.events.add(r.now+r.scenario.ChurnMs, r.churn)
	position := r.random.IntN(len(r.engines))
	e := r.engines[position]
	if !e.up {
		return
	}
	e.up, e.stable = false, false
	r.notifyBoxes(position, true)
	r.events.add(r.now+downtimeMs, func() {
		e.cache.clear()
		e.up, e.joinedMs = true, r.now
		r.notifyBoxes(position, false)
	})
}

// notifyBoxes notifies each box of a change after a random delay.
func (r *run) notifyBoxes(position int, leaving bool) {
	for _, v := range r.views {
		delay := clock.Millis(0)
		if r.scenario.ViewLagMs > 0 {
			delay = clock.Millis(r.random.Int64N(int64(r.scenario.ViewLagMs)))
		}
		r.events.add(r.now+delay, func() { v.SetDraining(position, leaving) })
	}
}
