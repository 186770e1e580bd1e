package balance

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/pace"
)

// recordPaceSend counts a request that is about to be sent. It may be the trial of an upstream after its hold.
func (l *Lease) recordPaceSend(now clock.Millis) {
	p := &l.manager.paces
	if l.pace.Slow(now) {
		p.sentToSlow++
	}
	if l.passedSlow {
		p.passedOver++
	}
	knownPercent := l.pace.Percent(now)
	l.pace.RecordSend(now)
	if l.prefillTokens > 0 {
		// Engines prefill one prompt after another. Other upstreams run their requests side by side.
		l.ahead, l.aheadTokens = l.unanswered, l.unansweredTokens
	}
	p.requests++
	l.isUnanswered, l.number = true, p.requests
	l.unanswered++
	l.unansweredTokens += l.prefillTokens
	l.watchOverdue(knownPercent, now)
}

// endUnanswered records that the request got a response or has ended.
func (l *Lease) endUnanswered() {
	if l.isUnanswered {
		l.isUnanswered = false
		if w := l.manager.paces.overdue[l.Pool]; w != nil {
			delete(w.dueMs, l)
		}
		l.unanswered--
		l.unansweredTokens -= l.prefillTokens
	}
}

// recordFirstByte learns from the time to the first byte of a response.
func (l *Lease) recordFirstByte(now clock.Millis) {
	m := l.manager
	learning := m.paces.learning.Load()
	if !learning && !m.paces.used || l.sentMs == 0 || l.responding {
		return
	}
	took := now - l.sentMs
	if l.ahead == 0 {
		m.timesOf(l.Pool).FirstByte.Observe(l.prefillTokens, took, l.pace.Percent(now))
	}
	overdueMs, known := m.timesOf(l.Pool).FirstByte.OverdueMs(l.expected)
	if learning && !l.reportsPace && known && took <= overdueMs {
		l.usualMs = max(l.usualMs, l.sentMs)
	}
	l.learnPace(pace.Sample{Tokens: l.prefillTokens + l.aheadTokens, Ahead: l.ahead, TookMs: took}, now)
}

// gapSamples measures the gaps between the parts of a stream. The goroutine that reads the stream uses it.
type gapSamples struct {
	// parts is the number of parts since the beginning of the current sample, at sinceMs.
	parts   int
	sinceMs clock.Millis
}

// recordPart counts a part of a stream. It returns a time whenever pace.GapsPerSample gaps have passed.
func (g *gapSamples) recordPart(now clock.Millis) (took clock.Millis, complete bool) {
	if g.parts == 0 {
		g.sinceMs = now
	}
	g.parts++
	if g.parts <= pace.GapsPerSample {
		return 0, false
	}
	took = now - g.sinceMs
	g.parts, g.sinceMs = 1, now
	return took, true
}

// recordGaps learns from the gaps between the parts of a stream. It is called for each part.
func (l *Lease) recordGaps(now clock.Millis) {
	m := l.manager
	if !m.paces.learning.Load() {
		return
	}
	took, complete := l.gaps.recordPart(now)
	if !complete {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	sample := pace.Sample{Gaps: true, Tokens: percent * l.load(now), TookMs: took}
	m.timesOf(l.Pool).Gaps.Observe(sample.Tokens, took, l.pace.Percent(now))
	l.learnPace(sample, now)
}

// learnPace judges the upstream's pace by a new sample, unless the upstream reports it.
func (l *Lease) learnPace(sample pace.Sample, now clock.Millis) {
	m := l.manager
	if !m.paces.learning.Load() || l.reportsPace {
		return
	}
	sample.Request, sample.AtMs = l.number, now
	l.learner.Observe(sample)
	p, known := l.learner.Percent(m.timesOf(l.Pool), l.pace.FoundSlow(), now)
	if !known || p <= pace.SlowPercent && !l.pace.FoundSlow() {
		return
	}
	if p > pace.SlowPercent {
		l.learner.Reset()
	}
	m.findPaceUnsent(l.Member, p, paceLearnt)
}

func (m *Manager) timesOf(pool string) *pace.PoolTimes {
	if m.paces.times == nil {
		m.paces.times = map[string]*pace.PoolTimes{}
	}
	t := m.paces.times[pool]
	if t == nil {
		t = &pace.PoolTimes{}
		m.paces.times[pool] = t
	}
	return t
}
