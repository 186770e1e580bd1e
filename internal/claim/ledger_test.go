package claim

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dooryard.example/dooryard/internal/clock"
)

const testWindowMs = 1000

func record(t Type, owner string) Record {
	r := Record{Type: t, Key: NewKey("choir", "k"), Owner: owner, Digest: "d"}
	if t == TypeSettle {
		r.Answer = &Answer{Status: 200}
	}
	return r
}

// ledgerAfter replays one record per millisecond.
func ledgerAfter(records ...Record) *Ledger {
	l := NewLedger(testWindowMs)
	for i, r := range records {
		l.Apply([]Record{r}, clock.Millis(i))
	}
	return l
}

func assertState(t *testing.T, want State, l *Ledger, owner string) {
	t.Helper()
	assert.Equal(t, want, l.Verdict(NewKey("choir", "k"), owner, "d").State)
}

func TestLedger(t *testing.T) {
	t.Run("first claim wins", func(t *testing.T) {
		l := ledgerAfter(record(TypeClaim, "a"), record(TypeClaim, "b"))
		assertState(t, Won, l, "a")
		assertState(t, Held, l, "b")
	})
	t.Run("other claimants get the recorded answer", func(t *testing.T) {
		l := ledgerAfter(record(TypeClaim, "a"), record(TypeSettle, "a"))
		assertState(t, Settled, l, "b")
	})
	t.Run("another claim wins after a release", func(t *testing.T) {
		l := ledgerAfter(record(TypeClaim, "a"), record(TypeRelease, "a"), record(TypeClaim, "b"))
		assertState(t, Released, l, "a")
		assertState(t, Won, l, "b")
	})
	t.Run("a claim after its release has no effect", func(t *testing.T) {
		l := ledgerAfter(record(TypeRelease, "a"), record(TypeClaim, "a"))
		assertState(t, Released, l, "a")
		assertState(t, Absent, l, "b")
	})
	t.Run("a settled key is not released", func(t *testing.T) {
		l := ledgerAfter(record(TypeClaim, "a"), record(TypeSettle, "a"), record(TypeRelease, "a"))
		assertState(t, Settled, l, "b")
	})
	t.Run("a different request under the same key is a mismatch", func(t *testing.T) {
		l := ledgerAfter(record(TypeClaim, "a"))
		assert.Equal(t, Mismatch, l.Verdict(NewKey("choir", "k"), "b", "other").State)
	})
	t.Run("a key expires after its window", func(t *testing.T) {
		l := ledgerAfter(record(TypeClaim, "a"))
		l.Apply(nil, testWindowMs)
		assertState(t, Absent, l, "b")
		assert.Zero(t, l.Len())
	})
}

// claimant is a box's request in a random history. It may send only after it has read that it
// won, and may report that it did not run only if it never sent.
type claimant struct {
	owner    string
	seen     int
	sent     bool
	released bool
}

// TestLedgerOfRandomHistories draws histories of claimants that read the stream late and whose
// records are appended twice, late, or after their release. It checks that at most one request
// runs under a key, and that no request that was reported as not run has run.
func TestLedgerOfRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := []Record{}
		claimants := []*claimant{{owner: "a"}, {owner: "b"}, {owner: "c"}}
		pending := []Record{}
		for _, c := range claimants {
			pending = append(pending, record(TypeClaim, c.owner))
		}
		for range 60 {
			c := rapid.SampledFrom(claimants).Draw(t, "claimant")
			switch rapid.SampledFrom([]string{"append", "append", "duplicate", "read", "read", "send", "release"}).Draw(t, "step") {
			case "append":
				if len(pending) > 0 {
					i := rapid.IntRange(0, len(pending)-1).Draw(t, "which")
					log = append(log, pending[i])
					pending = append(pending[:i:i], pending[i+1:]...)
				}
			case "duplicate":
				if len(log) > 0 {
					log = append(log, rapid.SampledFrom(log).Draw(t, "copy"))
				}
			case "read":
				c.seen = rapid.IntRange(c.seen, len(log)).Draw(t, "seen")
			case "send":
				if !c.released && !c.sent && ledgerAfter(log[:c.seen]...).Verdict(NewKey("choir", "k"), c.owner, "d").State == Won {
					c.sent = true
					pending = append(pending, record(TypeSettle, c.owner))
				}
			case "release":
				if !c.sent && !c.released {
					c.released = true
					pending = append(pending, record(TypeRelease, c.owner))
				}
			}
		}
		sent := 0
		for _, c := range claimants {
			if c.sent {
				sent++
			}
		}
		require.LessOrEqual(t, sent, 1, "runs under one key, log %v", log)
	})
}

func TestRecordDecoding(t *testing.T) {
	for name, data := range map[string]string{
		"type":   `{"t":"x","k":"` + NewKey("o", "k") + `","o":"a"}`,
		"key":    `{"t":"claim","k":"short","o":"a"}`,
		"owner":  `{"t":"claim","k":"` + NewKey("o", "k") + `"}`,
		"answer": `{"t":"settle","k":"` + NewKey("o", "k") + `","o":"a"}`,
	} {
		t.Run("rejects an invalid "+name, func(t *testing.T) {
			var r Record
			assert.ErrorIs(t, json.Unmarshal([]byte(data), &r), ErrMalformed)
		})
	}
}

func TestShards(t *testing.T) {
	t.Run("keys are spread evenly", func(t *testing.T) {
		counts := make([]int, Shards)
		for i := range 64_000 {
			counts[Shard(NewKey("o", fmt.Sprint(i)))]++
		}
		for shard, count := range counts {
			assert.InDelta(t, 1000, count, 200, "shard %d", shard)
		}
	})
}

func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"t":"claim","k":"` + NewKey("o", "k") + `","o":"a","d":"x"}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var batch Batch
		if json.Unmarshal(data, &batch) == nil {
			NewLedger(testWindowMs).Apply(batch.Records, 1)
		}
		var r Record
		if json.Unmarshal(data, &r) == nil {
			NewLedger(testWindowMs).Apply([]Record{r}, 1)
		}
	})
}
