package gateway

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/registry"
)

func TestIgnored(t *testing.T) {
	t.Run("is counted each time, and told once in a while", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			b := f.box(1)
			told := 0
			for range 25 {
				if b.ignored.due("x") {
					told++
				}
				b.Ignored("x", errors.New("bad"))
				pass(f.t, time.Second)
			}
			assert.Equal(f.t, 3, told)
			assert.Equal(f.t, "25", b.metrics.all.Get("inputs_ignored").String())
		})
	})
	t.Run("takes bounded memory", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			b := f.box(1)
			for i := range 10 * maxTold {
				b.ignored.due(strconv.Itoa(i))
			}
			assert.LessOrEqual(f.t, len(b.ignored.told), maxTold)
		})
	})
}

// TestUnusableEntry has an entry that names no server to use come while entries that
// disappear may still come back with their store.
func TestUnusableEntry(t *testing.T) {
	bubble(t, func(f *fleet) {
		f.upstream("u1", answer("done"))
		f.upstream("u2", answer("done"))
		b := f.box(1)
		sink := b.newStoreSink("store").asSink()
		sink.Reached("all", errStoreAway)
		at := b.registry.Position()
		goneFor := func(id string, unusable bool) registry.Change {
			at.Offset++
			return registry.Change{Upstream: registry.Upstream{ID: id}, Gone: true, Unusable: unusable, Position: at}
		}
		sink.Upstreams([]registry.Change{goneFor("u1", true), goneFor("u2", false)})
		ids := []string{}
		for _, u := range b.registry.All() {
			ids = append(ids, u.ID)
		}
		assert.Equal(f.t, []string{"u2"}, ids, "it gets no new work at once, the other one may come back")
	})
}
