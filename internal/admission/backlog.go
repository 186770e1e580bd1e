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
	sum      load
	// progressMs is when the engine last finished a prompt, or began to be busy.
	progressMs clock.Millis
}

func (b *backlog) add(r *request, now clock.Millis) {
	if len(b.requests) == 0 {
		b.progressMs = now
	}
	b.requests = append(b.requests, r)
	b.sum = b.sum.plus(prefillOf(r))
}

// remove takes out a request that started, or whose caller left. Only the start of a request, or the end of the
// longest-waiting one, lets the engine begin with another one.
func (b *backlog) remove(r *request, started bool, now clock.Millis) {
	i := slices.Index(b.requests, r)
	b.requests = slices.Delete(b.requests, i, i+1)
	b.sum = b.sum.minus(prefillOf(r))
	if started || i == 0 {
		b.progressMs = now
	}
}

func prefillOf(r *request) load { return load{requests: 1, prefill: float64(r.ask.PrefillTokens)} }

// prefillMs returns the expected time to prefill a load at the upstream.
func (u *upstream) prefillMs(w load) float64 { return u.pool.times.ms(w) * u.pace.factor() }

// backlogMs returns the expected time until the engine has prefilled all granted prompts. The time since its last
// progress counts as spent on the longest-waiting one: the order of the others makes no difference to the sum.
func (u *upstream) backlogMs(now clock.Millis) float64 {
	b := &u.backlog
	if len(b.requests) == 0 {
		return 0
	}
	done := min(float64(now-b.progressMs), u.prefillMs(prefillOf(b.requests[0])))
	return max(0, u.prefillMs(b.sum)-done)
}

// start moves a request from the backlog to the running ones and learns from the interval since the last progress.
func (u *upstream) start(r *request, now clock.Millis) {
	interval := float64(now - u.backlog.progressMs)
	u.backlog.remove(r, true, now)
	u.run(r, now)
	u.learn(r, interval, now)
}

// learnLateStart learns from the first event of a request whose start counted as lost, if the engine had nothing else
// to prefill. Otherwise nothing would be learnt of engines that are slower than the time after which starts count as
// lost.
func (u *upstream) learnLateStart(r *request, now clock.Millis) {
	r.startLost = false
	if r.alone {
		u.learn(r, float64(now-r.grantedMs), now)
	}
}

// learn learns from the time in milliseconds that a prompt took to prefill.
func (u *upstream) learn(r *request, interval float64, now clock.Millis) {
	times := &u.pool.times
	if times.mayDeny() {
		u.pace.observe(interval, times.ms(prefillOf(r))*u.pace.reported(), now)
	}
	times.starts++
	times.observe(r.ask.PrefillTokens, interval/u.pace.reported())
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
