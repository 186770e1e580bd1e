package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// Bounds of lost requests, as the users state them.
const (
	// maxLostOnKept is how many requests of kept connections an undisturbed box may pass on and leave without a response.
	maxLostOnKept = 3
	// lossSlack is how long after the last byte of a request its connection may still be closed, if the request was not
	// passed on. A close may cross a request.
	lossSlack = 200 * time.Millisecond
	// stopSpan is how long after SIGTERM requests count. Of those sent later than lateSendSpan after it, servers that are
	// still at work in the last part of the grace period excuse none.
	stopSpan     = shutdownGraceS*time.Second + time.Second
	lateSendSpan = 3 * time.Second
	graceParts   = 6
	// configSpan is how long after a SIGHUP or a configuration requests count, with configSlack for the latter.
	configSpan  = 2 * time.Second
	configSlack = time.Second
	// cutRatio is how many times as often as otherwise a box must cut requests beside a configuration for them to count,
	// which those that have used usedTimeParts of ten of their time don't.
	cutRatio      = 3
	usedTimeParts = 7
	// endSlack is how much later than a client's end of a request the run may record the disturbance that caused it.
	endSlack = time.Second
)

// work is what a server did on a request that it got.
type work struct {
	server   string
	from, to time.Time
	// brokeOff is set if the server ended the connection. linkDisturbed reports whether its link was disturbed in an
	// interval.
	brokeOff bool
	// canceled is when the box closed the connection or, if it did not, when the work had ended.
	canceled      time.Time
	linkDisturbed func(from, to time.Time) bool
}

// beginWork records that a server got a request, whose context ends when the box closes the connection. The returned
// function records the end.
func (h *history) beginWork(
	ctx context.Context, request, server string, linkDisturbed func(from, to time.Time) bool,
) (end func(brokeOff bool)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	one := &work{server: server, from: time.Now(), linkDisturbed: linkDisturbed}
	context.AfterFunc(ctx, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		one.canceled = time.Now()
	})
	h.works[request] = append(h.works[request], one)
	return func(brokeOff bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		one.to, one.brokeOff = time.Now(), brokeOff
	}
}

// atWork reports whether the server was at work at or after a time.
func (w *work) atWork(at time.Time) bool { return w.to.IsZero() || w.to.After(at) }

// recordPlanned records a signal that is planned work, before it is sent.
func (h *history) recordPlanned(box string, s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGTERM {
		h.stops[box] = append(h.stops[box], time.Now())
		return
	}
	h.reloads[box] = append(h.reloads[box], time.Now())
}

// recordConfig records that a configuration is written. The returned function records its acknowledgement.
func (h *history) recordConfig() (acknowledged func()) {
	return h.beginInterval(h.configs, allBoxes)
}

// lostStats counts requests that were sent whole and whose connections boxes closed without a complete response, though
// neither the server, the client nor a time limit ended them, and no unplanned disturbance was near.
type lostStats struct {
	// OnKept are those on kept connections of undisturbed boxes, BesidePlanned those that planned work must not cut,
	// Unanswered those without any response later than lossSlack after their last byte, at any time, and Others the
	// rest, which other-cuts.txt in the run's folder lists.
	OnKept, BesidePlanned, Unanswered, Others int
	// Callers counts the particular requests of callers, by kind and phase of the box.
	Callers map[string]callerStats
	// Gone counts the work on requests whose callers had left.
	Gone goneStats
	// LongestRefusalMs is the longest time for which a box refused connections beside a restart that overlaps.
	LongestRefusalMs int64
	// LongestStartMs is the longest time from the start of a process, one of whose ports is held, to its first response.
	LongestStartMs int64
}

// cut reports whether the box closed the connection of a request that was sent whole without a complete response. It is
// none if the close crossed the request.
func (h *history) cut(o standin.Outcome) bool {
	if o.Written.IsZero() || o.Complete || h.endedOtherwise(o) {
		return false
	}
	return len(h.works[o.ID]) > 0 || o.Ended.Sub(o.Written) > lossSlack
}

// endedOtherwise reports whether a request without a complete response was ended by its client, a server or a time
// limit.
func (h *history) endedOtherwise(o standin.Outcome) bool {
	// Boxes count in whole milliseconds.
	limit := time.Duration(min(o.DeadlineMs, standin.RouteTimeoutMs)-1) * time.Millisecond
	if cancelled(o) || o.Fatal() != standin.NotFatal ||
		strings.Contains(o.Err, context.DeadlineExceeded.Error()) || o.Ended.Sub(o.Sent) >= limit {
		return true
	}
	return slices.ContainsFunc(h.works[o.ID], func(w *work) bool {
		return w.brokeOff || w.linkDisturbed(w.from, o.Ended)
	})
}

// recordKill records that a box is about to be killed.
func (h *history) recordKill(box string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kills[box] = append(h.kills[box], time.Now())
}

// recordChangedStart records that a box starts in changed surroundings. The returned function records their end.
func (h *history) recordChangedStart(box string) (end func()) {
	return h.beginInterval(h.changedStarts, box)
}

// closedBySoak reports whether the soak itself closed a request's connection: it killed the box, held one of its ports
// or disturbed the link.
func (h *history) closedBySoak(o standin.Outcome) bool {
	killed := slices.ContainsFunc(h.kills[o.Box], func(at time.Time) bool {
		end := h.endAfter(o.Box, at)
		return !o.Ended.Before(at) && (!o.Sent.After(end) || h.heldEnd(o, at, end))
	})
	interfered := h.interfered[o.Box]
	return killed || !disturbances(h.changedStarts).undisturbed(o.Box, o.Sent, o.Ended) ||
		interfered != nil && interfered(o.Local, o.Sent, o.Ended) || h.separated(o.Box, o.Sent, o.Ended)
}

// heldEnd reports whether a request was sent on a connection of a process that was killed at a time and had ended,
// which a disturbed link may have told its caller only now.
func (h *history) heldEnd(o standin.Outcome, killed, ended time.Time) bool {
	openedBy, interfered := h.openedBy[o.Box], h.interfered[o.Box]
	return openedBy != nil && openedBy(o.Local, ended) && interfered != nil && interfered(o.Local, killed, o.Ended)
}

// reachedBox reports whether the connection of a request was opened to its box, not only to the link in between.
func (h *history) reachedBox(o standin.Outcome) bool {
	forwarded := h.forwarded[o.Box]
	return forwarded == nil || forwarded(o.Local)
}

// endAfter returns when a box that was about to be killed at a time ended.
func (h *history) endAfter(box string, killed time.Time) time.Time {
	for _, at := range h.ends[box] {
		if !at.Before(killed) {
			return at
		}
	}
	return killed
}

// unanswered reports whether the box closed the connection of a request that it cut without any response, late enough
// that the close did not cross the request, whether the box had read it or not.
func (h *history) unanswered(o standin.Outcome) bool {
	return o.Status == 0 && o.Ended.Sub(o.Written) > lossSlack && !h.outlastedGrace(o) && !h.closedBySoak(o)
}

// checkLost checks that boxes lost no request.
func (h *history) checkLost() []violation {
	violations, onKept := []violation{}, map[string][]standin.Outcome{}
	stats, cutsBeside := lostStats{}, h.cutsBesideConfigs()
	for _, o := range h.outcomes {
		if !h.cut(o) {
			continue
		}
		kept, beside := h.lostOnKept(o), h.lostBesidePlanned(o, cutsBeside)
		if kept {
			onKept[o.Box] = append(onKept[o.Box], o)
			stats.OnKept++
		}
		if beside != "" {
			stats.BesidePlanned++
			violations = append(violations, violation{"no lost request beside planned work", o.ID, beside})
		}
		unanswered := h.unanswered(o)
		stats.Unanswered += boolInt(unanswered)
		switch {
		case beside != "":
		case unanswered:
			violations = append(violations, violation{"a response to each whole request", o.ID, h.describe(o)})
		case !kept && h.noUnplanned(o):
			stats.Others++
			h.otherCuts = append(h.otherCuts, o.ID+": "+h.describe(o))
		}
	}
	h.lost = stats
	return append(violations, h.keptViolations(onKept)...)
}

// keptViolations returns the violations of boxes that lost too many requests of kept connections.
func (h *history) keptViolations(onKept map[string][]standin.Outcome) []violation {
	violations := []violation{}
	for box, list := range onKept {
		if len(list) > maxLostOnKept {
			violations = append(violations, violation{
				"no lost request on a kept connection", list[0].ID,
				fmt.Sprintf("%s, the first of %d of this box", h.describe(list[0]), len(onKept[box])),
			})
		}
	}
	return violations
}

// lostOnKept reports whether an undisturbed box passed on a request of a kept connection and closed the connection
// without a response.
func (h *history) lostOnKept(o standin.Outcome) bool {
	return o.Kept && o.Status == 0 && len(h.works[o.ID]) > 0 &&
		!h.separated(o.Box, o.Sent.Add(-undisturbedSpan), o.Ended) &&
		h.disturbances.withoutQuotas().undisturbed(o.Box, o.Sent.Add(-undisturbedSpan), o.Ended.Add(endSlack))
}

// noUnplanned reports whether no unplanned disturbance was near a request.
func (h *history) noUnplanned(o standin.Outcome) bool {
	from, to := o.Sent.Add(-undisturbedSpan), o.Ended.Add(endSlack)
	for _, box := range h.senders(o) {
		if h.separated(box, from, to) || !h.disturbances.unplanned().undisturbed(box, from, to) {
			return false
		}
	}
	return true
}

// lostBesidePlanned describes how planned work cut a request that it must not cut, or returns "". The request was cut.
func (h *history) lostBesidePlanned(o standin.Outcome, cutsBeside map[string]bool) string {
	if h.outlastedGrace(o) || !h.noUnplanned(o) || !h.reachedBox(o) {
		return ""
	}
	for _, at := range h.stops[o.Box] {
		if !o.Ended.Before(at) && !o.Ended.After(at.Add(stopSpan)) {
			return fmt.Sprintf("%s, %s after SIGTERM", h.describe(o), millis(o.Ended.Sub(at)))
		}
	}
	for _, at := range h.reloads[o.Box] {
		if !o.Ended.Before(at) && !o.Sent.After(at.Add(configSpan)) {
			return fmt.Sprintf("%s, %s after SIGHUP", h.describe(o), millis(o.Ended.Sub(at)))
		}
	}
	if cutsBeside[o.Box] && h.besideConfig(o) && !usedItsTime(o) {
		return h.describe(o) + ", beside a configuration"
	}
	return ""
}

// outlastedGrace reports whether a stop may have cut a request since its server was at work for too long.
func (h *history) outlastedGrace(o standin.Outcome) bool {
	return slices.ContainsFunc(h.stops[o.Box], func(at time.Time) bool {
		lastPart := at.Add(shutdownGraceS * time.Second * (graceParts - 1) / graceParts)
		return !o.Sent.After(at.Add(lateSendSpan)) && !o.Ended.Before(lastPart) && !o.Ended.After(at.Add(stopSpan)) &&
			slices.ContainsFunc(h.works[o.ID], func(w *work) bool { return w.atWork(lastPart) })
	})
}

// describe tells where a request was lost and when.
func (h *history) describe(o standin.Outcome) string {
	age := millis(o.Ended.Sub(o.Written)).String() + " after the request's last byte"
	if o.Written.IsZero() {
		age = "before the request's last byte"
	}
	text := fmt.Sprintf("%s closed the connection at %s, %s, %q", o.Box, o.Ended.Format(timeOfDay), age, o.Err)
	if !o.Kept {
		text += ", a new connection"
	}
	if o.Caller != "" {
		text += ", " + o.Caller
	}
	at, since := h.phaseOf(o)
	text += ", sent while " + string(at)
	if at != phaseServing {
		text += fmt.Sprintf(", %s after SIGTERM", millis(since))
	}
	for _, s := range h.disturbances[o.Box] {
		if s.share > 0 && s.from.Before(o.Ended) && (s.to.IsZero() || s.to.After(o.Sent)) {
			text += fmt.Sprintf(", under a quota of %s in %s since %s", s.share, quotaPeriod, s.from.Format(timeOfDay))
		}
	}
	for _, w := range h.works[o.ID] {
		text += fmt.Sprintf(", %s worked on it from %s", w.server, w.from.Format(timeOfDay))
		if !w.to.IsZero() {
			text += " to " + w.to.Format(timeOfDay)
		}
	}
	return text
}

// timeOfDay is the layout of times in findings.
const timeOfDay = "15:04:05.000"

func millis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// usedItsTime reports whether a request had used so much of its time that a configuration may be beside the point.
func usedItsTime(o standin.Outcome) bool {
	limit := time.Duration(min(o.DeadlineMs, standin.RouteTimeoutMs)) * time.Millisecond
	return o.Ended.Sub(o.Sent) >= limit*usedTimeParts/10
}

// besideConfig reports whether a request ended beside a configuration.
func (h *history) besideConfig(o standin.Outcome) bool {
	return slices.ContainsFunc(h.configs[allBoxes], func(s *interval) bool {
		return !o.Ended.Before(s.from) && (s.to.IsZero() || !o.Ended.After(s.to.Add(configSpan+configSlack)))
	})
}

// cutsBesideConfigs tells which boxes cut requests over cutRatio times as often beside configurations as otherwise.
func (h *history) cutsBesideConfigs() map[string]bool {
	type counts struct{ requests, cuts int }
	beside, otherwise := map[string]counts{}, map[string]counts{}
	for _, o := range h.outcomes {
		if o.Written.IsZero() {
			continue
		}
		group := otherwise
		if h.besideConfig(o) {
			group = beside
		}
		c := group[o.Box]
		c.requests++
		c.cuts += boolInt(h.cut(o) && h.noUnplanned(o))
		group[o.Box] = c
	}
	boxes := map[string]bool{}
	for box, c := range beside {
		other := otherwise[box]
		boxes[box] = c.cuts*max(1, other.requests) > cutRatio*other.cuts*c.requests
	}
	return boxes
}
