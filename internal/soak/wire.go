package soak

import (
	"fmt"
	"slices"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

const (
	// firstWireCaller is the number of the first caller that sends requests in unusual forms.
	firstWireCaller = 10_000
	// One server in unframedServerOneIn responds without a length or chunks.
	unframedServerOneIn = 3
	// goneSpan is how long after a caller has left servers may work on its request, and maxGonePart the inverse of the
	// part of the requests that would have run so long, and maxGone the number, on which they may work longer.
	goneSpan    = 500 * time.Millisecond
	maxGonePart = 4
	maxGone     = 3
)

// forms are the forms of requests of callers.
func forms() []string {
	return []string{
		string(standin.FormHTTP10), string(standin.FormExpect), string(standin.FormPieces), string(standin.FormLeave),
		string(standin.FormReset),
	}
}

func isForm(kind string) bool { return slices.Contains(forms(), kind) }

// wireKinds returns the kinds of callers that send requests in unusual forms.
func wireKinds() []string { return append(forms(), callerHalf) }

// goneStats counts the work on requests whose callers had left.
type goneStats struct {
	// Left is how many such requests would have run for over goneSpan, AtWork on how many of them a server worked for
	// longer, and Late how many reached a server later.
	Left, AtWork, Late int
}

// countGone counts the work on requests whose callers had left.
func (h *history) countGone() goneStats {
	stats := goneStats{}
	for _, o := range h.outcomes {
		// Other requests may have an effect, and go on.
		if o.Left.IsZero() || o.Kind == standin.Unsafe || h.quotaOrUnplanned(o) {
			continue
		}
		bound := o.Left.Add(goneSpan)
		for _, w := range h.works[o.ID] {
			switch {
			case w.linkDisturbed(w.from, bound.Add(timingSlack)):
			case w.from.After(bound.Add(timingSlack)):
				stats.Late++
			case w.atWork(bound):
				stats.Left++
				stats.AtWork += boolInt(w.canceled.IsZero() || w.canceled.After(bound.Add(timingSlack)))
			}
		}
	}
	return stats
}

// quotaOrUnplanned reports whether something other than planned work disturbed a box near a request.
func (h *history) quotaOrUnplanned(o standin.Outcome) bool {
	disturbing := h.disturbances.without(func(s *interval) bool { return s.planned })
	from, to := o.Sent.Add(-undisturbedSpan), o.Left.Add(goneSpan+endSlack)
	return slices.ContainsFunc(append(h.senders(o), allBoxes), func(box string) bool {
		return !disturbing.undisturbed(box, from, to)
	})
}

// checkGone checks that work for callers that have left ends.
func (h *history) checkGone() []violation {
	stats := h.countGone()
	h.lost.Gone = stats
	if stats.Late <= maxGone && stats.AtWork <= max(maxGone, stats.Left/maxGonePart) {
		return nil
	}
	return []violation{{"no work for callers that have left", "of callers that leave", fmt.Sprintf(
		"%s later servers worked on %d of %d, and %d reached one", goneSpan, stats.AtWork, stats.Left, stats.Late)}}
}
