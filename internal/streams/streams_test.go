package streams

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/registry"
)

// fakeClock is a monotonic clock that tests advance.
type fakeClock struct{ nowMs clock.Millis }

func (c *fakeClock) monotonic() clock.Millis { return c.nowMs }

const (
	v1 OriginKey = 1
	v2 OriginKey = 2
)

// TestInquiryOrigin guards against a stream that goes on at a version which nobody has proved to be its own.
func TestInquiryOrigin(t *testing.T) {
	view := func(sole OriginKey, complete, fresh bool) View {
		return View{Sole: sole, Complete: complete, Fresh: fresh}
	}
	answers := func(views ...View) []Answer {
		list := []Answer{}
		for _, v := range views {
			list = append(list, Answer{View: v})
		}
		return list
	}
	for name, c := range map[string]struct {
		inquiry Inquiry
		want    OriginKey
	}{
		"a record counts, whatever else is known": {
			Inquiry{Own: view(v1, true, true), Answers: []Answer{{View: view(v1, true, true)}, {Origin: v2}}}, v2,
		},
		"one version for long, fresh":                  {Inquiry{Own: view(v1, true, true)}, v1},
		"another box has known it for long":            {Inquiry{Own: view(v1, false, true), Answers: answers(view(v1, true, true))}, v1},
		"nobody has known it for long":                 {Inquiry{Own: view(v1, false, true), Answers: answers(view(v1, false, true))}, Unknown},
		"another box knows a second version":           {Inquiry{Own: view(v1, true, true), Answers: answers(View{})}, Unknown},
		"another box knows another version":            {Inquiry{Own: view(v1, true, true), Answers: answers(view(v2, true, true))}, Unknown},
		"this box knows two versions":                  {Inquiry{Answers: answers(view(v1, true, true))}, Unknown},
		"not fresh, alone":                             {Inquiry{Own: view(v1, true, false), AllDomains: true}, Unknown},
		"not fresh, a failure domain is silent":        {Inquiry{Own: view(v1, true, false), Answers: answers(view(v1, true, false))}, Unknown},
		"not fresh, all failure domains agree":         {Inquiry{Own: view(v1, true, false), Answers: answers(view(v1, true, false)), AllDomains: true}, v1},
		"fresh here, for long elsewhere, no agreement": {Inquiry{Own: view(v1, false, true), Answers: answers(view(v1, true, false))}, Unknown},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.want, c.inquiry.Origin()) })
	}
}

func TestLedger(t *testing.T) {
	t.Run("keeps a record for the window, and not for three times as long", func(t *testing.T) {
		for _, startMs := range []clock.Millis{0, WindowMs / 2, WindowMs - 1} {
			c := &fakeClock{}
			l := NewLedger(c.monotonic)
			c.nowMs = startMs
			l.Add(Record{ID: 7, Origin: v1})
			c.nowMs += WindowMs - 1
			assert.Equal(t, v1, l.Origin(7))
			c.nowMs = startMs + 3*WindowMs
			assert.Equal(t, Unknown, l.Origin(7))
			assert.Zero(t, l.Size())
		}
	})
	t.Run("drops the oldest records when it is full", func(t *testing.T) {
		l := NewLedger((&fakeClock{}).monotonic)
		for i := range 3 * maxRecords {
			l.Add(Record{ID: ID(i), Origin: v1})
		}
		assert.LessOrEqual(t, l.Size(), 2*maxRecords)
		assert.Equal(t, Unknown, l.Origin(0))
		assert.Equal(t, v1, l.Origin(3*maxRecords-1))
	})
	t.Run("returns the untold records of a pool once", func(t *testing.T) {
		c := &fakeClock{}
		l := NewLedger(c.monotonic)
		first, other := Origin{Pool: "p", Version: "v1"}, Origin{Pool: "q", Version: "v1"}
		l.AddOwn(1, first, "a", false)
		c.nowMs = WindowMs
		l.AddOwn(2, first, "a", false)
		l.AddOwn(3, other, "a", false)
		l.AddOwn(4, first, "a", true)
		assert.ElementsMatch(t, []Record{{ID: 1, Origin: first.Key()}, {ID: 2, Origin: first.Key()}}, l.TakeUntold("p"))
		assert.Empty(t, l.TakeUntold("p"))
		assert.Equal(t, first.Key(), l.Origin(1))
		assert.Len(t, l.TakeUntold("q"), 1)
	})
}

// TestLedgerRetract guards against a stream that goes on although its upstream may have run another version.
func TestLedgerRetract(t *testing.T) {
	c := &fakeClock{}
	l := NewLedger(c.monotonic)
	origin := Origin{Pool: "p", Version: "v1"}
	l.AddOwn(1, origin, "a", false)
	c.nowMs = doubtMs
	l.AddOwn(2, origin, "a", true)
	l.AddOwn(3, origin, "b", false)
	assert.Equal(t, []Record{{ID: 2, Origin: Unknown}}, l.Retract("a"))
	assert.Equal(t, origin.Key(), l.Origin(1), "it began long before")
	assert.Equal(t, origin.Key(), l.Origin(3), "it began at another upstream")
	assert.True(t, l.Retracted(2))
	assert.False(t, l.AddOwn(2, origin, "a", true))
	c.nowMs += WindowMs
	assert.True(t, l.Retracted(2))
}

// TestVersions guards against a version that counts as the only one although another one has just served.
func TestVersions(t *testing.T) {
	list := func(versions ...string) []registry.Upstream {
		all := []registry.Upstream{}
		for _, v := range versions {
			all = append(all, registry.Upstream{ID: v, Pool: "p", SoftwareVersion: v})
		}
		return all
	}
	assertSole := func(t *testing.T, v *Versions, want string, wantComplete bool) {
		t.Helper()
		sole, complete, found := v.Sole("p")
		assert.Equal(t, want != "", found)
		assert.Equal(t, want, sole.Version)
		assert.Equal(t, wantComplete, complete)
	}
	c := &fakeClock{nowMs: 1}
	v := NewVersions(c.monotonic)
	assertSole(t, v, "", false)
	assert.Equal(t, Changes{}, v.Observe(list("v1")))
	assertSole(t, v, "v1", false)
	c.nowMs += WindowMs
	assertSole(t, v, "v1", true)
	assert.Equal(t, Changes{Mixed: []string{"p"}}, v.Observe(list("v1", "v2")))
	assertSole(t, v, "", false)
	c.nowMs += 2 * WindowMs
	assert.Equal(t, Changes{}, v.Observe(list("v2")))
	c.nowMs += WindowMs - 1
	assertSole(t, v, "", false)
	origin, found := v.Find(Origin{Pool: "p", Version: "v1"}.Key(), []string{"q", "p"})
	assert.True(t, found)
	assert.Equal(t, Origin{Pool: "p", Version: "v1"}, origin)
	c.nowMs++
	assertSole(t, v, "v2", true)
	c.nowMs += 10 * WindowMs
	assertSole(t, v, "v2", true)
	newer := registry.Upstream{ID: "v2", Pool: "q", SoftwareVersion: "v3"}
	assert.Equal(t, Changes{Replaced: []string{"v2"}}, v.Observe([]registry.Upstream{newer}))
}

// TestVersionsAfterAllEntriesLapsed guards against a version that counts as the only one of the window because it is the
// first to be listed again after the entries of all upstreams had lapsed for longer.
func TestVersionsAfterAllEntriesLapsed(t *testing.T) {
	c := &fakeClock{nowMs: 1}
	v := NewVersions(c.monotonic)
	upstream := func(version string) registry.Upstream {
		return registry.Upstream{ID: version, Pool: "p", SoftwareVersion: version}
	}
	v.Observe([]registry.Upstream{upstream("v1"), upstream("v2")})
	c.nowMs += 2 * WindowMs
	v.Observe(nil)
	c.nowMs += WindowMs + clock.Second
	v.Observe([]registry.Upstream{upstream("v2")})
	sole, complete, found := v.Sole("p")
	assert.True(t, found)
	assert.Equal(t, "v2", sole.Version)
	assert.False(t, complete, "v1 may have served within the window")
	c.nowMs += WindowMs
	_, complete, _ = v.Sole("p")
	assert.True(t, complete)
}
