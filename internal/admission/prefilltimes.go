package admission

import (
	"math"
	"slices"
)

const (
	// minStarts is the number of starts in a pool before asks are denied because of the time that they would wait.
	minStarts = 32
	// minSamples is the number of samples from which times are expected at all.
	minSamples = 4
	// sampleDecay makes the times follow about the last 128 starts.
	sampleDecay = 1 - 1.0/maxPrefillSamples
	// maxPrefillSamples is the number of newest starts that tell the time after prefills.
	maxPrefillSamples = 128
	// minGroup is the number of samples that are needed to tell the time of a prefill from that after it.
	minGroup = 2
	// minAfterMs is the least time after prefills. Less may be the time that messages between boxes take.
	minAfterMs = minOverdueMs
	// maxFits and fitStepMs end the search for the time after prefills.
	maxFits   = 8
	fitStepMs = 1
	// nearerWeight makes the choice of the model follow about the last 16 starts, of which minSplitNearer must have come
	// nearer to what the split model expected.
	nearerWeight   = 1.0 / 16
	minSplitNearer = 0.75
	// maxDeviation bounds a sample by what was expected. An interval that contains a lost start is longer.
	maxDeviation = 4
)

// prefillSample is the start of a request at an engine. Times are in milliseconds at the usual pace.
type prefillSample struct {
	tokens float64
	// ms is the time since the engine's last progress.
	ms float64
	// overlapMs is for how long the request had been granted then. It is negative if the request was granted later.
	overlapMs float64
}

// prefillTimes learns how long engines of a pool take to prefill a prompt, a fixed part and a part per token, and how
// long the first event takes after that, while the engine prefills other prompts. Each interval between starts while an
// engine had granted requests is the time of a prefill, unless starts show a time after it.
type prefillTimes struct {
	starts, samples int
	// all are the sums over all samples. Older ones count less.
	all sums
	// newest are the newest samples. The oldest one is at index next once all places are taken.
	newest []prefillSample
	next   int
	// The model in use is embedded. It is plain, which takes each interval for the time of a prefill, or split, which
	// tells the time after prefills from it.
	prefillModel
	plain, split prefillModel
	// splitNearer is the share of the newest starts that the split model expected more exactly.
	splitNearer float64
}

func (t *prefillTimes) known() bool { return t.samples >= minSamples }

// mayDeny reports whether the times are known so well that asks may be denied because of them.
func (t *prefillTimes) mayDeny() bool { return t.starts >= minStarts && t.known() }

// ms returns the expected time to prefill the prompts of a load one after the other, in milliseconds at the usual pace.
func (t *prefillTimes) ms(w load) float64 {
	if !t.known() {
		return 0
	}
	return t.prefillModel.ms(w)
}

// startMs returns the expected time of a sample.
func (t *prefillTimes) startMs(s prefillSample) float64 {
	ms := t.ms(load{requests: 1, prefill: s.tokens})
	if t.after > 0 {
		ms += max(0, t.after-s.overlapMs)
	}
	return ms
}

// observe adds a sample.
func (t *prefillTimes) observe(s prefillSample) {
	if expected := t.startMs(s); expected > 0 {
		s.ms = min(s.ms, maxDeviation*expected+1)
	}
	t.samples++
	t.all = t.all.times(sampleDecay)
	t.all.add(s.tokens, s.ms)
	t.keep(s)
	t.plain.fixed, t.plain.perToken = fitLine(t.all)
	if !t.split.fit(t) || t.split.after < minAfterMs {
		t.split = t.plain
	}
	t.choose()
}

// expectedStart is the time to the first event that each model expected at the grant, in milliseconds.
type expectedStart struct {
	plain, split float64
}

// compare learns which model expected a start more exactly. The split model takes engines that prefill several prompts
// in one step for fast ones with a time after prefills. In an overload, prompts start much later than it expects.
func (t *prefillTimes) compare(e expectedStart, ms float64) {
	plain, split := math.Abs(e.plain-ms), math.Abs(e.split-ms)
	switch {
	case split < plain:
		t.splitNearer += nearerWeight * (1 - t.splitNearer)
	case split > plain:
		t.splitNearer -= nearerWeight * t.splitNearer
	}
	t.choose()
}

// choose puts a model in use.
func (t *prefillTimes) choose() {
	t.prefillModel = t.plain
	if t.splitNearer >= minSplitNearer {
		t.prefillModel = t.split
	}
}

// keep adds a sample to the newest ones. A request that started before others that had been granted earlier doesn't
// show for how long the engine was busy with them.
func (t *prefillTimes) keep(s prefillSample) {
	switch {
	case s.overlapMs < 0:
	case len(t.newest) < maxPrefillSamples:
		t.newest = append(t.newest, s)
	default:
		t.newest[t.next] = s
		t.next = (t.next + 1) % maxPrefillSamples
	}
}

// fit derives the times from the newest samples. If a request was granted before the last progress by more than
// the time after prefills, the engine was busy, and the interval is the time of the prefill. Otherwise the time since
// the grant is that of the prefill and the time after it.
//
// It begins with no time after prefills. Then some of the requests that overlap were granted to an engine that was not
// busy any more, so that prefills seem too long and the time after them too short, but less so with each step. While
// hardly any engine is idle, the time after prefills stays as it is. It returns false if too few engines were busy.
func (m *prefillModel) fit(t *prefillTimes) bool {
	afterMs := 0.0
	if _, idle := t.groups(afterMs); idle.n < minGroup {
		afterMs = m.after
	}
	for i := range maxFits {
		busy, idle := t.groups(afterMs)
		if busy.n < minGroup {
			return i > 0
		}
		m.fixed, m.perToken = fitLine(busy, idle)
		if idle.n < minGroup {
			return true
		}
		m.after = t.medianAfter(*m, afterMs)
		if math.Abs(m.after-afterMs) < fitStepMs {
			return true
		}
		afterMs = m.after
	}
	return true
}

// foundIdle reports whether the engine began with the request at once, if the first event comes some time after the
// prefill.
func (s prefillSample) foundIdle(afterMs float64) bool { return s.overlapMs <= afterMs }

// groups returns the sums over the requests that waited until the engine had prefilled others, and over those that it
// began with at once.
func (t *prefillTimes) groups(afterMs float64) (busy, idle sums) {
	for _, s := range t.newest {
		if s.foundIdle(afterMs) {
			idle.add(s.tokens, s.ms+s.overlapMs)
		} else {
			busy.add(s.tokens, s.ms)
		}
	}
	return busy, idle
}

// medianAfter returns the median time after the prefill of the requests that an engine began with at once. Slow spells
// that were not reported hardly change it.
func (t *prefillTimes) medianAfter(m prefillModel, afterMs float64) float64 {
	times := make([]float64, 0, len(t.newest))
	for _, s := range t.newest {
		if s.foundIdle(afterMs) {
			times = append(times, s.ms+s.overlapMs-m.fixed-m.perToken*s.tokens)
		}
	}
	slices.Sort(times)
	return max(0, times[len(times)/2])
}

// prefillModel tells the times of engines, in milliseconds at the usual pace: fixed and perToken are the time of a
// prefill, and after is that from its end to the first event.
type prefillModel struct {
	fixed, perToken, after float64
}

// ms returns the time to prefill the prompts of a load one after the other.
func (m prefillModel) ms(w load) float64 { return max(0, m.fixed*w.requests+m.perToken*w.prefill) }

// sums are those of the tokens x and the milliseconds y of n samples.
type sums struct {
	n, x, y, xx, xy float64
}

func (s *sums) add(x, y float64) {
	s.n, s.x, s.y, s.xx, s.xy = s.n+1, s.x+x, s.y+y, s.xx+x*x, s.xy+x*y
}

func (s sums) times(factor float64) sums {
	return sums{s.n * factor, s.x * factor, s.y * factor, s.xx * factor, s.xy * factor}
}

// fitLine derives the fixed part and the part per token from a group of samples by least squares. Further groups, which
// differ from the first one by a constant, tell the part per token, too. Neither part is negative, and prompts of one
// length say nothing about how they split: then all of the time counts as time per token.
func fitLine(first sums, others ...sums) (fixed, perToken float64) {
	var variance, covariance, squares float64
	for _, s := range append(others, first) {
		if s.n > 0 {
			variance += s.xx - s.x*s.x/s.n
			covariance += s.xy - s.x*s.y/s.n
			squares += s.xx
		}
	}
	if variance > minRelativeVariance*squares {
		perToken = covariance / variance
		fixed = (first.y - perToken*first.x) / first.n
		if perToken >= 0 && fixed >= 0 {
			return fixed, perToken
		}
	}
	if first.xx == 0 || perToken < 0 {
		return first.y / first.n, 0
	}
	return 0, first.xy / first.xx
}

const minRelativeVariance = 0.01
