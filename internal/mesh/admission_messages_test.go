package mesh

import (
	"math"
	"net"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/pace"
)

// TestAdmissionMessages guards against messages that are larger than planned, that other boxes misread, and malformed
// datagrams that are taken for valid ones.
func TestAdmissionMessages(t *testing.T) {
	largest := admission.Ask{
		ID: admission.ID{Box: "b", Number: math.MaxUint32}, Pool: math.MaxUint32, Upstream: math.MaxUint32, Organisation: math.MaxUint32,
		Session: math.MaxUint32, Urgency: maxUrgency, PrefillTokens: math.MaxUint32, OwnTokens: math.MaxUint32, SharedTokens: math.MaxUint32,
		MemoryTokens: math.MaxUint32, Slots: math.MaxUint16, Bound: math.MaxUint16, InTimeMs: -math.MaxUint16, PatienceMs: math.MaxUint16,
		SlowPercent: math.MaxUint16, MayQueue: true, Force: true,
	}
	answer := admission.Answer{Verdict: admission.Queued, StartInMs: math.MaxUint32, DrainMs: math.MaxUint32, Late: true, Provisional: true, SlowPercent: 996}
	larger := largest
	larger.Urgency, larger.OwnTokens, larger.Slots, larger.InTimeMs, larger.PatienceMs = 900, 1<<40, 1<<40, -1<<40, 1<<40
	for name, c := range map[string]struct {
		message any
		limit   int
	}{
		"the largest ask":           {newAskMessage(larger), 64},
		"the ask of a prompt":       {newAskMessage(admission.Ask{Pool: 1 << 31, Upstream: 1 << 31, Organisation: 1 << 31, Session: 1 << 31, PrefillTokens: 1300, OwnTokens: 1500, SharedTokens: 10_512, MemoryTokens: 425_013, Slots: 64, Bound: 80, InTimeMs: 2000, PatienceMs: 12_000, ID: admission.ID{Number: 1 << 31}}), 56},
		"the largest long ask":      {newLongAskMessage(larger), 64},
		"the largest answer":        {newAnswerMessage(math.MaxUint32, answer), 19},
		"a renewal of one request":  {newRenewalMessage([]uint32{math.MaxUint32}), 24 + 4},
		"a renewal of 344 requests": {newRenewalMessage(make([]uint32, maxRenewedNumbers)), 24 + 4*344},
		"the largest end":           {endMessage{Kind: admissionReleaseServed, Number: math.MaxUint32}, 7},
	} {
		t.Run(name+" is small and ignored by boxes of earlier releases", func(t *testing.T) {
			data, err := cbor.Marshal(c.message)
			require.NoError(t, err)
			t.Logf("%d bytes", len(data))
			assert.LessOrEqual(t, len(data), c.limit)
			assert.True(t, isAdmissionMessage(data))
			assert.False(t, isOriginMessage(data))
			_, err = decodePermitMessage(data)
			require.ErrorIs(t, err, ErrInvalid)
		})
	}
	t.Run("values arrive, limited to their ranges", func(t *testing.T) {
		data, err := cbor.Marshal(newAskMessage(larger))
		require.NoError(t, err)
		p, err := decodeAdmission[askMessage](data)
		require.NoError(t, err)
		assert.Equal(t, largest, p.ask("b"))
		got, err := newAnswerMessage(1, answer).answer()
		require.NoError(t, err)
		assert.Equal(t, answer, got)
	})
	t.Run("a slow pace arrives within half a step, and no other one", func(t *testing.T) {
		for percent := range pace.MaxPercent + 1 {
			got, err := newAnswerMessage(1, admission.Answer{SlowPercent: percent}).answer()
			require.NoError(t, err)
			if percent <= pace.SlowPercent {
				assert.Zero(t, got.SlowPercent)
				continue
			}
			assert.InDelta(t, percent, got.SlowPercent, paceStep/2)
			assert.Greater(t, got.SlowPercent, pace.SlowPercent)
		}
	})
	t.Run("times of up to an hour arrive, and the time between them exactly enough to tell kinds of request", func(t *testing.T) {
		for _, times := range [][2]clock.Millis{
			{500, 120_000}, {437, 119_937}, {-80_000, 39_500}, {90_000, 3_600_000}, {-3_600_000, 100}, {2000, 1 << 40},
		} {
			asked := admission.Ask{Urgency: 63, MayQueue: true, Force: true, InTimeMs: times[0], PatienceMs: times[1]}
			require.True(t, isLong(asked))
			data, err := cbor.Marshal(newLongAskMessage(asked))
			require.NoError(t, err)
			p, err := decodeAdmission[askMessage](data)
			require.NoError(t, err)
			got, wantPatience := p.ask("b"), min(times[1], maxLongSpanMs)
			assert.InDelta(t, int(times[0]), int(got.InTimeMs), float64(tenthMs))
			assert.InDelta(t, int(wantPatience), int(got.PatienceMs), float64(tenthMs))
			assert.InDelta(t, int(wantPatience-times[0]), int(got.PatienceMs-got.InTimeMs), float64(tenthMs)/2)
			assert.Equal(t, []any{maxLongUrgency, true, true}, []any{got.Urgency, got.MayQueue, got.Force})
		}
		assert.False(t, isLong(admission.Ask{InTimeMs: -math.MaxUint16, PatienceMs: math.MaxUint16}))
	})
	t.Run("malformed messages are ignored", func(t *testing.T) {
		runAdmissions(t, func(f *admissions) {
			for i, data := range [][]byte{{0x85, 8, 1, 1, 1, 1}, {0x85, 9, 1, 1, 1, 3}, {0x82, 10, 0x20}, {0x82, 14, 0x43, 0, 0, 1}, {0x82, 14, 1}} {
				f.owner.handleAdmissionMessage(data, &net.UDPAddr{})
				assert.Equal(f.t, int64(i+1), f.owner.Sizes().Ignored)
			}
		})
	})
}

// TestEarlierReleases guards against asks and answers that boxes of earlier releases can't decode, and the other way
// round. Those decode arrays of these lengths with these limits, and the four lowest bits of the flags of an answer.
func TestEarlierReleases(t *testing.T) {
	var ask, answer []uint64
	data, err := cbor.Marshal(newAskMessage(admission.Ask{PatienceMs: 120_000}))
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(data, &ask))
	assert.Equal(t, []uint64{8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, math.MaxUint16, 0, 0}, ask)
	full := admission.Answer{Verdict: admission.Queued, StartInMs: 1, DrainMs: 2, Late: true, Provisional: true, SlowPercent: 996}
	data, err = cbor.Marshal(newAnswerMessage(7, full))
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(data, &answer))
	assert.Equal(t, []uint64{9, 7, 1, 2, 0xfe}, answer)
	p, err := decodeAdmission[answerMessage]([]byte{0x85, 9, 7, 1, 2, 0x0e})
	require.NoError(t, err)
	assert.False(t, p.readsLongAsks())
	got, err := p.answer()
	require.NoError(t, err)
	full.SlowPercent = 0
	assert.Equal(t, full, got)
}
