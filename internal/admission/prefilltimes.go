package admission

const (
	// minStarts is the number of starts in a pool before asks are denied because of the time that they would wait.
	minStarts = 32
	// minSamples is the number of intervals from which times are expected at all.
	minSamples = 4
	// sampleDecay makes the times follow about the last 128 starts.
	sampleDecay = 1 - 1.0/128
	// maxDeviation bounds a sample by what was expected. An interval that contains a lost start is longer.
	maxDeviation = 4
)

// prefillTimes learns how long engines of a pool take to prefill a prompt: a fixed part and a part per token, by
// weighted least squares over the intervals between starts while an engine was busy.
type prefillTimes struct {
	starts, samples int
	// Weighted sums over samples of tokens x and milliseconds y.
	n, x, y, xx, xy float64
	fixed, perToken float64
}

func (t *prefillTimes) known() bool { return t.samples >= minSamples }

// mayDeny reports whether the times are known so well that asks may be denied because of them.
func (t *prefillTimes) mayDeny() bool { return t.starts >= minStarts && t.known() }

// ms returns the expected time to prefill the prompts of a load one after the other, in milliseconds at the usual pace.
func (t *prefillTimes) ms(w load) float64 {
	if !t.known() {
		return 0
	}
	return max(0, t.fixed*w.requests+t.perToken*w.prefill)
}

// observe adds a sample: the prefill of a number of tokens took so many milliseconds.
func (t *prefillTimes) observe(tokens int, ms float64) {
	x := float64(tokens)
	if expected := t.ms(load{requests: 1, prefill: x}); expected > 0 {
		ms = min(ms, maxDeviation*expected+1)
	}
	t.samples++
	t.n = t.n*sampleDecay + 1
	t.x = t.x*sampleDecay + x
	t.y = t.y*sampleDecay + ms
	t.xx = t.xx*sampleDecay + x*x
	t.xy = t.xy*sampleDecay + x*ms
	t.fit()
}

// fit derives both parts. Neither is negative, and prompts of one length say nothing about how they split: then all of
// the time counts as time per token.
func (t *prefillTimes) fit() {
	variance := t.n*t.xx - t.x*t.x
	if variance > minRelativeVariance*t.n*t.xx {
		t.perToken = (t.n*t.xy - t.x*t.y) / variance
		t.fixed = (t.y - t.perToken*t.x) / t.n
		if t.perToken >= 0 && t.fixed >= 0 {
			return
		}
	}
	if t.xx == 0 || t.perToken < 0 {
		t.fixed, t.perToken = t.y/t.n, 0
		return
	}
	t.fixed, t.perToken = 0, t.xy/t.xx
}

const minRelativeVariance = 0.01
