package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// event is a function that is called at a simulated time in milliseconds.
type event struct {
	at float64
	do func()
}

// callerKind is a kind of request. Its first event is to come within the objective, and its caller gives up at the
// limit. A request with shared, own and output tokens runs for holdMs on average after its first event. The kind makes
// up a share of the prefill work, and engines have cached the shared tokens if cached is set.
type callerKind struct {
	name                string
	urgency             int
	objective, limit    clock.Millis
	shared, own, output int
	holdMs, share       float64
	cached              bool
}

func (k callerKind) prefillTokens() int {
	if k.cached {
		return k.own
	}
	return k.shared + k.own
}

func (k callerKind) prefillMs() float64 { return simFixedMs + simPerToken*float64(k.prefillTokens()) }

func (k callerKind) memory() int { return k.shared + k.own + k.output }

var (
	shortKind = callerKind{"short", 0, 500, 10_000, 699, 130, 20, 300, 0.15, false}
	longKind  = callerKind{"long", 1, 2000, 12_000, 10_512, 1300, 300, 3000, 0.85, false}
)

// simEngine prefills prompts one after the other and holds requests (inUse) and their tokens (held) while they run.
// Prefills take longer by the factor slow, while boxes report the pace reported in percent.
type simEngine struct {
	key           namekey.Key
	slots, memory int
	held, inUse   int
	slow          float64
	reported      int
	queue         []*call
	reading, down bool
}

// call is a caller's request, which arrived first and was attempted last at these times. The caller gives up at leave.
type call struct {
	kind                    callerKind
	id                      ID
	session, org            namekey.Key
	arrived, attempt, leave float64
	engine                  *simEngine
	returns                 int
	ended, sent, released   bool
}

const (
	// A prefill takes simFixedMs and simPerToken milliseconds for each token.
	simFixedMs, simPerToken = 10.0, 0.05
	// messageMs is how long a message between boxes takes.
	messageMs = 1
)

// fleet plays callers, boxes, ledgers and engines. Fields are set before run.
type fleet struct {
	now     float64
	events  []event
	random  *rand.Rand
	ledgers []*Ledger
	engines []*simEngine
	number  int
	waiting map[ID]*call
	calls   []*call

	// urgentFirst is set if engines prefill urgent prompts first.
	urgentFirst bool
	// firstEventMs passes between the end of a prefill and the first event. It does not delay other prompts.
	firstEventMs float64
	// lose is the fraction of starts and releases that are lost, varying the range of the times for which requests run as
	// a fraction of their mean, and leaveAfter the milliseconds after which a third of the callers give up, or 0.
	lose, varying, leaveAfter float64
	orgOf                     func() namekey.Key
	results                   map[string]*result
	byOrg                     map[namekey.Key]*result
}

// result counts callers of a kind by their outcome, refusals of single attempts, and those within 200 ms of the attempt.
type result struct {
	all, inTime, late, refused, failed, refusals, prompt int
}

func (r *result) String() string {
	return fmt.Sprintf("%d: in time %.3f late %.3f refused %.3f failed %.3f; %d refusals, %.2f within 200 ms",
		r.all, r.part(r.inTime), r.part(r.late), r.part(r.refused), r.part(r.failed), r.refusals, r.promptly())
}

func (r *result) part(n int) float64 { return float64(n) / float64(max(1, r.all)) }

func (r *result) promptly() float64 { return float64(r.prompt) / float64(max(1, r.refusals)) }

func newFleet(owners, engines int, seed uint64) *fleet {
	f := &fleet{
		now: 1000, random: rand.New(rand.NewPCG(seed, 2)), waiting: map[ID]*call{}, varying: 1,
		orgOf: func() namekey.Key { return 1 },
	}
	f.forget()
	for range owners {
		f.ledgers = append(f.ledgers, f.newLedger())
	}
	for i := range engines {
		f.engines = append(f.engines, &simEngine{key: namekey.Key(i + 1), slots: 64, memory: 425_013, slow: 1})
	}
	return f
}

// forget drops the results so far.
func (f *fleet) forget() {
	f.results, f.byOrg = map[string]*result{"short": {}, "long": {}}, map[namekey.Key]*result{}
	f.calls = nil
}

// warm lets the ledgers learn under a light load.
func (f *fleet) warm(kinds ...callerKind) {
	f.run(6000, steady(0.5), kinds...)
	f.forget()
}

func (f *fleet) newLedger() *Ledger { return New(func() clock.Millis { return clock.Millis(f.now) }) }

// after calls a function at a later time. Events of one instant keep their order.
func (f *fleet) after(ms float64, do func()) {
	e := event{f.now + ms, do}
	i := sort.Search(len(f.events), func(i int) bool { return f.events[i].at > e.at })
	f.events = slices.Insert(f.events, i, e)
}

func (f *fleet) owner(e *simEngine) *Ledger { return f.ledgers[int(e.key)%len(f.ledgers)] }

// steady is a constant load.
func steady(load float64) func(float64) float64 { return func(float64) float64 { return load } }

// run plays arrivals of a span with a load, as a factor of what engines can prefill, and then lets calls end.
func (f *fleet) run(spanMs float64, load func(ms float64) float64, kinds ...callerKind) {
	begin := f.now
	for _, k := range kinds {
		var arrive func()
		arrive = func() {
			rate := load(f.now-begin) * float64(len(f.engines)) * k.share / k.prefillMs()
			f.after(f.random.ExpFloat64()/rate, func() {
				if f.now-begin < spanMs {
					f.arrive(k)
					arrive()
				}
			})
		}
		arrive()
	}
	var expire func()
	expire = func() {
		for _, l := range f.ledgers {
			f.deliver(l.Expire())
		}
		if f.now < begin+spanMs+20_000 {
			f.after(50, expire)
		}
	}
	f.after(0, expire)
	for len(f.events) > 0 {
		e := f.events[0]
		f.events, f.now = f.events[1:], e.at
		e.do()
	}
}

func (f *fleet) arrive(k callerKind) {
	session := namekey.Key(f.random.Uint32())
	c := &call{kind: k, session: session, org: f.orgOf(), arrived: f.now}
	c.leave = f.now + float64(k.limit)
	if f.leaveAfter > 0 && f.random.IntN(3) == 0 {
		c.leave = f.now + f.leaveAfter
	}
	f.calls = append(f.calls, c)
	f.count(c, func(r *result) { r.all++ })
	f.after(c.leave-f.now, func() { f.end(c, func(r *result) { r.failed++ }) })
	f.try(c)
}

func (f *fleet) count(c *call, add func(r *result)) {
	add(f.results[c.kind.name])
	if f.byOrg[c.org] == nil {
		f.byOrg[c.org] = &result{}
	}
	add(f.byOrg[c.org])
}

// end records the outcome of a caller and releases what it holds.
func (f *fleet) end(c *call, outcome func(r *result)) {
	if !c.ended {
		c.ended = true
		f.count(c, outcome)
		if !c.sent {
			f.release(c, false)
		}
	}
}

func (f *fleet) release(c *call, served bool) {
	delete(f.waiting, c.id)
	c.released = true
	if c.engine != nil {
		f.notifyOwner(c, func(l *Ledger, id ID) []Grant { return l.Release(id, served) })
	}
}

// notifyOwner sends a message about a request to the owner of its engine, unless the message is lost.
func (f *fleet) notifyOwner(c *call, message func(l *Ledger, id ID) []Grant) {
	if f.random.Float64() >= f.lose {
		l, id := f.owner(c.engine), c.id
		f.after(messageMs, func() { f.deliver(message(l, id)) })
	}
}

// ask makes an ask at the engine's owner.
func (f *fleet) ask(c *call, e *simEngine, mayQueue bool) Answer {
	f.number++
	c.id, c.engine = ID{Box: fmt.Sprint("box", f.number%6), Number: uint32(f.number)}, e
	return f.repeat(c, mayQueue)
}

func (f *fleet) repeat(c *call, mayQueue bool) Answer {
	e, left := c.engine, clock.Millis(c.arrived-f.now)
	answer, grants := f.owner(e).Ask(Ask{
		ID: c.id, Pool: 1, Upstream: e.key, Organisation: c.org, Session: c.session, Urgency: c.kind.urgency,
		PrefillTokens: c.kind.prefillTokens(), OwnTokens: c.kind.own + c.kind.output, SharedTokens: c.kind.shared,
		Slots: e.slots, MemoryTokens: e.memory, InTimeMs: left + c.kind.objective, PatienceMs: left + c.kind.limit,
		SlowPercent: e.reported, MayQueue: mayQueue,
	})
	f.deliver(grants)
	return answer
}

// try asks the owners of up to four engines, as the balancer does, and then the best one with MayQueue.
func (f *fleet) try(c *call) {
	c.attempt = f.now
	candidates := slices.DeleteFunc(slices.Clone(f.engines), func(e *simEngine) bool { return e.down })
	f.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	best, drain := candidates[0], clock.Millis(1<<40)
	var chosen Answer
	for i, e := range candidates[:min(4, len(candidates))] {
		answer := f.ask(c, e, false)
		if answer.Verdict == Granted {
			f.send(c)
			return
		}
		drain = min(drain, answer.DrainMs)
		if i == 0 || answer.StartInMs < chosen.StartInMs {
			best, chosen = e, answer
		}
	}
	if left := c.arrived + float64(c.kind.objective) - f.now; chosen.Late || float64(chosen.StartInMs) <= left {
		answer := f.ask(c, best, true)
		if answer.Verdict == Granted {
			f.send(c)
			return
		}
		if answer.Verdict == Queued {
			f.waiting[c.id] = c
			return
		}
		drain = min(drain, answer.DrainMs)
	}
	f.refuse(c, drain, chosen.StartInMs)
}

// repeatWaiting repeats the ask of a caller that still waits, as boxes do.
func (f *fleet) repeatWaiting(c *call) {
	if c.ended || f.waiting[c.id] == nil {
		return
	}
	if answer := f.repeat(c, true); answer.Verdict != Queued {
		f.deliver([]Grant{{c.id, answer}})
	}
}

// refuse ends an attempt. The caller returns once, if it is told when.
func (f *fleet) refuse(c *call, drain, startIn clock.Millis) {
	c.engine = nil
	f.count(c, func(r *result) {
		r.refusals++
		if f.now-c.attempt <= 200 {
			r.prompt++
		}
	})
	wait := max(60, float64(drain)*(0.75+f.random.Float64()/2))
	if c.returns > 0 || f.now+wait+float64(startIn) > c.leave {
		f.end(c, func(r *result) { r.refused++ })
		return
	}
	c.returns++
	f.after(wait, func() {
		if !c.ended {
			f.try(c)
		}
	})
}

// deliver sends the answers to queued asks to their boxes.
func (f *fleet) deliver(grants []Grant) {
	for _, g := range grants {
		if c := f.waiting[g.ID]; c != nil {
			delete(f.waiting, g.ID)
			f.after(messageMs, func() {
				switch {
				case c.ended || c.id != g.ID:
				case g.Answer.Verdict == Granted:
					f.send(c)
				default:
					f.refuse(c, g.Answer.DrainMs, g.Answer.StartInMs)
				}
			})
		}
	}
}

func (f *fleet) send(c *call) {
	c.sent = true
	if c.engine.down {
		f.fail(c)
		return
	}
	c.engine.queue = append(c.engine.queue, c)
	f.read(c.engine)
}

// fail ends a request whose engine has crashed.
func (f *fleet) fail(c *call) {
	f.release(c, false)
	f.end(c, func(r *result) { r.failed++ })
}

// read lets an engine prefill its next prompt if it isn't busy and has room.
func (f *fleet) read(e *simEngine) {
	if e.reading || len(e.queue) == 0 || e.down {
		return
	}
	if f.urgentFirst {
		slices.SortStableFunc(e.queue, func(a, b *call) int { return a.kind.urgency - b.kind.urgency })
	}
	c := e.queue[0]
	if e.inUse > 0 && (e.inUse >= e.slots || e.held+c.kind.memory() > e.memory) {
		return
	}
	e.queue = e.queue[1:]
	e.reading = true
	e.inUse++
	e.held += c.kind.memory()
	f.after(c.kind.prefillMs()*e.slow, func() {
		e.reading = false
		if !e.down {
			f.startLater(c)
			f.read(e)
		}
	})
}

// startLater starts a response some time after its prefill.
func (f *fleet) startLater(c *call) {
	if f.firstEventMs == 0 {
		f.start(c)
		return
	}
	f.after(f.firstEventMs*c.engine.slow, func() { f.start(c) })
}

// start sends the first event of a response, which then runs for a while.
func (f *fleet) start(c *call) {
	e := c.engine
	f.notifyOwner(c, (*Ledger).Started)
	elapsed := f.now - c.arrived
	f.end(c, func(r *result) {
		if elapsed <= float64(c.kind.objective) {
			r.inTime++
		} else {
			r.late++
		}
	})
	f.after(c.kind.holdMs*(1+f.varying*(f.random.Float64()-0.5)), func() {
		if !c.released {
			e.inUse--
			e.held -= c.kind.memory()
			f.release(c, true)
			f.read(e)
		}
	})
}

func (f *fleet) report(t *testing.T) {
	t.Helper()
	for _, name := range []string{"short", "long"} {
		t.Logf("%s %v", name, f.results[name])
	}
}

// failed returns the number of callers that failed.
func (f *fleet) failed() int { return f.results["short"].failed + f.results["long"].failed }
