package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/pace"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/registry"
)

// The simulation in this file plays a light load on engines of which some are slow, on the decisions of several boxes.
// Engines prefill one prompt at a time, and then send events for a while.
const (
	slowBoxes    = 6
	slowEngines  = 12
	slowSessions = 300
	// A prefill takes slowFixedMs and slowPerTokenMs for each token, and the events of a response slowDecodeMs.
	slowFixedMs     = 5
	slowPerTokenMs  = 0.01
	slowDecodeMs    = 300
	slowObjectiveMs = 30
	slowPingMs      = 250
	// slowNewsMs is the delay of a message about a reported pace, and slowHousekeepingMs that about a learned one.
	slowNewsMs         = 2
	slowHousekeepingMs = 100
)

// slowEngine prefills one prompt at a time.
type slowEngine struct {
	freeMs           clock.Millis
	running, waiting int
	cached           map[string]bool
}

// slowLoad is one run.
type slowLoad struct {
	*eventSimulation
	t       *testing.T
	engines map[string]*slowEngine
	list    []registry.Upstream
	// percent returns the pace of an engine at a time, and report the pace that it reports, or 0 for none.
	percent func(engine string, at clock.Millis) int
	report  func(engine string) int
	// exchanges is set if boxes tell each other of findings.
	exchanges bool
	// perSecond is the rate of requests per engine.
	perSecond float64
	// countedMs is from when requests sent to slow engines are counted.
	countedMs clock.Millis

	asked, inTime, counted, toSlow int
}

func newSlowLoad(t *testing.T, seed uint64) *slowLoad {
	t.Helper()
	list := testUpstreams("e", slowEngines, 16)
	s := &slowLoad{
		eventSimulation: newEventSimulation(seed, slowBoxes, list), t: t, list: list, engines: map[string]*slowEngine{},
		exchanges: true, perSecond: 12,
	}
	s.report = func(engine string) int { return s.percent(engine, s.now) }
	for _, u := range list {
		s.engines[u.ID] = &slowEngine{cached: map[string]bool{}}
	}
	return s
}

// inSpells makes each engine slow for 15% of the time, in spells of 600 ms.
func (s *slowLoad) inSpells(percent int) {
	const spellMs, periodMs = 600, 4000
	phases := map[string]clock.Millis{}
	for _, u := range s.list {
		phases[u.ID] = clock.Millis(s.random.IntN(periodMs))
	}
	s.slowWhen(percent, func(engine string, at clock.Millis) bool { return (at+phases[engine])%periodMs < spellMs })
}

// throughout makes some engines slow all the time.
func (s *slowLoad) throughout(count, percent int) {
	slow := map[string]bool{}
	for _, u := range s.list[:count] {
		slow[u.ID] = true
	}
	s.slowWhen(percent, func(engine string, _ clock.Millis) bool { return slow[engine] })
}

func (s *slowLoad) slowWhen(percent int, slow func(engine string, at clock.Millis) bool) {
	s.percent = func(engine string, at clock.Millis) int {
		if slow(engine, at) {
			return percent
		}
		return 100
	}
}

// play plays requests and pings that arrive within a span.
func (s *slowLoad) play(span clock.Millis) {
	for at := 0.0; at < float64(span); at += s.random.ExpFloat64() * 1000 / (s.perSecond * slowEngines) {
		s.at(s.now+clock.Millis(at), s.arrive)
	}
	for i := range s.boxes {
		for at := clock.Millis(s.random.IntN(slowPingMs)); at < span; at += slowPingMs {
			s.at(s.now+at, func() { s.ping(i) })
		}
	}
	s.playEvents()
}

// ping has a box exchange findings with all others.
func (s *slowLoad) ping(box int) {
	from := s.boxes[box]
	for _, other := range s.boxes {
		if other != from && s.exchanges {
			other.RecordPaceFindings(from.PaceFindings())
			from.RecordPaceFindings(other.PaceFindings())
		}
	}
}

// tell informs all boxes of a finding after a delay, if they exchange findings.
func (s *slowLoad) tell(finding pace.Finding, delay clock.Millis) {
	if !s.exchanges {
		return
	}
	s.at(s.now+delay, func() {
		for _, m := range s.boxes {
			m.RecordPaceFindings([]pace.Finding{finding})
		}
	})
}

// finish returns when an amount of work ends at an engine.
func (s *slowLoad) finish(engine string, start clock.Millis, work float64) clock.Millis {
	at := start
	for ; work > 0; at++ {
		work -= 100 / float64(s.percent(engine, at))
	}
	return at
}

func (s *slowLoad) arrive() {
	session := fmt.Sprint("s", s.random.IntN(slowSessions))
	lease, err := s.boxes[s.random.IntN(len(s.boxes))].Pick(PickRequest{
		Pool: "p", Sticky: true, Prompt: prompt.Prompt{{ID: session, Tokens: 200}, {ID: "own", Tokens: 600}},
	})
	require.NoError(s.t, err)
	require.NoError(s.t, lease.CheckBeforeSend())
	s.asked++
	if s.now >= s.countedMs {
		s.counted++
		if s.percent(lease.ID, s.now) > 150 {
			s.toSlow++
		}
	}
	engine, tokens := s.engines[lease.ID], 600
	if !engine.cached[session] {
		tokens += 200
	}
	engine.cached[session] = true
	engine.waiting++
	sentMs, work := s.now, (slowFixedMs+slowPerTokenMs*float64(tokens))*(0.9+0.2*s.random.Float64())
	engine.freeMs = s.finish(lease.ID, max(s.now, engine.freeMs), work)
	s.at(engine.freeMs, func() { s.respond(lease, engine, sentMs) })
}

// respond sends the head of a response, and ends it when its events have been sent. A request is in time if neither the
// first event nor the later ones are late.
func (s *slowLoad) respond(lease *Lease, engine *slowEngine, sentMs clock.Millis) {
	firstMs := s.now
	engine.waiting--
	engine.running++
	lease.RecordAnswered()
	lease.RecordLoad(engine.running + engine.waiting)
	if finding, tell := lease.RecordPace(s.report(lease.ID), engine.waiting); tell {
		s.tell(finding, slowNewsMs)
	}
	lease.RecordResponseStart()
	for _, finding := range lease.manager.TakeUnsentFindings() {
		s.tell(finding, slowHousekeepingMs)
	}
	s.at(s.finish(lease.ID, s.now, slowDecodeMs), func() {
		engine.running--
		if firstMs-sentMs <= slowObjectiveMs {
			s.inTime++
		}
		lease.Release(Succeeded)
	})
}

// paceRow is the mean of some runs of 12 s.
type paceRow struct{ inTime, toSlow float64 }

func (r paceRow) String() string {
	return fmt.Sprintf("in time %.3f, sent to slow engines %.3f", r.inTime, r.toSlow)
}

func playSlow(t *testing.T, set func(s *slowLoad)) paceRow {
	t.Helper()
	const seeds = 3
	row := paceRow{}
	for seed := range uint64(seeds) {
		s := newSlowLoad(t, seed+1)
		set(s)
		s.play(12 * clock.Second)
		row.inTime += float64(s.inTime) / float64(s.asked) / seeds
		row.toSlow += float64(s.toSlow) / float64(s.counted) / seeds
	}
	return row
}

// TestSlowEngines plays light load on engines of which some are slow. It guards against requests that are late because
// they are sent to an engine that was known to be slow, or could have been, and against upstreams that misreport.
func TestSlowEngines(t *testing.T) {
	untold := func(s *slowLoad) { s.report = func(string) int { return 0 } }
	learnt := func(s *slowLoad) {
		untold(s)
		s.countedMs = s.now + 3*clock.Second
		for _, m := range s.boxes {
			m.SetLearnPace(true)
		}
	}
	spells := func(s *slowLoad) { s.inSpells(300) }
	throughout := func(s *slowLoad) { s.throughout(3, 400) }
	for _, c := range []struct {
		name           string
		slow, set      func(s *slowLoad)
		inTime, toSlow float64
	}{
		{"each is three times slower in spells, and says so", spells, func(*slowLoad) {}, 0.96, 0.06},
		{"three are four times slower throughout, and say so", throughout, func(*slowLoad) {}, 0.98, 0.06},
		{"three are four times slower throughout, and it is learnt", throughout, learnt, 0.95, 0.05},
	} {
		t.Run(c.name, func(t *testing.T) {
			row := playSlow(t, func(s *slowLoad) { c.slow(s); c.set(s) })
			without := playSlow(t, func(s *slowLoad) { c.slow(s); untold(s) })
			alone := playSlow(t, func(s *slowLoad) { c.slow(s); c.set(s); s.exchanges = false })
			t.Logf("%v; no news from other boxes: %v; without pace: %v", row, alone, without)
			assert.GreaterOrEqual(t, row.inTime, c.inTime)
			assert.Less(t, row.toSlow, c.toSlow)
			assert.Greater(t, alone.inTime, without.inTime, "a box without news from others goes by its own reports")
		})
	}
	t.Run("near the capacity, slow engines still get what others would serve later", func(t *testing.T) {
		loaded := func(s *slowLoad) { s.throughout(3, 250); s.perSecond = 45 }
		row, without := playSlow(t, loaded), playSlow(t, func(s *slowLoad) { loaded(s); untold(s) })
		t.Logf("%v; without pace: %v", row, without)
		assert.Greater(t, row.inTime, without.inTime)
	})
	for _, c := range []struct {
		name   string
		report func(engine string, random *rand.Rand) int
	}{
		{"one that always says 100", func(string, *rand.Rand) int { return 100 }},
		{"one that always says 1000", func(engine string, _ *rand.Rand) int { return 100 + 900*isFirst(engine) }},
		{"one that says anything", func(engine string, r *rand.Rand) int { return 100 + r.IntN(900)*isFirst(engine) }},
		{"all say 1000", func(string, *rand.Rand) int { return 1000 }},
	} {
		t.Run(c.name+" costs little", func(t *testing.T) {
			row := playSlow(t, func(s *slowLoad) {
				s.throughout(0, 100)
				s.report = func(engine string) int { return c.report(engine, s.random) }
			})
			without := playSlow(t, func(s *slowLoad) { s.throughout(0, 100); untold(s) })
			t.Logf("%v; without pace: %v", row, without)
			assert.GreaterOrEqual(t, row.inTime, without.inTime-0.01)
		})
	}
}

// isFirst returns 1 for the first engine and 0 for others.
func isFirst(engine string) int {
	if engine == "e0" {
		return 1
	}
	return 0
}
