package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/localfleet"
	"dooryard.example/dooryard/internal/standin"
	"dooryard.example/dooryard/pkg/config"
)

// Deployment describes one of the users' deployments, at its current size.
type Deployment struct {
	Name             string
	Domains          []string
	BoxesPerDomain   int
	EnginesPerDomain int
	ServersPerDomain int
	Organisations    []localfleet.Organisation
	// ServiceCallFraction is the fraction of requests that are non-idempotent service calls.
	ServiceCallFraction float64
}

// Deployments returns the known deployments of the users.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "mares", Domains: []string{"alvalade", "belem", "chiado"}, BoxesPerDomain: 3,
			EnginesPerDomain: 13, ServersPerDomain: 1, Organisations: tenOrganisations("choir"), ServiceCallFraction: 0.05,
		},
		{
			Name: "intake", Domains: []string{"hall-1", "hall-2", "hall-3"}, BoxesPerDomain: 3,
			EnginesPerDomain: 13, ServersPerDomain: 1, Organisations: tenOrganisations("county"), ServiceCallFraction: 0.2,
		},
	}
}

// tenOrganisations returns ten organisations, of which three have four times the weight of the others.
func tenOrganisations(name string) []localfleet.Organisation {
	const all, large = 10, 3
	list := []localfleet.Organisation{}
	for i := range all {
		weight := "100"
		if i < large {
			weight = "400"
		}
		list = append(list, localfleet.Organisation{
			Name: fmt.Sprintf("%s-%d", name, i), Columns: map[string]string{"weight": weight},
		})
	}
	return list
}

// RunPlan holds the parameters of a run of the load generator.
type RunPlan struct {
	Deployment Deployment
	Policy     string
	Seed       uint64
	// PerSecond is the arrival rate in requests per second. It doesn't depend on the answers (open loop).
	PerSecond float64
	LengthMs  clock.Millis
	// Sessions is the number of returning sessions.
	Sessions int
	// Surge multiplies the arrival rate in the middle third of the run. The additional requests belong to one
	// organisation.
	Surge float64
	// Target, if set, is a running fleet to use instead of starting one.
	Target Target
	// Churn makes engines leave and rejoin during the run, one at a time.
	Churn bool
}

// RunResult holds the measurements of a run.
type RunResult struct {
	Deployment   string  `json:"deployment"`
	Policy       string  `json:"policy"`
	Chats        Summary `json:"chats"`
	ServiceCalls Summary `json:"filings"`
	// Skew is the ratio of the busiest engine's requests in flight to the mean of its failure domain, in the worst window
	// of one second. Excess is the largest number of requests by which an engine exceeded 1.25 times the mean.
	Skew   float64 `json:"skew"`
	Excess float64 `json:"excess"`
	// ControlBytes, GossipBytes and GrantBytes are bytes per second in both directions at the busiest box: on all control
	// connections, for gossip, and for grants.
	ControlBytes float64     `json:"control_bytes_per_second"`
	GossipBytes  float64     `json:"gossip_bytes_per_second"`
	GrantBytes   float64     `json:"grant_bytes_per_second"`
	Violations   []Violation `json:"breaches"`
}

// Parameters of the requests of a run.
const (
	runTokens     = 24
	runWords      = 400
	runTurnWords  = 60
	runTurns      = 8
	runDeadlineMs = 30_000
	runMaxTries   = 6
	thirds        = 3
)

// Run runs a plan against its target or, if none is set, against a fleet that it starts. It reports progress every five
// seconds.
func Run(ctx context.Context, plan RunPlan, progress io.Writer) (RunResult, error) {
	if plan.Target.IsSet() {
		r := newRunner(plan, destinationOf(plan.Target))
		r.run(ctx, progress)
		return r.result(), nil
	}
	fleet, err := localfleet.Start(ctx, localfleet.Config{
		Domains: plan.Deployment.Domains, BoxesPerDomain: plan.Deployment.BoxesPerDomain,
		EnginesPerDomain: plan.Deployment.EnginesPerDomain, ServersPerDomain: plan.Deployment.ServersPerDomain,
		Organisations: plan.Deployment.Organisations, Performance: runPerformance(),
		Settings: func(s *config.Router) { s.Route.Policy = plan.Policy },
	})
	if err != nil {
		return RunResult{}, err
	}
	r := newRunner(plan, fleetDestination(fleet))
	r.run(ctx, progress)
	result := r.result()
	return result, fleet.Stop()
}

func runPerformance() standin.EnginePerformance {
	speed := standin.DefaultPerformance()
	speed.TokenMs = 32
	speed.PrefillTokensPerMs = 4
	speed.CacheTokens = 30_000
	return speed
}

type runner struct {
	plan         RunPlan
	dest         destination
	caller       Caller
	random       *rand.Rand
	chats        *Tally
	serviceCalls *Tally
	skew         *skewMeter

	mu       sync.Mutex
	sessions []*runSession
	keys     []string
	group    sync.WaitGroup
	start    clock.Millis
	duration clock.Millis
	before   map[string]controlBytes
}

// runSession is a returning chat session, which sends one request at a time.
type runSession struct {
	id           string
	organisation string
	messages     []engine.Message
	turn         int
	busy         bool
}

func newRunner(plan RunPlan, a destination) *runner {
	r := &runner{
		plan: plan, dest: a, random: rand.New(rand.NewPCG(plan.Seed, plan.Seed)),
		caller: Caller{Client: a.client, Clock: clock.New()}, chats: NewTally(), serviceCalls: NewTally(),
		skew: newSkewMeter(a.engines()),
	}
	for i := range plan.Sessions {
		r.sessions = append(r.sessions, r.newSession(i))
	}
	return r
}

func (r *runner) newSession(i int) *runSession {
	return &runSession{
		id:           fmt.Sprintf("session-%d-%d", i, r.random.IntN(1_000_000)),
		organisation: r.plan.Deployment.Organisations[i%len(r.plan.Deployment.Organisations)].Name,
		messages:     []engine.Message{{Role: "system", Content: words(r.random, runWords)}},
	}
}

// run sends requests when they are due, whether or not earlier ones were answered (open loop). Latencies are measured
// from the time at which a request was due.
func (r *runner) run(ctx context.Context, progress io.Writer) {
	_ = r.caller.Clock.Sleep(ctx, settleMs)
	r.before = r.controlBytes()
	r.start = r.caller.Clock.Now()
	stop := make(chan struct{})
	r.group.Go(func() { r.monitor(ctx, stop, progress) })
	if r.plan.Churn && r.dest.fleet != nil {
		r.group.Go(func() { r.churn(ctx, stop) })
	}
	due := 0.0
	for number := 0; ; number++ {
		due += r.random.ExpFloat64() / r.rate(clock.Millis(due)) * float64(clock.Second)
		if clock.Millis(due) >= r.plan.LengthMs || ctx.Err() != nil {
			break
		}
		_ = r.caller.Clock.Sleep(ctx, r.start+clock.Millis(due)-r.caller.Clock.Now())
		r.send(ctx, number, r.start+clock.Millis(due))
	}
	close(stop)
	r.duration = r.caller.Clock.Now() - r.start
	r.group.Wait()
}

// settleMs is the time that the boxes get to discover each other before the run.
const settleMs = 3 * clock.Second

func (r *runner) surging(at clock.Millis) bool {
	third := r.plan.LengthMs / thirds
	return r.plan.Surge > 1 && at >= third && at < 2*third
}

func (r *runner) rate(at clock.Millis) float64 {
	if r.surging(at) {
		return r.plan.PerSecond * r.plan.Surge
	}
	return r.plan.PerSecond
}

func (r *runner) send(ctx context.Context, number int, due clock.Millis) {
	box := r.random.IntN(len(r.dest.urls))
	if r.dest.service != "" && r.random.Float64() < r.plan.Deployment.ServiceCallFraction {
		key := fmt.Sprintf("filing-%d", number)
		r.mu.Lock()
		r.keys = append(r.keys, key)
		r.mu.Unlock()
		r.group.Go(func() { r.callService(ctx, box, key, due) })
		return
	}
	session := r.idleSession(due)
	if session != nil {
		r.group.Go(func() { r.chat(ctx, box, session, due) })
	}
}

func (r *runner) idleSession(due clock.Millis) *runSession {
	r.mu.Lock()
	defer r.mu.Unlock()
	surge := r.surging(due-r.start) && r.random.Float64() < 1-1/r.plan.Surge
	const tries = 50
	for range tries {
		i := r.random.IntN(len(r.sessions))
		if surge {
			// Select a session of the first organisation.
			i -= i % len(r.plan.Deployment.Organisations)
		}
		if s := r.sessions[i]; !s.busy {
			s.busy = true
			if s.turn == runTurns {
				*s = *r.newSession(i)
				s.busy = true
			}
			s.turn++
			mark := fmt.Sprintf("m%dx%d", i, s.turn)
			s.messages = append(s.messages, engine.Message{Role: "user", Content: mark + " " + words(r.random, runTurnWords)})
			return s
		}
	}
	return nil
}

func (r *runner) boxURL(box int) string {
	return r.dest.urls[box%len(r.dest.urls)]
}

func (r *runner) chat(ctx context.Context, box int, s *runSession, due clock.Millis) {
	mark, _, _ := cutFirstWord(s.messages[len(s.messages)-1].Content)
	for try := range runMaxTries {
		delay := r.caller.Clock.Now() - due
		result := r.caller.Chat(ctx, ChatRequest{
			URL: r.boxURL(box + try), Key: r.dest.key(s.organisation), Session: s.id, Mark: mark,
			DeadlineMs: runDeadlineMs,
			Chat:       engine.Chat{Model: r.dest.model, Messages: s.messages, Stream: true, MaxTokens: runTokens},
		})
		r.chats.AddDelayed(result, max(0, delay))
		if result.Verdict == Complete || ctx.Err() != nil {
			break
		}
		_ = r.caller.Clock.Sleep(ctx, demoRetryMs)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.messages = append(s.messages, engine.Message{Role: "assistant", Content: words(r.random, runTokens)})
	s.busy = false
}

func (r *runner) callService(ctx context.Context, box int, key string, due clock.Millis) {
	for try := range runMaxTries {
		delay := r.caller.Clock.Now() - due
		result := r.caller.Post(ctx, ServiceCall{
			URL: r.boxURL(box + try), Key: r.dest.key(r.plan.Deployment.Organisations[0].Name),
			Service: r.dest.service, Path: "/filings", Idempotent: key, Body: "report " + key,
			DeadlineMs: runDeadlineMs,
		})
		r.serviceCalls.AddDelayed(result, max(0, delay))
		if result.Verdict == Complete || ctx.Err() != nil {
			return
		}
		_ = r.caller.Clock.Sleep(ctx, demoRetryMs)
	}
}

// monitor samples the engine loads and reports progress.
func (r *runner) monitor(ctx context.Context, stop <-chan struct{}, progress io.Writer) {
	for tick := 1; ; tick++ {
		select {
		case <-stop:
			return
		default:
		}
		if r.caller.Clock.Sleep(ctx, skewSampleMs) != nil {
			return
		}
		r.skew.sample()
		if tick%(5*skewWindowSamples) == 0 {
			fmt.Fprintf(progress, "%s: %d s, %d chats\n", r.plan.Policy,
				(r.caller.Clock.Now()-r.start)/clock.Second, r.chats.Summary().Requests)
		}
	}
}

// churn makes one engine after the other report that it is leaving, and then rejoin, across the failure domains.
func (r *runner) churn(ctx context.Context, stop <-chan struct{}) {
	const absenceMs = 4 * clock.Second
	engines := r.dest.engines()
	for i := 0; ; i++ {
		e := engines[i*7%len(engines)]
		e.SetDraining(true)
		_ = r.caller.Clock.Sleep(ctx, absenceMs)
		e.SetDraining(false)
		select {
		case <-stop:
			return
		case <-ctx.Done():
			return
		default:
		}
	}
}

func (r *runner) result() RunResult {
	result := RunResult{
		Deployment: r.plan.Deployment.Name, Policy: r.plan.Policy,
		Chats: r.chats.Summary(), ServiceCalls: r.serviceCalls.Summary(), Skew: r.skew.worst, Excess: r.skew.excess,
	}
	seconds := float64(r.duration) / float64(clock.Second)
	for name, after := range r.controlBytes() {
		spent := after.minus(r.before[name])
		result.ControlBytes = max(result.ControlBytes, float64(spent.gossip+spent.grants+spent.peer)/seconds)
		result.GossipBytes = max(result.GossipBytes, float64(spent.gossip)/seconds)
		result.GrantBytes = max(result.GrantBytes, float64(spent.grants)/seconds)
	}
	result.Violations = append(result.Chats.Violations(), result.ServiceCalls.Violations()...)
	duplicated := 0
	for _, key := range r.keys {
		if r.dest.fleet != nil && r.dest.fleet.Ledger.Runs(key) > 1 {
			duplicated++
		}
	}
	if duplicated > 0 {
		violation := Violation{Description: "a non-idempotent call ran more than once", Count: duplicated}
		result.Violations = append(result.Violations, violation)
	}
	return result
}

// controlBytes holds the bytes that a box has sent and received on its control connections.
type controlBytes struct{ gossip, grants, peer int64 }

func (c controlBytes) minus(o controlBytes) controlBytes {
	return controlBytes{gossip: c.gossip - o.gossip, grants: c.grants - o.grants, peer: c.peer - o.peer}
}

func (r *runner) controlBytes() map[string]controlBytes {
	all := map[string]controlBytes{}
	if r.dest.fleet == nil {
		return all
	}
	for _, b := range r.dest.fleet.Boxes() {
		v := b.Metrics().Values()
		all[b.Name] = controlBytes{
			gossip: v["gossip_sent_bytes"] + v["gossip_received_bytes"],
			grants: v["grants_sent_bytes"] + v["grants_received_bytes"],
			peer:   v["peer_sent_bytes"] + v["peer_received_bytes"],
		}
	}
	return all
}
