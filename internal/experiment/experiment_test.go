package experiment

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// assertWorse checks that switching a mechanism off makes a figure worse by more than twice
// its standard error.
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
	t.Run("a calm day is served whole", func(t *testing.T) {
		base := Run(nil, nil, 1, seeds).Baseline
		assert.InDelta(t, 1, base.Served, 0.0001)
		assert.InDelta(t, 1, base.Attempts, 0.0001)
	})
	t.Run("without sessions returning, prompts are read again", func(t *testing.T) {
		off := of(t, Sticky)
		assertWorse(t, off.ReadAgain, 1)
	})
	t.Run("without fetching, prompts are read again after crashes", func(t *testing.T) {
		off := of(t, Fetch, Crash)
		assertWorse(t, off.ReadAgain, 1)
		assertWorse(t, off.Moved, -1)
	})
	t.Run("without ejection, requests are late", func(t *testing.T) {
		assertWorse(t, of(t, Ejection, Crash, Cut).InTime, -1)
	})
	t.Run("without a watch on ways, requests behind a cut are late", func(t *testing.T) {
		assertWorse(t, of(t, Paths, Cut).InTime, -1)
	})
	t.Run("without a second attempt, fewer are served", func(t *testing.T) {
		assertWorse(t, of(t, Retry, Errors).Served, -1)
	})
}

func TestParse(t *testing.T) {
	faults, err := ParseFaults("crash, cut")
	require.NoError(t, err)
	assert.Equal(t, []Fault{Crash, Cut}, faults)
	none, err := ParseMechanisms("")
	require.NoError(t, err)
	assert.Empty(t, none)
	_, err = ParseMechanisms("fetch,luck")
	require.ErrorIs(t, err, ErrUnknown)
	assert.ErrorContains(t, err, "luck")
}
