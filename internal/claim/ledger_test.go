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

// ledgerAfter folds one record each millisecond.
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
	t.Run("lets the first claim win", func(t *testing.T) {
		l := ledgerAfter(record(TypeClaim, "a"), record(TypeClaim, "b"))
		assertState(t, Won, l, "a")
		assertState(t, Held, l, "b")
	})
	t.Run("gives others the recorded answer", func(t *testing.T) {
		l := ledgerAfter(record(TypeClaim, "a"), record(TypeSettle, "a"))
		assertState(t, Settled, l, "b")
	})
	t.Run("lets another win after a release", func(t *testing.T) {
		l := ledgerAfter(record(TypeClaim, "a"), record(TypeRelease, "a"), record(TypeClaim, "b"))
		assertState(t, Given, l, "a")
		assertState(t, Won, l, "b")
	})
	t.Run("takes a claim that comes after its release for nothing", func(t *testing.T) {
		l := ledgerAfter(record(TypeRelease, "a"), record(TypeClaim, "a"))
		assertState(t, Given, l, "a")
		assertState(t, Absent, l, "b")
	})
	t.Run("does not release what was settled", func(t *testing.T) {
		l := ledgerAfter(record(TypeClaim, "a"), record(TypeSettle, "a"), record(TypeRelease, "a"))
		assertState(t, Settled, l, "b")
	})
	t.Run("tells another request under the same key apart", func(t *testing.T) {
		l := ledgerAfter(record(TypeClaim, "a"))
		assert.Equal(t, Mismatch, l.Verdict(NewKey("choir", "k"), "b", "other").State)
	})
	t.Run("forgets a key after its window", func(t *testing.T) {
		l := ledgerAfter(record(TypeClaim, "a"))
		l.Apply(nil, testWindowMs)
		assertState(t, Absent, l, "b")
		assert.Zero(t, l.Len())
	})
}

// claimant is a box's request in a random history: it may only send after it
// saw that it won, and may only say not-run when it never sent.
type claimant struct {
	owner string
	seen  int
	sent  bool
	gave  bool
}

// TestLedgerOfRandomHistories draws histories of claimants that see the stream
// late, whose records are appended twice, late or after they gave up, and checks
// that no key runs twice and that nobody who said not-run ever ran.
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
			switch rapid.SampledFrom([]string{"append", "append", "repeat", "see", "see", "act", "give up"}).Draw(t, "step") {
			case "append":
				if len(pending) > 0 {
					at := rapid.IntRange(0, len(pending)-1).Draw(t, "which")
					log = append(log, pending[at])
					pending = append(pending[:at:at], pending[at+1:]...)
				}
			case "repeat":
				if len(log) > 0 {
					log = append(log, rapid.SampledFrom(log).Draw(t, "copy"))
				}
			case "see":
				c.seen = rapid.IntRange(c.seen, len(log)).Draw(t, "seen")
			case "act":
				if !c.gave && !c.sent && ledgerAfter(log[:c.seen]...).Verdict(NewKey("choir", "k"), c.owner, "d").State == Won {
					c.sent = true
					pending = append(pending, record(TypeSettle, c.owner))
				}
			case "give up":
				if !c.sent && !c.gave {
					c.gave = true
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
		t.Run("refuses a wrong "+name, func(t *testing.T) {
			var r Record
			assert.ErrorIs(t, json.Unmarshal([]byte(data), &r), ErrMalformed)
		})
	}
}

func TestShards(t *testing.T) {
	t.Run("spread keys evenly", func(t *testing.T) {
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
