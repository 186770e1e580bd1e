package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/platform/standin"
)

// Fatal requests crash the servers that run them. One client sends in turn the same request, under
// new ids, and requests that share a part of their prompts, to random boxes. Each server that starts to
// run one crashes and restarts after a delay, under its old id or a new one.
const (
	fatalTenant     = "tenant-0"
	fatalGapMs      = 700
	fatalRestartMs  = 1500
	fatalDeadlineMs = 2000
	// maxLateFatalSends is how often undisturbed boxes may still send fatal requests of a kind later
	// than undisturbedSpan after the crash at which they must quarantine them.
	maxLateFatalSends = 3
)

// fatalCrashLimits are the numbers of crashes after which boxes must quarantine fatal requests.
func fatalCrashLimits() map[standin.Fatal]int {
	return map[standin.Fatal]int{standin.FatalContent: 3, standin.FatalPart: 5}
}

// runFatalClient sends fatal requests until ctx ends.
func (f *fleet) runFatalClient(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.settings.Seed, 3))
	clients := make([]*standin.Client, len(f.boxes))
	for i, b := range f.boxes {
		clients[i] = standin.NewClient(b.name, b.callers.address())
	}
	for sequence := 0; ctx.Err() == nil; sequence++ {
		f.mu.Lock()
		key := f.config.Keys[fatalTenant][0]
		f.mu.Unlock()
		call := standin.Call{
			ID: fmt.Sprintf("%d-fatal-%d", f.settings.Seed, sequence), Kind: standin.Stream, Key: key,
			DeadlineMs: fatalDeadlineMs, HasFatalPart: sequence%2 == 0,
		}
		if !call.HasFatalPart {
			call.Sends = standin.FatalBody
		}
		f.history.recordOutcome(clients[random.IntN(len(clients))].Do(context.WithoutCancel(ctx), call))
		time.Sleep(time.Duration(minDelayMs+random.IntN(fatalGapMs)) * time.Millisecond)
	}
}

// crashOnFatal crashes a server's current incarnation, which runs a fatal request, and restarts
// the server after a delay.
func (f *fleet) crashOnFatal(s *server, crashed *standin.Server, by standin.Fatal) {
	s.mu.Lock()
	alive := s.current == crashed && !s.down
	s.down = s.down || alive
	s.mu.Unlock()
	if !alive {
		return
	}
	f.history.recordCrash(by)
	s.link.set(linkRefused)
	restartDelay := time.Duration(minDelayMs+f.draw(fatalRestartMs)) * time.Millisecond
	keepID := f.draw(2) == 0
	f.background.Go(func() {
		time.Sleep(restartDelay)
		s.link.set(linkHealthy)
		f.restartServer(s, keepID)
	})
}

// restartServer starts a server's next incarnation, under its old id or a new one.
func (f *fleet) restartServer(s *server, keepID bool) {
	f.entriesMu.Lock()
	defer f.entriesMu.Unlock()
	if !keepID {
		f.store.RemoveServer(s.id())
		f.startIncarnation(s)
		return
	}
	version := f.nextVersion()
	s.mu.Lock()
	if f.settings.KeepVersions {
		version = s.current.Version
	}
	s.current, s.down = f.newServer(s, s.current.ID, version), false
	s.mu.Unlock()
	f.writeEntry(s, false)
}

// recordCrash records that a server crashed under a fatal request.
func (h *history) recordCrash(by standin.Fatal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes[by] = append(h.crashes[by], time.Now())
}

// fatalStats holds the number of servers that crashed under fatal requests of a kind, how often these ran
// after the crash at which they must be quarantined, including runs sent by disturbed boxes, and how long
// after it one last ran.
type fatalStats struct{ Ends, After, LastMs int }

func (h *history) fatalStats() map[standin.Fatal]fatalStats {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := map[standin.Fatal]fatalStats{}
	for by, limit := range fatalCrashLimits() {
		all[by] = h.fatalStatsBy(by, limit)
	}
	return all
}

func (h *history) fatalStatsBy(by standin.Fatal, limit int) fatalStats {
	stats := fatalStats{Ends: len(h.crashes[by])}
	if stats.Ends < limit {
		return stats
	}
	limitReached := h.crashes[by][limit-1]
	for _, o := range h.outcomes {
		if o.Fatal() != by {
			continue
		}
		for _, run := range h.runs[o.ID] {
			if run.StartedAt.After(limitReached) {
				stats.After++
				stats.LastMs = max(stats.LastMs, int(run.StartedAt.Sub(limitReached).Milliseconds()))
			}
		}
	}
	return stats
}

// heldBack returns how many sound requests were refused because of a part of their prompts.
func (h *history) heldBack() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, o := range h.outcomes {
		isHeldBack := o.Status == opaque.NotRunStatus && strings.Contains(o.Answer, string(opaque.PartQuarantined))
		if isHeldBack && o.Fatal() == standin.NotFatal {
			count++
		}
	}
	return count
}

// checkFatal checks how often undisturbed boxes sent fatal requests after the time by which they must
// have quarantined them.
func (h *history) checkFatal() []violation {
	list := []violation{}
	for by, limit := range fatalCrashLimits() {
		crashes := h.crashes[by]
		if len(crashes) < limit {
			continue
		}
		late, lastID := h.lateFatalSends(by, crashes[limit-1].Add(undisturbedSpan+timingSlack))
		if late > maxLateFatalSends {
			list = append(list, violation{
				fmt.Sprintf("quarantine by %s after %d crashes", by, limit), lastID,
				fmt.Sprintf("sent %d times later, %d crashes", late, len(crashes)),
			})
		}
	}
	return list
}

// lateFatalSends returns how often undisturbed boxes sent fatal requests after a time, and the last one.
func (h *history) lateFatalSends(by standin.Fatal, from time.Time) (late int, lastID string) {
	for _, o := range h.outcomes {
		if o.Fatal() != by {
			continue
		}
		for _, run := range h.runs[o.ID] {
			if run.StartedAt.After(from) && h.wasUndisturbed(o, run) {
				late, lastID = late+1, o.ID
			}
		}
	}
	return late, lastID
}

// wasUndisturbed reports whether nothing disturbed the boxes that sent a request shortly before it ran.
func (h *history) wasUndisturbed(o standin.Outcome, run standin.Run) bool {
	for _, name := range append(h.senders(o), allBoxes) {
		if !h.disturbances.undisturbed(name, run.StartedAt.Add(-undisturbedSpan), run.StartedAt) {
			return false
		}
	}
	return true
}
