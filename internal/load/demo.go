package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"

	"github.com/oklog/ulid/v2"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/localfleet"
	"dooryard.example/dooryard/internal/standin"
	"dooryard.example/dooryard/internal/table"
)

// Sizes of the demo: small enough for a laptop, but large enough that each fault affects running requests.
const (
	demoSessions     = 48
	demoTurns        = 8
	demoServiceCalls = 60
	demoPauseMs      = 150
	demoDeadlineMs   = 20_000
	demoTokens       = 12
	demoWords        = 160
	demoMaxTries     = 20
	demoRetryMs      = 200
)

// Demo starts a fleet of three boxes in two failure domains and sends chat sessions and non-idempotent service calls to
// it. Meanwhile an edit drains one engine, another one crashes, and streams of a third one break. Demo prints its
// measurements and returns the violated guarantees.
func Demo(ctx context.Context, out io.Writer) ([]Violation, error) {
	fleet, err := localfleet.Start(ctx, demoPlan())
	if err != nil {
		return nil, err
	}
	d := &demo{
		fleet: fleet, chats: NewTally(), serviceCalls: NewTally(),
		caller: Caller{Client: fleet.Client(), Clock: clock.New()},
	}
	err = d.run(ctx)
	report := d.report()
	if stopErr := fleet.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		return nil, err
	}
	report.print(out)
	return report.violations, nil
}

func demoPlan() localfleet.Config {
	performance := standin.DefaultPerformance()
	performance.TokenMs = 10
	return localfleet.Config{
		Domains: []string{"alfama", "belem"}, BoxesPerDomain: 2, EnginesPerDomain: 3, ServersPerDomain: 1,
		Organisations: []localfleet.Organisation{
			{Name: "federation", Columns: map[string]string{"weight": "300"}},
			{Name: "choir"},
			{Name: "band"},
		},
		Performance: performance,
	}
}

type demo struct {
	fleet        *localfleet.Fleet
	caller       Caller
	chats        *Tally
	serviceCalls *Tally

	verdict       table.Verdict
	inForceMs     clock.Millis
	lateToLeaving atomic.Int64
	drainedMs     atomic.Int64
	unanswered    atomic.Int64
	keys          sync.Map
}

// drainGraceMs is the time after which a leaving upstream must get no new work.
const drainGraceMs = 3000

func (d *demo) run(ctx context.Context) error {
	if err := d.drainLastBox(); err != nil {
		return err
	}
	group := sync.WaitGroup{}
	for session := range demoSessions {
		group.Go(func() { d.chat(ctx, session) })
	}
	for number := range demoServiceCalls {
		group.Go(func() { d.callService(ctx, number) })
	}
	var failed error
	group.Go(func() { failed = d.injectFaults(ctx) })
	group.Wait()
	return failed
}

// drainLastBox drains the fourth box and waits until it has stopped, so that one failure domain has two boxes and the
// other has one.
func (d *demo) drainLastBox() error {
	boxes := d.fleet.Boxes()
	last := boxes[len(boxes)-1]
	last.Drain()
	return last.Wait()
}

// boxURL returns the URL of the box for the n-th request, in the place of the platform's load balancer.
func (d *demo) boxURL(n int) string {
	boxes := d.fleet.Boxes()
	return "http://" + boxes[n%(len(boxes)-1)].Addresses().Callers
}

var demoOrganisations = []string{"federation", "federation", "choir", "band"}

// chat runs a chat session: turns with pauses between them, each of which contains the messages of all previous turns.
func (d *demo) chat(ctx context.Context, session int) {
	random := rand.New(rand.NewPCG(uint64(session), demoTurns))
	organisation := demoOrganisations[session%len(demoOrganisations)]
	messages := []engine.Message{{Role: "system", Content: words(random, demoWords)}}
	for turn := range demoTurns {
		mark := fmt.Sprintf("s%dt%d", session, turn)
		messages = append(messages, engine.Message{Role: "user", Content: mark + " " + words(random, demoWords/4)})
		d.turn(ctx, random, organisation, session, messages, mark)
		messages = append(messages, engine.Message{Role: "assistant", Content: words(random, demoTokens)})
		if d.caller.Clock.Sleep(ctx, clock.Millis(random.IntN(2*demoPauseMs))) != nil {
			return
		}
	}
}

// turn sends a turn and retries it until it gets a complete answer, as a client would.
func (d *demo) turn(
	ctx context.Context, random *rand.Rand, organisation string, session int, messages []engine.Message, mark string,
) {
	for range demoMaxTries {
		result := d.caller.Chat(ctx, ChatRequest{
			URL: d.boxURL(random.IntN(len(d.fleet.Boxes()))), Key: localfleet.CallerKey(organisation),
			Session: fmt.Sprintf("session-%d", session), Mark: mark, DeadlineMs: demoDeadlineMs,
			Chat: engine.Chat{Model: localfleet.Model, Messages: messages, Stream: true, MaxTokens: demoTokens},
		})
		d.chats.Add(result)
		d.checkDraining(result)
		if result.Verdict == Complete {
			return
		}
		_ = d.caller.Clock.Sleep(ctx, demoRetryMs)
	}
	d.unanswered.Add(1)
}

// checkDraining counts the requests that the drained engine got after the grace period.
func (d *demo) checkDraining(result Result) {
	drained := clock.Millis(d.drainedMs.Load())
	start := d.caller.Clock.Now() - result.DurationMs
	if drained > 0 && result.Upstream == d.fleet.Engines()[0].Name && start > drained+drainGraceMs {
		d.lateToLeaving.Add(1)
	}
}

// callService sends a call to two boxes concurrently with the same idempotency key, and retries it until it gets a
// complete answer.
func (d *demo) callService(ctx context.Context, number int) {
	key := fmt.Sprintf("report-%d-%s", number, ulid.Make())
	d.keys.Store(key, struct{}{})
	_ = d.caller.Clock.Sleep(ctx, clock.Millis(number*demoPauseMs/2))
	group := sync.WaitGroup{}
	for box := range 2 {
		group.Go(func() { d.callServiceAt(ctx, number+box, key) })
	}
	group.Wait()
}

func (d *demo) callServiceAt(ctx context.Context, box int, key string) {
	for try := range demoMaxTries {
		result := d.caller.Post(ctx, ServiceCall{
			URL: d.boxURL(box + try), Key: localfleet.CallerKey("choir"), Service: localfleet.ServiceName,
			Path: "/changes", Idempotent: key, Body: "change of " + key, DeadlineMs: demoDeadlineMs,
		})
		d.serviceCalls.Add(result)
		if result.Verdict == Complete {
			return
		}
		_ = d.caller.Clock.Sleep(ctx, demoRetryMs)
	}
	d.unanswered.Add(1)
}

// Times of the demo's faults.
const (
	drainAtMs        = 600
	killAtMs         = 1000
	loseRepliesAtMs  = 1400
	breakStreamsAtMs = 1600
)

// injectFaults drains an engine, kills another one, makes the log lose replies, and breaks the streams of a third
// engine.
func (d *demo) injectFaults(ctx context.Context) error {
	engines := d.fleet.Engines()
	_ = d.caller.Clock.Sleep(ctx, drainAtMs)
	if err := d.edit(ctx, engines[0].Name); err != nil {
		return err
	}
	_ = d.caller.Clock.Sleep(ctx, killAtMs-drainAtMs)
	engines[1].Kill()
	_ = d.caller.Clock.Sleep(ctx, loseRepliesAtMs-killAtMs)
	d.fleet.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.LoseReplies = 3 })
	_ = d.caller.Clock.Sleep(ctx, breakStreamsAtMs-loseRepliesAtMs)
	engines[2].SetFaults(func(f *standin.EngineFaults) { f.CutAfter = 5 })
	return nil
}

// edit submits an edit that drains an engine and measures the time until it takes effect on all boxes.
func (d *demo) edit(ctx context.Context, engineName string) error {
	edit := table.Edit{ID: ulid.Make().String(), Operator: "demo", Changes: []table.Change{
		{Sheet: table.Upstreams, Row: engineName, Column: "state", Value: table.StateDraining},
	}}
	start := d.caller.Clock.Now()
	verdict, err := d.submit(ctx, edit)
	if err != nil {
		return err
	}
	d.verdict = verdict
	for _, b := range d.fleet.Boxes()[:len(d.fleet.Boxes())-1] {
		if err := b.Store().WaitFor(ctx, verdict.Offset+1); err != nil {
			return err
		}
	}
	d.inForceMs = d.caller.Clock.Now() - start
	d.drainedMs.Store(int64(d.caller.Clock.Now()))
	return nil
}

func (d *demo) submit(ctx context.Context, edit table.Edit) (table.Verdict, error) {
	data, err := json.Marshal(edit)
	if err != nil {
		return table.Verdict{}, fmt.Errorf("encode edit: %w", err)
	}
	url := "http://" + d.fleet.Boxes()[0].Addresses().Operators + "/v1/table/edits"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return table.Verdict{}, fmt.Errorf("create edit request: %w", err)
	}
	key, err := d.fleet.OperatorsKey()
	if err != nil {
		return table.Verdict{}, fmt.Errorf("read operators' key: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := d.fleet.Client().Do(request)
	if err != nil {
		return table.Verdict{}, fmt.Errorf("send edit: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var verdict table.Verdict
	if err := json.NewDecoder(response.Body).Decode(&verdict); err != nil {
		return table.Verdict{}, fmt.Errorf("decode verdict: %w", err)
	}
	return verdict, nil
}

func words(random *rand.Rand, count int) string {
	text := strings.Builder{}
	for range count {
		fmt.Fprintf(&text, "w%d ", random.IntN(1000))
	}
	return text.String()
}

// demoReport holds the output of the demo.
type demoReport struct {
	chats, serviceCalls Summary
	lines               [][2]string
	violations          []Violation
}

func (d *demo) report() *demoReport {
	r := &demoReport{chats: d.chats.Summary(), serviceCalls: d.serviceCalls.Summary()}
	runs, repeated, neverRun := d.countRuns()
	gossip, boxes := d.gossipBytes()
	r.lines = [][2]string{
		{"chats sent, with complete answers", fmt.Sprintf("%d, %d", r.chats.Requests, r.chats.Verdicts[Complete])},
		{
			"chats refused, ended by an error event",
			fmt.Sprintf("%d, %d", r.chats.Verdicts[Refused], r.chats.Verdicts[Incomplete]),
		},
		{"first token p50, p99 ms", fmt.Sprintf("%d, %d", r.chats.First.P50, r.chats.First.P99)},
		{"fraction of prompt tokens cached", fmt.Sprintf("%.3f", r.chats.Reuse)},
		{"service calls, keys, keys run once", fmt.Sprintf("%d, %d, %d", r.serviceCalls.Requests, demoServiceCalls, runs)},
		{"service calls refused or with unknown outcome", fmt.Sprint(r.serviceCalls.Verdicts[Refused])},
		{"edit " + string(d.verdict.Result) + ", ms until in force on all boxes", fmt.Sprint(d.inForceMs)},
		{"mean gossip bytes sent per box", fmt.Sprint(gossip / int64(max(1, boxes)))},
		{"streams resumed", fmt.Sprint(d.counter("stream_resumes"))},
	}
	r.violations = append(r.chats.Violations(), r.serviceCalls.Violations()...)
	for _, b := range []Violation{
		{"a non-idempotent call ran more than once", repeated},
		{"a non-idempotent call never ran", neverRun},
		{"a request got no complete answer within its retries", int(d.unanswered.Load())},
		{"a leaving engine got new work after the grace period", int(d.lateToLeaving.Load())},
		{"the edit was not accepted", boolCount(d.verdict.Result != table.Accepted)},
	} {
		if b.Count > 0 {
			r.violations = append(r.violations, b)
		}
	}
	return r
}

func boolCount(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

func (d *demo) countRuns() (once, repeated, neverRun int) {
	d.keys.Range(func(key, _ any) bool {
		name, _ := key.(string)
		switch runs := d.fleet.Ledger.Runs(name); {
		case runs == 1:
			once++
		case runs > 1:
			repeated++
		default:
			neverRun++
		}
		return true
	})
	return once, repeated, neverRun
}

func (d *demo) gossipBytes() (total int64, boxes int) {
	for _, b := range d.fleet.Boxes() {
		total += b.Metrics().GossipSent.Value()
		boxes++
	}
	return total, boxes
}

func (d *demo) counter(name string) int64 {
	total := int64(0)
	for _, b := range d.fleet.Boxes() {
		total += b.Metrics().Values()[name]
	}
	return total
}

func (r *demoReport) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "measure\tvalue")
	for _, line := range r.lines {
		fmt.Fprintf(w, "%s\t%s\n", line[0], line[1])
	}
	for _, outcome := range []exchange.Outcome{exchange.Ran, exchange.NotRun, exchange.Unknown} {
		chats, serviceCalls := r.chats.Outcomes[outcome], r.serviceCalls.Outcomes[outcome]
		fmt.Fprintf(w, "outcome %s\t%d chats, %d service calls\n", outcome, chats, serviceCalls)
	}
	// Write errors are ignored: the output is a terminal or a buffer.
	_ = w.Flush()
	if len(r.violations) == 0 {
		fmt.Fprintln(out, "guarantees: all kept")
		return
	}
	for _, b := range r.violations {
		fmt.Fprintln(out, "guarantee violated:", b)
	}
}
