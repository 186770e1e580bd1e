package quarantine

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

const (
	// answeredSilenceMs is how long upstreams must not have answered a part that they answered before for it to count as
	// fatal. Requests on sound upstreams are answered meanwhile, and other boxes tell of it.
	answeredSilenceMs = 2 * clock.Second
	// companionTrialMs is the time between two trial requests with a part that only ever came with a quarantined one. It
	// is likely to be sound, and other requests with it wait for the outcome.
	companionTrialMs = clock.Second
	// trialIntervalMs is the time between two trial requests after the hold of a part. By then the outcome of the first
	// one is known, also if its upstream crashed without closing connections.
	trialIntervalMs = 5 * clock.Second
	// unsentTrialMs is the time after a trial request that reached no upstream until the next one.
	unsentTrialMs = clock.Second
)

// Verdict is the decision on a request by the parts of its prompt. The zero value lets it pass.
type Verdict struct {
	// Part is the part for which the request is refused, or which it tries.
	Part PartKey
	// RemainingMs is how long the request must wait if it is refused, and otherwise 0.
	RemainingMs clock.Millis
	// Trial is set if the request shows whether its part is still fatal.
	Trial bool
	// trialIntervalMs is the time until the next trial request with the part.
	trialIntervalMs clock.Millis
}

// Refused reports whether the request is refused.
func (v Verdict) Refused() bool { return v.RemainingMs > 0 }

// Screen decides whether a request may be sent. It counts a trial request that it lets pass.
func (l *PartLedger) Screen(parts Parts) Verdict {
	v := l.screen(parts, true)
	// The mesh is asked without the lock, because it reads the ledger's events under its own lock.
	if v.Trial && (!l.sendsTrials(v.Part) || !l.beginTrial(v.Part, v.trialIntervalMs)) {
		return l.screen(parts, false)
	}
	return v
}

// beginTrial records a trial request with a part. It returns false if another one was sent a short time ago.
func (l *PartLedger) beginTrial(part PartKey, interval clock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.parts[part]
	now := l.monotonic()
	if s == nil || now < s.nextTrialMs {
		return false
	}
	s.nextTrialMs = now + interval
	return true
}

// ReturnTrial lets another trial request with a part go out soon, because one reached no upstream.
func (l *PartLedger) ReturnTrial(part PartKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.parts[part]; s != nil {
		s.nextTrialMs = min(s.nextTrialMs, l.monotonic()+unsentTrialMs)
	}
}

// Recheck decides again whether a request may be sent that Screen has let pass, but not as a trial request.
func (l *PartLedger) Recheck(parts Parts) Verdict { return l.screen(parts, false) }

func (l *PartLedger) screen(parts Parts, mayTry bool) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.parts) == 0 {
		return Verdict{}
	}
	trial := Verdict{}
	if mayTry {
		l.screened[parts.Pool]++
	}
	for _, key := range parts.Keys {
		s := l.parts[key]
		if s == nil || !l.isHeld(s) {
			continue
		}
		if mayTry {
			s.countRequest(parts.Pool, l.screened[parts.Pool])
		}
		v := l.screenPart(s, poolPart{part: key, pool: parts.Pool}, parts, mayTry)
		if v.Refused() {
			return v
		}
		if v.Trial && !trial.Trial {
			trial = v
		}
	}
	return trial
}

// screenPart decides on a request by one part of its prompt.
func (l *PartLedger) screenPart(s *suspectPart, a poolPart, parts Parts, mayTry bool) Verdict {
	now, settings := l.monotonic(), l.settings()
	answeredMs, presumed := l.answered.last(a)
	if presumed && now-answeredMs < answeredSilenceMs {
		return Verdict{}
	}
	crashes := s.crashesIn(a.pool, presumed)
	unexplained := l.unexplained(crashes, parts)
	spans := holdSpansOf(settings, presumed, s.isCommon(a.pool, l.screened[a.pool]))
	end := holdEnd(crashes.times(), settings.MinCrashes, spans)
	interval := trialIntervalMs
	if unexplained == 0 {
		interval = companionTrialMs
	}
	switch {
	case end == 0, presumed && unexplained < settings.MinCrashes:
		return Verdict{}
	case unexplained > 0 && now < end:
		return Verdict{Part: a.part, RemainingMs: end - now}
	case mayTry && now >= s.nextTrialMs:
		return Verdict{Part: a.part, Trial: true, trialIntervalMs: interval}
	default:
		return Verdict{Part: a.part, RemainingMs: interval}
	}
}

// crashesIn returns the crashes that count for requests to a pool. Those of other pools count as long as the pool has
// not answered the part.
func (s *suspectPart) crashesIn(pool namekey.Key, answeredThere bool) *suspectPart {
	if !answeredThere {
		return s
	}
	own := &suspectPart{crashes: map[namekey.Key]partCrash{}}
	for upstream, c := range s.crashes {
		if c.pool == pool {
			own.crashes[upstream] = c
		}
	}
	return own
}

// unexplained returns how many crashes of a part are not also crashes of another quarantined part, which the request
// doesn't have.
func (l *PartLedger) unexplained(s *suspectPart, parts Parts) int {
	inRequest := make(map[PartKey]bool, len(parts.Keys))
	for _, key := range parts.Keys {
		inRequest[key] = true
	}
	count := len(s.crashes)
	explained := map[namekey.Key]bool{}
	for key, other := range l.parts {
		if inRequest[key] || !l.isHeld(other) {
			continue
		}
		for upstream := range other.crashes {
			if _, shared := s.crashes[upstream]; shared && !explained[upstream] {
				explained[upstream] = true
				count--
			}
		}
	}
	return count
}
