package experiment

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// assertWorse asserts that disabling a mechanism makes a metric worse by more than twice its standard error. The sign
// is that of a change for the worse.
func assertWorse(t *testing.T, d Difference, sign float64) {
	t.Helper()
	assert.Positive(t, sign*d.Mean-2*d.Error, "%+v", d)
}

func TestRun(t *testing.T) {
	const seeds = 3
	of := func(t *testing.T, m Mechanism, faults ...Fault) Outcome {
		t.Helper()
		return Run([]Mechanism{m}, faults, 1, seeds).Outcomes[0]
	}
	t.Run("the same seed gives the same figures", func(t *testing.T) {
		first, again := Run(nil, Faults(), 7, 1), Run(nil, Faults(), 7, 1)
		assert.Equal(t, first, again)
	})
	t.Run("without faults all requests are served", func(t *testing.T) {
		base := Run(nil, nil, 1, seeds).Baseline
		assert.InDelta(t, 1, base.Served, 0.0001)
		assert.InDelta(t, 1, base.Attempts, 0.0001)
	})
	t.Run("without session affinity, prompts are read again", func(t *testing.T) {
		off := of(t, Sticky)
		assertWorse(t, off.Reread, 1)
	})
	t.Run("without fetching, prompts are read again after crashes", func(t *testing.T) {
		off := of(t, Fetch, Crash)
		assertWorse(t, off.Reread, 1)
		assertWorse(t, off.Fetched, -1)
	})
	t.Run("without ejection, requests are late", func(t *testing.T) {
		assertWorse(t, of(t, Ejection, Crash, Partition).InTime, -1)
	})
	t.Run("without path probing, requests during a network partition are late", func(t *testing.T) {
		assertWorse(t, of(t, PathProbing, Partition).InTime, -1)
	})
	t.Run("without retries, fewer requests are served", func(t *testing.T) {
		assertWorse(t, of(t, Retry, Errors).Served, -1)
	})
}

func TestParse(t *testing.T) {
	faults, err := ParseFaults("crash, cut")
	require.NoError(t, err)
	assert.Equal(t, []Fault{Crash, Partition}, faults)
	none, err := ParseMechanisms("")
	require.NoError(t, err)
	assert.Empty(t, none)
	_, err = ParseMechanisms("fetch,luck")
	require.ErrorIs(t, err, ErrUnknown)
	assert.ErrorContains(t, err, "luck")
}
