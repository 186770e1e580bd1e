package streams

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/position"
	"dooryard.example/dooryard/internal/registry"
)

// TestVersionBetweenLists guards against a version that came and went between two complete lists of the upstreams, and
// that the history is then thought to hold.
func TestVersionBetweenLists(t *testing.T) {
	cases := map[string]struct {
		// listed are the positions of the entries in the second list, which is as of the last one.
		listed   []position.Position
		complete bool
	}{
		"no change since":                      {[]position.Position{position.At(0, 4), position.At(0, 5)}, true},
		"each change since is listed":          {[]position.Position{position.At(0, 6), position.At(0, 7)}, true},
		"an entry may have been overwritten":   {[]position.Position{position.At(0, 4), position.At(0, 7)}, false},
		"the store was restored from a copy":   {[]position.Position{position.At(1, 4), position.At(1, 5)}, false},
		"the list is older than what is known": {[]position.Position{position.At(0, 2), position.At(0, 3)}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := &fakeClock{nowMs: 1}
			v, r := NewVersions(now.monotonic), registry.New(now.monotonic)
			r.OnSkip(v.Restart)
			apply := func(listed ...position.Position) {
				all := []registry.Change{}
				for i, at := range listed {
					u := registry.Upstream{ID: string(rune('a' + i)), Pool: "p", Address: "127.0.0.1:1", SoftwareVersion: "v1"}
					all = append(all, registry.Change{Upstream: u, Position: at})
				}
				v.ObserveChanges(r.ApplySnapshot(all, listed[len(listed)-1], 0))
				v.Observe(r.All())
			}
			apply(position.At(0, 4), position.At(0, 5))
			now.nowMs += WindowMs
			v.Observe(r.All())
			apply(c.listed...)
			_, complete, found := v.Sole("p")
			require.True(t, found)
			assert.Equal(t, c.complete, complete)
			now.nowMs += WindowMs
			v.Observe(r.All())
			_, complete, _ = v.Sole("p")
			assert.True(t, complete, "after a whole window")
		})
	}
}
