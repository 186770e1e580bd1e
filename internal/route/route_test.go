package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

func members(count int, change ...func(i int, m *Member)) []Member {
	list := make([]Member, count)
	for i := range list {
		list[i] = Member{Name: fmt.Sprintf("engine-%03d", i), Weight: 100 * weightUnit, TableWeight: 100, Slots: 1000}
		for _, c := range change {
			c(i, &list[i])
		}
	}
	return list
}

func boxNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprint("box-", i)
	}
	return names
}

func pickName(t require.TestingT, policy string, v *View, key Key) string {
	p, err := PolicyByName(policy)
	require.NoError(t, err)
	position, err := p.Pick(v, key, Tried{})
	require.NoError(t, err)
	return v.Members[position].Name
}

func TestRendezvous(t *testing.T) {
	const keys = 20_000
	t.Run("is the same on all boxes", func(t *testing.T) {
		first := NewView(members(40), 125, boxNames(9), "box-1")
		second := NewView(members(40), 125, boxNames(9), "box-2")
		for i := range 1000 {
			key := NewKey("o", fmt.Sprint(i))
			assert.Equal(t, pickName(t, PolicyRendezvous, first, key), pickName(t, PolicyRendezvous, second, key))
		}
	})
	t.Run("assigns keys to members by weight", func(t *testing.T) {
		double := func(i int, m *Member) {
			if i == 0 {
				m.TableWeight = 200
			}
		}
		v := NewView(members(9, double), 125, boxNames(1), "box-0")
		counts := map[string]int{}
		for i := range keys {
			counts[pickName(t, PolicyRendezvous, v, NewKey("o", fmt.Sprint(i)))]++
		}
		assert.InDelta(t, keys/5, counts["engine-000"], keys/100)
		assert.InDelta(t, keys/10, counts["engine-001"], keys/100)
	})
	t.Run("moves only the keys of a member that leaves", func(t *testing.T) {
		all := NewView(members(40), 125, boxNames(1), "box-0")
		fewer := NewView(members(40)[1:], 125, boxNames(1), "box-0")
		moved := 0
		for i := range keys {
			key := NewKey("o", fmt.Sprint(i))
			before := pickName(t, PolicyRendezvous, all, key)
			if before != pickName(t, PolicyRendezvous, fewer, key) {
				assert.Equal(t, "engine-000", before)
				moved++
			}
		}
		assert.InDelta(t, keys/40, moved, keys/200)
	})
}

func TestPick(t *testing.T) {
	t.Run("fails when no upstream accepts new work", func(t *testing.T) {
		v := NewView(members(2, func(_ int, m *Member) { m.Draining = true }), 125, boxNames(1), "box-0")
		p, err := PolicyByName(PolicyRendezvousBound)
		require.NoError(t, err)
		_, err = p.Pick(v, 1, Tried{})
		assert.ErrorIs(t, err, ErrNoUpstream)
	})
	t.Run("fails when all slots are in use", func(t *testing.T) {
		v := NewView(members(2, func(_ int, m *Member) { m.Slots, m.Used = 1, 1 }), 125, boxNames(1), "box-0")
		p, err := PolicyByName(PolicyRendezvousBound)
		require.NoError(t, err)
		_, err = p.Pick(v, 1, Tried{})
		assert.ErrorIs(t, err, ErrSaturated)
	})
	t.Run("excludes members that were tried", func(t *testing.T) {
		v := NewView(members(2), 125, boxNames(1), "box-0")
		for _, policy := range Policies() {
			position, err := policy.Pick(v, 1, Tried{}.With(0))
			require.NoError(t, err)
			assert.Equal(t, 1, position, policy.Name)
		}
	})
	t.Run("keeps to a box's part of the load bound", func(t *testing.T) {
		v := NewView(members(10), 125, boxNames(1), "box-0")
		p, err := PolicyByName(PolicyRendezvousBound)
		require.NoError(t, err)
		for i := range 400 {
			position, err := p.Pick(v, Key(i%3), Tried{})
			require.NoError(t, err)
			v.Add(position, 1)
		}
		for _, m := range v.Members {
			assert.LessOrEqual(t, m.InFlight, 51)
		}
	})
}

func TestEjection(t *testing.T) {
	t.Run("never ejects more than the panic percentage of a pool", func(t *testing.T) {
		v := NewView(members(10), 125, boxNames(1), "box-0")
		for i := range 10 {
			v.SetEjected(i, true, 50)
		}
		ejected := 0
		for _, m := range v.Members {
			if m.Ejected {
				ejected++
			}
		}
		assert.Equal(t, 5, ejected)
	})
}

func TestSlowStartWeight(t *testing.T) {
	for _, c := range []struct {
		age  clock.Millis
		want int
	}{{0, 1000}, {15_000, 5000}, {30_000, 10_000}, {90_000, 10_000}} {
		t.Run(fmt.Sprint(c.age), func(t *testing.T) {
			assert.Equal(t, c.want, SlowStartWeight(100, 0, c.age, 30_000))
		})
	}
	t.Run("is 0 for table weight 0", func(t *testing.T) {
		assert.Zero(t, SlowStartWeight(0, 0, 0, 30_000))
	})
}

func BenchmarkPick(b *testing.B) {
	for _, policy := range []string{PolicyRendezvous, PolicyRendezvousBound} {
		for _, engines := range []int{40, 360, 1500} {
			b.Run(fmt.Sprintf("%s/engines=%d", policy, engines), func(b *testing.B) {
				v := NewView(members(engines), 125, boxNames(9), "box-1")
				p, err := PolicyByName(policy)
				require.NoError(b, err)
				for i := range engines {
					v.Add(i, 8+i%3)
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					position, err := p.Pick(v, Key(i)*0x9e3779b97f4a7c15, Tried{})
					if err != nil {
						b.Fatal(err)
					}
					v.Add(position, 1)
					v.Add(position, -1)
				}
			})
		}
	}
}

func BenchmarkRanked(b *testing.B) {
	for _, engines := range []int{40, 360, 1500} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			v := NewView(members(engines), 125, boxNames(9), "box-1")
			ranked := [6]int{}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if len(v.Ranked(Key(i)*0x9e3779b97f4a7c15, ranked[:0])) != len(ranked) {
					b.Fatal("too few ranked members")
				}
			}
		})
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	v := NewView(members(360), 125, boxNames(9), "box-1")
	ranked := [MaxTried]int{}
	for _, policy := range Policies() {
		assert.Zero(t, testing.AllocsPerRun(100, func() { _, _ = policy.Pick(v, 7, Tried{}) }), policy.Name)
	}
	assert.Zero(t, testing.AllocsPerRun(100, func() { v.Ranked(7, ranked[:0]) }))
}
