package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

func content(version int64) Content {
	return Content{
		Version: version,
		Routes: []Route{
			{Name: "short", Host: "a.example", PathPrefix: "/x/", Kind: Safe, Attempts: 2, TimeoutMs: 1000, Splits: []Split{{Pool: "p", Weight: 1}}},
			{Name: "long", Host: "a.example", PathPrefix: "/x/y/", Kind: Unsafe, Attempts: 1, TimeoutMs: 1000, Splits: []Split{{Pool: "p", Weight: 9}, {Pool: "q", Weight: 1}}},
		},
		Pools:         []Pool{{Name: "p"}, {Name: "q"}},
		Organisations: []Organisation{{Name: "one", Keys: []string{"k1", "k2"}}},
	}
}

func mustNew(t *testing.T, c Content) *State {
	t.Helper()
	s, err := New(c)
	require.NoError(t, err)
	return s
}

func TestMatch(t *testing.T) {
	s := mustNew(t, content(1))
	for path, want := range map[string]string{"/x/": "short", "/x/z": "short", "/x/y/": "long", "/x/y/z": "long"} {
		t.Run("longest prefix for "+path, func(t *testing.T) {
			require.NotNil(t, s.Match("a.example:80", path))
			assert.Equal(t, want, s.Match("a.example", path).Name)
		})
	}
	t.Run("no route for another host or path", func(t *testing.T) {
		assert.Nil(t, s.Match("b.example", "/x/"))
		assert.Nil(t, s.Match("a.example", "/x"))
	})
	t.Run("a prefix with escapes or characters that a URL can't have", func(t *testing.T) {
		for prefix, path := range map[string]string{
			"/a%2fb/": "/a%2Fb/x", "/%61 b/": "/a%20b/x", "/é/": "/%C3%A9/x", "/50%/": "/50%25/x",
		} {
			c := content(1)
			c.Routes[0].PathPrefix = prefix
			assert.NotNil(t, mustNew(t, c).Match("a.example", path), prefix)
		}
	})
	t.Run("a key belongs to its organisation only", func(t *testing.T) {
		assert.Equal(t, "one", s.Organisation("k2").Name)
		assert.Nil(t, s.Organisation(""))
	})
}

func TestPoolFor(t *testing.T) {
	s := mustNew(t, content(1))
	r := s.Match("a.example", "/x/y/")
	counts := map[string]int{}
	for draw := range uint64(1000) {
		counts[r.PoolFor(draw)]++
	}
	assert.Equal(t, map[string]int{"p": 900, "q": 100}, counts)
}

func TestNewRefuses(t *testing.T) {
	for name, breakRoute := range map[string]func(r *Route){
		"a route without a pool":   func(r *Route) { r.Splits = nil },
		"an unknown kind":          func(r *Route) { r.Kind = "odd" },
		"a route without attempts": func(r *Route) { r.Attempts = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			c := content(1)
			breakRoute(&c.Routes[0])
			_, err := New(c)
			require.ErrorIs(t, err, ErrInvalid)
			assert.ErrorContains(t, err, `"short"`)
		})
	}
}

func TestStateTracker(t *testing.T) {
	now := clock.Millis(1000)
	b := NewStateTracker(func() clock.Millis { return now })
	t.Run("ignores a lower version", func(t *testing.T) {
		assert.True(t, b.Adopt(mustNew(t, content(7)), 0))
		assert.False(t, b.Adopt(mustNew(t, content(6)), 0))
		assert.Equal(t, int64(7), b.State().Version())
	})
	t.Run("is confirmed by the same version", func(t *testing.T) {
		b.Confirm(Confirmation{Version: 7, AtMs: 900})
		assert.Equal(t, clock.Millis(100), b.AgeMs())
	})
	t.Run("is not confirmed by a newer version", func(t *testing.T) {
		b.Confirm(Confirmation{Version: 8, AtMs: 990})
		assert.Equal(t, clock.Millis(100), b.AgeMs())
	})
	t.Run("an older confirmation changes nothing", func(t *testing.T) {
		b.Confirm(Confirmation{Version: 7, AtMs: 500})
		assert.Equal(t, clock.Millis(100), b.AgeMs())
	})
	t.Run("is not confirmed as of a time in the future", func(t *testing.T) {
		b.Confirm(Confirmation{Version: 7, AtMs: now + 1})
		assert.Equal(t, clock.Millis(100), b.AgeMs())
	})
}

// TestStartAfterRestore guards against keys that are accepted because a box has started right after the store was
// restored to a state in which they had not been removed yet.
func TestStartAfterRestore(t *testing.T) {
	for _, test := range []struct {
		name      string
		era       int64
		confirmed Confirmation
		accepted  bool
	}{
		{"a store that was never restored", 0, Confirmation{Version: 1, AtMs: 1000}, true},
		{"a restored store", 2, Confirmation{Version: 1, Era: 2, AtMs: 1000}, false},
		{
			"a restored store, before the operators must have written again", 2,
			Confirmation{Version: 1, Era: 2, AtMs: 1000 + resettleMs - 1},
			false,
		},
		{"a restored store, afterwards", 2, Confirmation{Version: 1, Era: 2, AtMs: 1000 + resettleMs}, true},
		{"the word of another box", 2, Confirmation{Version: 1, Era: 2, AtMs: 1000, Relayed: true}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := clock.Millis(1000)
			tracker := NewStateTracker(func() clock.Millis { return now })
			state, err := New(Content{Version: 1})
			require.NoError(t, err)
			tracker.ObserveEra(test.era)
			tracker.Adopt(state, test.era)
			now += 2 * resettleMs
			tracker.Confirm(test.confirmed)
			_, confirmed := tracker.Confirmed()
			assert.Equal(t, test.accepted, confirmed)
		})
	}
}

// TestAgeAtStart guards against an age that counts from the start of the process.
func TestAgeAtStart(t *testing.T) {
	b := NewStateTracker(func() clock.Millis { return 1000 })
	b.Adopt(mustNew(t, content(7)), 0)
	assert.Equal(t, UnknownAgeMs, b.AgeMs())
	b.Confirm(Confirmation{Version: 7, AtMs: -3000})
	assert.Equal(t, clock.Millis(4000), b.AgeMs(), "as another box told it")
}
