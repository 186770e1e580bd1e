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

// Sizes of the demo: small enough for a laptop, large enough for each fault to
// meet requests in progress.
const (
	demoSessions   = 48
	demoTurns      = 8
	demoFilings    = 60
	demoPauseMs    = 150
	demoDeadlineMs = 20_000
	demoTokens     = 12
	demoWords      = 160
	demoMaxTries   = 20
	demoRetryMs    = 200
)

// Demo starts a fleet of three boxes in two failure domains, sends returning
// chats and unrepeatable calls while an engine leaves, one fails and an edit
// lands, prints what it measured and returns the broken promises.
func Demo(ctx context.Context, out io.Writer) ([]Breach, error) {
	fleet, err := localfleet.Start(ctx, demoPlan())
	if err != nil {
		return nil, err
	}
	d := &demo{
		fleet: fleet, chats: NewTally(), filings: NewTally(),
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
	return report.breaches, nil
}

func demoPlan() localfleet.Plan {
	speed := standin.DefaultSpeed()
	speed.TokenMs = 10
	return localfleet.Plan{
		Domains: []string{"alfama", "belem"}, BoxesPerDomain: 2, EnginesPerDomain: 3, ServersPerDomain: 1,
		Organisations: []localfleet.Organisation{
			{Name: "federation", Columns: map[string]string{"weight": "300"}},
			{Name: "choir"},
			{Name: "band"},
		},
		Speed: speed,
	}
}

type demo struct {
	fleet   *localfleet.Fleet
	caller  Caller
	chats   *Tally
	filings *Tally

	verdict    table.Verdict
	inForceMs  clock.Millis
	toLeaving  atomic.Int64
	leftMs     atomic.Int64
	neverEnded atomic.Int64
	keys       sync.Map
}

// drainGraceMs is within what time a draining upstream gets no new work.
const drainGraceMs = 3000

func (d *demo) run(ctx context.Context) error {
	if err := d.stopFourthBox(); err != nil {
		return err
	}
	group := sync.WaitGroup{}
	for session := range demoSessions {
		group.Go(func() { d.chat(ctx, session) })
	}
	for number := range demoFilings {
		group.Go(func() { d.file(ctx, number) })
	}
	var failed error
	group.Go(func() { failed = d.faults(ctx) })
	group.Wait()
	return failed
}

// stopFourthBox leaves two boxes in one failure domain and one in the other, by
// a planned stop.
func (d *demo) stopFourthBox() error {
	boxes := d.fleet.Boxes()
	last := boxes[len(boxes)-1]
	last.Drain()
	return last.Wait()
}

// boxURL is where the platform's balancer would send the n-th request.
func (d *demo) boxURL(n int) string {
	boxes := d.fleet.Boxes()
	return "http://" + boxes[n%(len(boxes)-1)].Addresses().Callers
}

var demoOrganisations = []string{"federation", "federation", "choir", "band"}

// chat is one session: turns with pauses, each with all turns before it.
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

// turn sends one turn until it is answered, as a client would.
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
		if result.Verdict == Whole {
			return
		}
		_ = d.caller.Clock.Sleep(ctx, demoRetryMs)
	}
	d.neverEnded.Add(1)
}

// checkDraining counts work that a draining engine got after its grace.
func (d *demo) checkDraining(result Result) {
	left := clock.Millis(d.leftMs.Load())
	began := d.caller.Clock.Now() - result.TookMs
	if left > 0 && result.Upstream == d.fleet.Engines()[0].Name && began > left+drainGraceMs {
		d.toLeaving.Add(1)
	}
}

// file sends one report to two boxes at once under one key, and again until its
// end is known.
func (d *demo) file(ctx context.Context, number int) {
	key := fmt.Sprintf("report-%d-%s", number, ulid.Make())
	d.keys.Store(key, struct{}{})
	_ = d.caller.Clock.Sleep(ctx, clock.Millis(number*demoPauseMs/2))
	group := sync.WaitGroup{}
	for box := range 2 {
		group.Go(func() { d.fileAt(ctx, number+box, key) })
	}
	group.Wait()
}

func (d *demo) fileAt(ctx context.Context, box int, key string) {
	for try := range demoMaxTries {
		result := d.caller.File(ctx, Filing{
			URL: d.boxURL(box + try), Key: localfleet.CallerKey("choir"), Service: localfleet.ServiceName,
			Path: "/changes", Idempotent: key, Body: "change of " + key, DeadlineMs: demoDeadlineMs,
		})
		d.filings.Add(result)
		if result.Verdict == Whole {
			return
		}
		_ = d.caller.Clock.Sleep(ctx, demoRetryMs)
	}
	d.neverEnded.Add(1)
}

// Instants of the demo's faults.
const (
	leaveAtMs = 600
	failAtMs  = 1000
	lostAtMs  = 1400
	cutAtMs   = 1600
)

// faults lets an engine leave, an edit's reply be lost, an engine die, and
// streams break.
func (d *demo) faults(ctx context.Context) error {
	engines := d.fleet.Engines()
	_ = d.caller.Clock.Sleep(ctx, leaveAtMs)
	if err := d.edit(ctx, engines[0].Name); err != nil {
		return err
	}
	_ = d.caller.Clock.Sleep(ctx, failAtMs-leaveAtMs)
	engines[1].Kill()
	_ = d.caller.Clock.Sleep(ctx, lostAtMs-failAtMs)
	d.fleet.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.LoseReplies = 3 })
	_ = d.caller.Clock.Sleep(ctx, cutAtMs-lostAtMs)
	engines[2].SetFaults(func(f *standin.EngineFaults) { f.CutAfter = 5 })
	return nil
}

// edit drains an engine and measures when the edit is in force on every box.
func (d *demo) edit(ctx context.Context, engineName string) error {
	edit := table.Edit{ID: ulid.Make().String(), Operator: "demo", Changes: []table.Change{
		{Sheet: table.Upstreams, Row: engineName, Column: "state", Value: table.StateDraining},
	}}
	began := d.caller.Clock.Now()
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
	d.inForceMs = d.caller.Clock.Now() - began
	d.leftMs.Store(int64(d.caller.Clock.Now()))
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
		return table.Verdict{}, fmt.Errorf("edit: %w", err)
	}
	key, err := d.fleet.OperatorsKey()
	if err != nil {
		return table.Verdict{}, fmt.Errorf("operators' key: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := d.fleet.Client().Do(request)
	if err != nil {
		return table.Verdict{}, fmt.Errorf("edit: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var verdict table.Verdict
	if err := json.NewDecoder(response.Body).Decode(&verdict); err != nil {
		return table.Verdict{}, fmt.Errorf("verdict: %w", err)
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

// demoReport is what the demo prints.
type demoReport struct {
	chats, filings Summary
	lines          [][2]string
	breaches       []Breach
}

func (d *demo) report() *demoReport {
	r := &demoReport{chats: d.chats.Summary(), filings: d.filings.Summary()}
	runs, doubled, lost := d.countRuns()
	gossip, boxes := d.gossipBytes()
	r.lines = [][2]string{
		{"chats sent, answered whole", fmt.Sprintf("%d, %d", r.chats.Requests, r.chats.Verdicts[Whole])},
		{
			"chats refused, ended by an error event",
			fmt.Sprintf("%d, %d", r.chats.Verdicts[Refused], r.chats.Verdicts[Incomplete]),
		},
		{"first token p50, p99 ms", fmt.Sprintf("%d, %d", r.chats.First.P50, r.chats.First.P99)},
		{"prompt tokens found warm", fmt.Sprintf("%.3f", r.chats.Reuse)},
		{"filings sent, keys, keys run once", fmt.Sprintf("%d, %d, %d", r.filings.Requests, demoFilings, runs)},
		{"filings in doubt or refused", fmt.Sprint(r.filings.Verdicts[Refused])},
		{"edit " + string(d.verdict.Result) + ", in force on all boxes after ms", fmt.Sprint(d.inForceMs)},
		{"gossip bytes sent by a box so far, mean", fmt.Sprint(gossip / int64(max(1, boxes)))},
		{"streams taken up again", fmt.Sprint(d.counter("stream_resumes"))},
	}
	r.breaches = append(r.chats.Breaches(), r.filings.Breaches()...)
	for _, b := range []Breach{
		{"an unrepeatable call ran more than once", doubled},
		{"an unrepeatable call was answered and never ran", lost},
		{"a request never got its answer", int(d.neverEnded.Load())},
		{"a leaving engine got new work late", int(d.toLeaving.Load())},
		{"the edit was not accepted", boolCount(d.verdict.Result != table.Accepted)},
	} {
		if b.Count > 0 {
			r.breaches = append(r.breaches, b)
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

func (d *demo) countRuns() (once, doubled, lost int) {
	d.keys.Range(func(key, _ any) bool {
		name, _ := key.(string)
		switch runs := d.fleet.Ledger.Runs(name); {
		case runs == 1:
			once++
		case runs > 1:
			doubled++
		default:
			lost++
		}
		return true
	})
	return once, doubled, lost
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
		chats, filings := r.chats.Outcomes[outcome], r.filings.Outcomes[outcome]
		fmt.Fprintf(w, "outcome %s\t%d chats, %d filings\n", outcome, chats, filings)
	}
	// The output is a terminal or a buffer.
	_ = w.Flush()
	if len(r.breaches) == 0 {
		fmt.Fprintln(out, "promises: all kept")
		return
	}
	for _, b := range r.breaches {
		fmt.Fprintln(out, "promise broken:", b)
	}
}
