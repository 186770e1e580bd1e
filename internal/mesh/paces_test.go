package mesh

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/pace"
)

var slowUpstream = pace.Finding{Upstream: math.MaxUint32, Percent: 1000, AgeTens: 100, HoldSteps: 5}

// heard returns the findings that a box has heard of.
func (b *box) heard() []pace.Finding {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heardSlow
}

// TestPaceFindings guards against findings that don't reach other boxes, and against traffic in large fleets.
func TestPaceFindings(t *testing.T) {
	t.Run("boxes of a small fleet hear of findings within a round of pings, or at once", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			for range 6 {
				f.start("d")
			}
			advance(f.t, 3*time.Second)
			told := pace.Finding{Upstream: 1, Percent: 200}
			f.boxes[1].SendPaceFinding(told)
			advance(f.t, 10*time.Millisecond)
			for i, b := range f.boxes {
				assert.Equal(f.t, i != 1, len(b.heard()) == 1, b.self.Box)
			}
			f.boxes[0].setSlow(slowUpstream)
			advance(f.t, 300*time.Millisecond)
			for _, b := range f.boxes[1:] {
				assert.Contains(f.t, b.heard(), slowUpstream, b.self.Box)
			}
			before := f.boxes[1].Sizes().SentBytes
			for range 100 {
				f.boxes[1].SendPaceFinding(told)
			}
			assert.LessOrEqual(f.t, f.boxes[1].Sizes().SentBytes-before, int64(maxSentFindings*5*16))
		})
	})
	t.Run("above 32 boxes they are not exchanged", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			for range smallFleetBoxes + 2 {
				f.start("d").setSlow(slowUpstream)
			}
			advance(f.t, 6*time.Second)
			for _, b := range f.boxes {
				b.mu.Lock()
				b.heardSlow = nil
				b.mu.Unlock()
			}
			f.boxes[0].SendPaceFinding(slowUpstream)
			advance(f.t, 3*time.Second)
			for _, b := range f.boxes {
				assert.Empty(f.t, b.heard(), b.self.Box)
			}
		})
	})
	t.Run("boxes of an earlier release ignore findings, and are heard without any", func(t *testing.T) {
		identity := Identity{Box: "b", FailureDomain: "d", Address: "127.0.0.1:1"}
		data, err := (&packet{Type: typePing, From: identity, PaceFindings: []pace.Finding{slowUpstream}}).encode()
		require.NoError(t, err)
		var old struct {
			Type packetType `cbor:"1,keyasint"`
			From Identity   `cbor:"2,keyasint"`
		}
		require.NoError(t, cbor.Unmarshal(data, &old))
		assert.Equal(t, identity, old.From)
		without, err := (&packet{Type: typePing, From: identity}).encode()
		require.NoError(t, err)
		p, err := decode(without)
		require.NoError(t, err)
		assert.Empty(t, p.PaceFindings)
	})
	t.Run("an old box counts the message as invalid, and answers as before", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			old, b := f.start("d"), f.start("d")
			advance(f.t, 3*time.Second)
			// The kind after the newest one stands for this one at a box of an earlier release.
			b.sendOriginMessage(old.self.Address, paceFindingMessage{Kind: paceFindingKind + 1, Finding: slowUpstream})
			advance(f.t, time.Second)
			assert.EqualValues(f.t, 1, old.Sizes().Ignored)
			assert.Equal(f.t, 2, b.Boxes())
		})
	})
	t.Run("a finding takes at most 12 bytes", func(t *testing.T) {
		data, err := cbor.Marshal(slowUpstream)
		require.NoError(t, err)
		assert.LessOrEqual(t, len(data), 12, "%x", data)
	})
}

// setSlow sets the upstreams that a box found slow.
func (b *box) setSlow(list ...pace.Finding) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slow = list
}
