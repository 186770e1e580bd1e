package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"dooryard.example/dooryard/internal/why"
	"dooryard.example/dooryard/platform/standin"
)

const (
	firstEndStream = 40_000
	// One request in uploadOneIn has a body of minUploadBytes to uploadRangeBytes more, which the caller writes in parts,
	// less than uploadGapMs apart.
	uploadOneIn      = 3
	minUploadBytes   = 10 << 10
	uploadRangeBytes = 1<<20 - minUploadBytes
	uploadGapMs      = 8
	// One request in shortOneIn has a deadline of minDeadlineMs to shortRangeMs more.
	shortOneIn   = 4
	shortRangeMs = 1000
	// endShare is the share of each quotaPeriod for which boxes run.
	endShare    = 40 * time.Millisecond
	endQuota    = time.Second
	boxEndGapMs = 2500
	maxEndLines = 12
)

// endings holds what the clients and the servers of a play of ends saw.
type endings struct {
	mu sync.Mutex
	// runs holds the responses that servers began to each request, and sealed each of them by its seal.
	runs     map[string][]*endRun
	sealed   map[string]*endRun
	calls    []standin.Outcome
	reported []violation
	stats    endStats
}

// endStats counts the requests of a play of ends.
type endStats struct {
	// Requests are all, of which Streams are streams. Whole responses are sound, and Broken ones are not complete.
	Requests, Streams, Whole, Broken int
	// Ways counts the responses of servers, and Cases the violations, by the way in which a server responded.
	Ways, Cases map[string]int
}

func newEndings() *endings {
	return &endings{
		runs: map[string][]*endRun{}, sealed: map[string]*endRun{}, stats: endStats{
			Ways: map[string]int{}, Cases: map[string]int{},
		},
	}
}

func (e *endings) report(guarantee, id, detail string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reported = append(e.reported, violation{guarantee, id, detail})
}

// begin records a response of a server and returns its seal and how many there were to the same request before.
func (e *endings) begin(id string, run *endRun) (seal string, attempt uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	attempt = uint64(len(e.runs[id]))
	seal = fmt.Sprintf("seal-%s-%s-%d", id, run.server, attempt)
	e.runs[id], e.sealed[seal] = append(e.runs[id], run), run
	return seal, attempt
}

// complete records how a response of a server ended.
func (e *endings) complete(recorded *endRun, run endRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*recorded = run
}

func (e *endings) record(o standin.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, o)
}

// check checks that each response ends as that of the server did.
func (e *endings) check(disturbing disturbances) []violation {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := slices.Clone(e.reported)
	for _, v := range list {
		e.stats.Cases[v.Guarantee]++
	}
	for _, runs := range e.runs {
		for _, run := range runs {
			e.stats.Ways[run.String()]++
		}
	}
	for _, o := range e.calls {
		e.stats.Requests++
		e.stats.Streams += boolInt(isStream(o.Kind))
		guarantee, detail := e.violated(o)
		if guarantee == "" && e.isLost(o, disturbing) {
			guarantee, detail = "a whole response is delivered", e.received(o)
		}
		if guarantee == "" {
			e.count(o)
			continue
		}
		e.stats.Cases[e.way(o)]++
		list = append(list, violation{guarantee, o.ID, detail + "; servers: " + e.describe(o.ID)})
	}
	return list
}

func (e *endings) count(o standin.Outcome) {
	switch {
	case !o.Complete:
		e.stats.Broken++
	case o.Status == http.StatusOK:
		e.stats.Whole++
	}
}

// violated returns the guarantee that a response violates, or "".
func (e *endings) violated(o standin.Outcome) (guarantee, detail string) {
	run := e.sealed[o.Seal]
	whole, received := strings.Join(content(o.ID, o.Kind, 0), ""), e.received(o)
	switch {
	case strings.Contains(o.Err, "malformed") || o.Complete && o.Status < http.StatusContinue:
		return "bytes that are a response", received
	case o.Seal != "" && (run == nil || o.Echo != o.ID):
		return "the response to its own request", received
	case run != nil && run.status != o.Status:
		return "the status of the server", received
	case o.Status != http.StatusOK:
		return "", ""
	case run == nil:
		return "the seal of a server", received
	case run.malformed():
		return "no response with a garbled head", received
	case !strings.HasPrefix(whole, o.Answer):
		return "pieces of one response in order", received
	case o.Complete && o.Answer != whole:
		return "a complete response is the whole one", received
	}
	return "", ""
}

// received describes what a client got.
func (*endings) received(o standin.Outcome) string {
	return fmt.Sprintf("%s got status %d (in %s) with %d of %d bytes, %d pieces, from %s to %s, %q", o.Kind, o.Status,
		o.Framing, len(o.Answer), len(strings.Join(content(o.ID, o.Kind, 0), "")), strings.Count(o.Answer, "\n\n"),
		o.Sent.Format(timeOfDay), o.Ended.Format(timeOfDay), o.Err)
}

// isLost reports whether a server sent a whole response that shows its end, early enough, and the caller got none.
func (e *endings) isLost(o standin.Outcome, disturbing disturbances) bool {
	runs := e.runs[o.ID]
	if len(runs) == 0 || o.Complete && o.Status < http.StatusInternalServerError {
		return false
	}
	last := runs[len(runs)-1]
	timeout := time.Duration(min(o.DeadlineMs, standin.RouteTimeoutMs)) * time.Millisecond
	early := last.finished.Before(o.Sent.Add(timeout - soundSpan))
	return last.isSound() && early && disturbing.undisturbed(o.Box, o.Sent.Add(-undisturbedSpan), o.Ended)
}

// isSound reports whether the response was whole, and shows that without its connection, some time before its server
// ended.
func (r *endRun) isSound() bool {
	if r.finished.IsZero() || r.framing == byConnection || r.status != http.StatusOK || r.garbled != "" {
		return false
	}
	return r.life.outlived(r.finished.Add(soundSpan))
}

// malformed reports whether no recipient may take the response for one.
func (e *ending) malformed() bool { return e.garbled != "" && e.garbled != garbledVersion }

// way names the way in which the last server responded to a request.
func (e *endings) way(o standin.Outcome) string {
	runs := e.runs[o.ID]
	if len(runs) == 0 {
		return o.Kind + ": no server"
	}
	last := runs[len(runs)-1]
	name := o.Kind + ": " + last.String()
	if last.after > 0 {
		name += ", continued"
	}
	return name
}

// describe returns how the servers responded to a request.
func (e *endings) describe(id string) string {
	list := []string{}
	for _, run := range e.runs[id] {
		list = append(list, fmt.Sprintf("%s: %s after piece %d of %d", run.server, run, run.after+run.pieces, endPieces))
	}
	return strings.Join(list, "; ")
}

// endFindings returns the violations with the lines of the boxes that served the requests.
func (f *fleet) endFindings() []string {
	boxes := map[string]string{}
	for _, o := range f.endings.calls {
		boxes[o.ID] = o.Box
	}
	lines := map[string][]why.Line{}
	list := []string{}
	for _, v := range f.endings.check(f.history.disturbances.unplanned()) {
		name := boxes[v.Request]
		if _, read := lines[name]; !read {
			lines[name] = f.linesOf(name)
		}
		finding := fmt.Sprintf("seed %d, %s: %s", f.settings.Seed, name, v)
		for _, line := range lines[name] {
			if line.Request == v.Request && v.Request != "" {
				finding += "\n  " + line.Text()
			}
		}
		list = append(list, finding)
	}
	return list
}

// linesOf returns the lines that a box has logged.
func (f *fleet) linesOf(name string) []why.Line {
	at := slices.IndexFunc(f.boxes, func(b *box) bool { return b.name == name })
	if at < 0 {
		return nil
	}
	file, err := os.Open(f.boxes[at].process.log)
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }()
	// Lines that can't be read only make a finding harder to trace.
	lines, _ := why.Read(nil, file)
	return lines
}

// startEnds starts the clients of a play of ends, and keeps boxes under quotas, until ctx ends.
func (f *fleet) startEnds(ctx context.Context, workers *sync.WaitGroup) {
	for i := range f.settings.Clients {
		workers.Go(func() { f.runEndClient(ctx, i) })
	}
	for _, b := range f.boxes {
		workers.Go(func() {
			for ctx.Err() == nil {
				f.throttle(b, endShare, endQuota)
				sleep(ctx, linkPollInterval)
			}
		})
	}
	workers.Go(func() {
		f.play(ctx, rand.New(rand.NewPCG(f.settings.Seed, 15)), endFaults(), boxEndGapMs)
	})
}

func endFaults() []processFault {
	return []processFault{
		{"stop a box gracefully", planStop},
		{"SIGTERM repeatedly", planRepeatedTerm},
		{"SIGHUP repeatedly", planReloads},
		{"SIGHUP during a stop", planReloadsInStop},
		{"SIGHUP after a start", planReloadsAtStart},
		{"kill a box", planKill},
	}
}

// planKill kills a box and starts it again.
func planKill(f *fleet, b *box, random *rand.Rand) func() error {
	down := drawMs(random, 0, maxDownMs)
	return func() error {
		defer f.disturb(b.name)()
		err := b.process.kill()
		time.Sleep(down)
		return errors.Join(err, b.process.start())
	}
}

// runEndClient sends requests one after the other on a connection to one box until that is gone, and then to another.
func (f *fleet) runEndClient(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(f.settings.Seed, uint64(firstEndStream+number)))
	kinds := []string{standin.Resumable, standin.Resumable, standin.Stream, standin.Safe, standin.Unsafe}
	client := f.keptClient(f.boxes[number%len(f.boxes)])
	for sequence := 0; ctx.Err() == nil; sequence++ {
		call := standin.Call{
			ID:   fmt.Sprintf("%d-n%d-%d", f.settings.Seed, number, sequence),
			Kind: kinds[random.IntN(len(kinds))], Key: f.drawKey(random), DeadlineMs: keptDeadlineMs,
		}
		if random.IntN(shortOneIn) == 0 {
			call.DeadlineMs = minDeadlineMs + random.IntN(shortRangeMs)
		}
		if random.IntN(uploadOneIn) == 0 {
			call.BodyBytes, call.Chunked = minUploadBytes+random.IntN(uploadRangeBytes), random.IntN(2) == 0
			call.BodyGap = drawMs(random, 0, uploadGapMs)
		}
		// Requests that are alike, or share a part of a prompt, would be taken for the cause of crashes.
		call.NoPrompt, call.Sends = true, call.ID+strings.Repeat("x", max(0, call.BodyBytes-len(call.ID)))
		o := client.Do(context.WithoutCancel(ctx), call)
		o.Sends = ""
		f.endings.record(o)
		if o.Status == 0 {
			client = f.keptClient(f.boxes[random.IntN(len(f.boxes))])
			sleep(ctx, refusedGap)
		}
	}
}
