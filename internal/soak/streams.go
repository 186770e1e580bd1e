package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

const (
	// maxTakeUps is how often a client takes up a stream that broke.
	maxTakeUps = 3
	// takeUpWithinMs is the time within which a client that does not return at once takes up a stream.
	takeUpWithinMs = 1000
)

// streamStats holds how many broken streams clients took up, and how many of these went on.
type streamStats struct{ TakenUp, WentOn int }

// takeUp takes up a stream that broke at other boxes, at once or some time later, until it is whole.
func (f *fleet) takeUp(ctx context.Context, random *rand.Rand, clients []*standin.Client, o standin.Outcome) {
	first, after := o.ID, len(o.Events())
	for try := range maxTakeUps {
		if o.Kind != standin.Resumable || o.Complete || after == 0 || ctx.Err() != nil {
			return
		}
		if random.IntN(2) == 0 {
			time.Sleep(time.Duration(random.IntN(takeUpWithinMs)) * time.Millisecond)
		}
		call := o.Call
		call.ID, call.Resumes, call.After = fmt.Sprintf("%s-again-%d", first, try), first, after
		o = clients[random.IntN(len(clients))].Do(context.WithoutCancel(ctx), call)
		f.history.recordOutcome(o)
		after += len(o.Events())
	}
}

// nextVersion returns the software version of the next server that starts. The first servers run one version. Those
// that follow run one of two by turns.
func (f *fleet) nextVersion() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	if f.starts <= f.settings.Servers {
		return "v1"
	}
	return fmt.Sprint("v", 1+f.starts%2)
}

// checkStreams checks that each stream has events of one software version, over all requests that took it up.
func (h *history) checkStreams() []violation {
	versions := map[string][]string{}
	for _, o := range h.outcomes {
		if o.Kind == standin.Resumable && o.Status == http.StatusOK {
			first := cmp.Or(o.Resumes, o.ID)
			versions[first] = append(versions[first], o.Events()...)
		}
	}
	violations := []violation{}
	for first, list := range versions {
		if len(slices.Compact(slices.Clone(list))) > 1 {
			violations = append(violations, violation{
				"one software version in a stream", first, "events of " + strings.Join(list, " "),
			})
		}
	}
	return violations
}

// streamStats counts the requests that took up streams.
func (h *history) streamStats() streamStats {
	h.mu.Lock()
	defer h.mu.Unlock()
	stats := streamStats{}
	for _, o := range h.outcomes {
		if o.Resumes == "" {
			continue
		}
		stats.TakenUp++
		if o.Status == http.StatusOK && len(o.Events()) > 0 {
			stats.WentOn++
		}
	}
	return stats
}
