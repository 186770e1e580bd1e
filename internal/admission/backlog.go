package admission

import (
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

const (
	// lostFactor and minLostMs are the time after which the start of a granted request counts as lost, as a multiple of
	// its expected time.
	lostFactor              = 4
	minLostMs  clock.Millis = 2000
)

// backlog holds the requests that were granted and have not started, in the order of their grants.
type backlog struct {
	requests []*request
	// progressMs is when the engine last finished a prompt, or began to be busy.
	progressMs clock.Millis
}

func (b *backlog) add(r *request, now clock.Millis) {
	if len(b.requests) == 0 {
		b.progressMs = now
	}
	b.requests = append(b.requests, r)
}

// remove takes out a request that started, or whose caller left. Only the start of a request, or the end of the
// longest-waiting one, lets the engine begin with another one.
func (b *backlog) remove(r *request, started bool, now clock.Millis) {
	i := slices.Index(b.requests, r)
	b.requests = slices.Delete(b.requests, i, i+1)
	if started || i == 0 {
		b.progressMs = now
	}
}

func prefillOf(r *request) load { return load{requests: 1, prefill: float64(r.ask.PrefillTokens)} }

// prefillMs returns the expected time to prefill a load at the upstream.
func (u *upstream) prefillMs(w load) float64 { return u.pool.times.ms(w) * u.pace.factor() }

// afterPrefillMs returns the expected time from the end of a prefill at the upstream to the first event.
func (u *upstream) afterPrefillMs() float64 { return u.pool.times.after * u.pace.factor() }

// firstEventMs returns the expected time to the first event of a request whose prefill begins after a wait.
func (u *upstream) firstEventMs(r *request, waitMs float64) clock.Millis {
	return clock.Millis(waitMs + u.prefillMs(prefillOf(r)) + u.afterPrefillMs())
}

// backlogMs returns the expected time until the engine has prefilled all granted prompts.
func (u *upstream) backlogMs(now clock.Millis) float64 {
	if !u.pool.times.known() {
		return 0
	}
	return u.backlog.ms(u.pool.times.prefillModel, u.pace.factor(), now)
}

// ms returns the time until an engine of some pace has prefilled all prompts, one after the other. It ended the one
// before them at its last progress, less the time from a prefill to the first event. If the longest-waiting one is
// overdue, it is expected to start now.
func (b *backlog) ms(m prefillModel, pace float64, now clock.Millis) float64 {
	afterMs := m.after * pace
	endMs := float64(b.progressMs) - afterMs
	for i, r := range b.requests {
		endMs = max(endMs, float64(r.grantedMs)) + m.ms(prefillOf(r))*pace
		if i == 0 {
			endMs = max(endMs, float64(now)-afterMs)
		}
	}
	return max(0, endMs-float64(now))
}

// expect returns the time to the first event of a request that is granted now, by each model.
func (u *upstream) expect(r *request, now clock.Millis) expectedStart {
	pace, times := u.pace.reported(), &u.pool.times
	by := func(m prefillModel) float64 {
		return u.backlog.ms(m, pace, now) + (m.ms(prefillOf(r))+m.after)*pace
	}
	return expectedStart{plain: by(times.plain), split: by(times.split)}
}

// start moves a request from the backlog to the running ones and learns from the interval since the last progress.
func (u *upstream) start(r *request, now clock.Millis) {
	progressMs := u.backlog.progressMs
	u.backlog.remove(r, true, now)
	u.run(r, now)
	u.pool.times.compare(r.expected, float64(now-r.grantedMs))
	u.learn(r, progressMs, now)
}

// learnLateStart learns from the first event of a request whose start counted as lost, if the engine had nothing else
// to prefill. Otherwise nothing would be learnt of engines that are slower than the time after which starts count as
// lost.
func (u *upstream) learnLateStart(r *request, now clock.Millis) {
	r.startLost = false
	if r.alone {
		u.learn(r, r.grantedMs, now)
	}
}

// sample returns the sample of a request that starts now, with the last progress of the engine before that.
func (r *request) sample(progressMs, now clock.Millis) prefillSample {
	return prefillSample{
		tokens: float64(r.ask.PrefillTokens), ms: float64(now - progressMs), overlapMs: float64(progressMs - r.grantedMs),
	}
}

// learn learns from the first event of a request.
func (u *upstream) learn(r *request, progressMs, now clock.Millis) {
	times, s, reported := &u.pool.times, r.sample(progressMs, now), u.pace.reported()
	slow := s.ms > times.startMs(s)+minOverdueMs && s.ms > times.startMs(s)*slowPercent/usualPercent
	s.ms, s.overlapMs = s.ms/reported, s.overlapMs/reported
	if times.mayDeny() {
		u.pace.slowStart = slow
		u.pace.observe(s.ms, times.startMs(s), now)
	}
	times.starts++
	times.observe(s)
}

// expireLostStarts counts requests as started whose start is long overdue. They keep their slot and their memory until
// their release or until the permit expires.
func (u *upstream) expireLostStarts(now clock.Millis) {
	for _, r := range slices.Clone(u.backlog.requests) {
		if now >= r.lostMs {
			u.backlog.remove(r, false, now)
			u.run(r, now)
			r.startLost = true
		}
	}
}
