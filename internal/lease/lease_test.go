package lease

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"dooryard.example/dooryard/internal/clock"
)

func acquire(holder string) Record { return Record{Action: Acquire, Holder: holder, DurationMs: 10} }

func TestLease(t *testing.T) {
	t.Run("is held by the first box that acquires it", func(t *testing.T) {
		s := State{}.Apply(0, 0, acquire("a")).Apply(1, 5, acquire("b"))
		assert.Equal(t, "a", s.Holder())
		assert.EqualValues(t, 1, s.Token())
	})
	t.Run("can be acquired after it expired, with a higher token", func(t *testing.T) {
		s := State{}.Apply(0, 0, acquire("a")).Apply(1, 10, acquire("b"))
		assert.Equal(t, "b", s.Holder())
		assert.EqualValues(t, 2, s.Token())
	})
	t.Run("is not renewed by a holder that lost it", func(t *testing.T) {
		s := State{}.Apply(0, 0, acquire("a")).Apply(1, 10, Record{Action: Renew, Holder: "a", DurationMs: 10})
		assert.EqualValues(t, 10, s.UntilMs())
	})
	t.Run("ends when its holder releases it", func(t *testing.T) {
		s := State{}.Apply(0, 0, acquire("a")).Apply(1, 3, Record{Action: Release, Holder: "a"}).Apply(2, 3, acquire("b"))
		assert.Equal(t, "b", s.Holder())
	})
}

// TestRandomLeases checks that the leases of two holders never overlap in the log's time, and
// that tokens only increase.
func TestRandomLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := State{}, clock.Millis(0)
		for offset := range 50 {
			now += clock.Millis(rapid.IntRange(0, 8).Draw(t, "gap"))
			r := Record{
				Action: rapid.SampledFrom([]Action{Acquire, Renew, Release}).Draw(t, "action"),
				Holder: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder"), DurationMs: 10,
			}
			next := s.Apply(int64(offset), now, r)
			if next.Token() != s.Token() {
				assert.GreaterOrEqual(t, now, s.UntilMs())
				assert.Greater(t, next.Token(), s.Token())
			}
			s = next
		}
	})
}

func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"action":"take","holder":"a","span_ms":10}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r Record
		if json.Unmarshal(data, &r) == nil && r.Holder == "" {
			t.Fatal("a holder without a name")
		}
	})
}
