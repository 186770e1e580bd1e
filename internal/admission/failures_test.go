package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/namekey"
)

// failureMs is when the failure happens.
const failureMs = 4000

// TestFailures guards against single failures that cost more than the requests that they hit.
func TestFailures(t *testing.T) {
	assertInTime := func(t *testing.T, r *result, least float64) {
		t.Helper()
		assert.GreaterOrEqual(t, r.part(r.inTime), least, "%v", r)
	}
	// play runs a load in which a failure happens, and checks the shares of short and long prompts that are in time, and
	// that no ledger keeps a permit or an ask.
	play := func(t *testing.T, load, short, long float64, prepare, fail func(f *fleet)) *fleet {
		t.Helper()
		f := newFleet(6, 12, 1)
		f.warm(shortKind, longKind)
		prepare(f)
		f.after(failureMs, func() { fail(f) })
		f.run(loadMs, steady(load), shortKind, longKind)
		f.report(t)
		assertInTime(t, f.results["short"], short)
		assertInTime(t, f.results["long"], long)
		f.now += float64(permitTTLMs)
		for _, l := range f.ledgers {
			l.Expire()
			assert.Zero(t, l.Sizes().Permits+l.Sizes().Queued)
		}
		return f
	}
	nothing := func(*fleet) {}
	t.Run("the owner of two engines dies and another one starts counting", func(t *testing.T) {
		f := play(t, 0.8, 0.95, 0.9, nothing, func(f *fleet) {
			f.ledgers[0] = f.newLedger()
			for _, c := range f.waiting {
				if f.owner(c.engine) == f.ledgers[0] {
					f.after(100, func() { f.repeatWaiting(c) })
				}
			}
		})
		assert.Zero(t, f.failed())
	})
	t.Run("a third of the engines crashes", func(t *testing.T) {
		hit := 0
		f := play(t, 0.8, 0.95, 0.75, nothing, func(f *fleet) {
			for _, e := range f.engines[:4] {
				e.down = true
			}
			for _, c := range f.calls {
				if c.engine != nil && c.engine.down && !c.released {
					f.fail(c)
				}
			}
			hit = f.failed()
		})
		assert.Equal(t, hit, f.failed())
	})
	t.Run("an asking box dies", func(t *testing.T) {
		play(t, 1, 0.95, 0.75, nothing, func(f *fleet) {
			for _, c := range f.waiting {
				if c.id.Box == "box3" {
					c.ended = true
				}
			}
			f.after(1000, func() {
				for _, l := range f.ledgers {
					f.deliver(l.ReleaseBox("box3"))
				}
			})
		})
	})
	t.Run("an organisation sends ten times its usual load", func(t *testing.T) {
		f := play(t, 1.7, 0, 0, func(f *fleet) {
			f.orgOf = func() namekey.Key { return namekey.Key(min(1, f.random.IntN(11))) }
		}, nothing)
		t.Logf("usual %v; tenfold %v", f.byOrg[0], f.byOrg[1])
		assertInTime(t, f.byOrg[0], 0.9)
	})
	t.Run("callers leave early", func(t *testing.T) {
		play(t, 1.2, 0.8, 0.6, func(f *fleet) { f.leaveAfter = 300 }, nothing)
	})
	t.Run("one in twenty starts and releases is lost", func(t *testing.T) {
		play(t, 0.8, 0.95, 0.8, func(f *fleet) { f.lose = 0.05 }, nothing)
	})
	t.Run("an engine reports a tenth of its pace, another one is four times slower", func(t *testing.T) {
		f := play(t, 0.7, 0.95, 0.85, func(f *fleet) {
			f.engines[0].reported, f.engines[1].slow = 1000, 4
		}, nothing)
		t.Log(f.ledgers[1].upstreams[1].pace, f.ledgers[2].upstreams[2].pace)
	})
}
