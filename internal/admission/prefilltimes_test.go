package admission

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPrefillTimes(t *testing.T) {
	observe := func(r *prefillTimes, fixed, perToken float64, tokens ...int) {
		for range 400 {
			for _, n := range tokens {
				r.observe(prefillSample{tokens: float64(n), ms: fixed + perToken*float64(n)})
			}
		}
	}
	for _, c := range []struct {
		tokens          []int
		fixed, perToken float64
	}{{[]int{800, 1300, 11_800}, 10, 0.05}, {[]int{1000}, 0, 0.06}, {[]int{0}, 10, 0}} {
		t.Run(fmt.Sprintf("both parts are found from prompts of %v tokens", c.tokens), func(t *testing.T) {
			r := &prefillTimes{}
			observe(r, 10, 0.05, c.tokens...)
			assert.InDelta(t, c.fixed, r.fixed, 0.1)
			assert.InDelta(t, c.perToken, r.perToken, 0.001)
		})
	}
	t.Run("engines that become slower aren't taken for fast ones", func(t *testing.T) {
		r := &prefillTimes{}
		observe(r, 10, 0.05, 800, 11_800)
		observe(r, 30, 0.15, 800, 11_800)
		assert.InDelta(t, 0.15, r.perToken, 0.01)
	})
}

// TestFirstEventsAfterPrefills guards against owners that take the time between first events, at the pace of arrivals,
// for the time that engines prefill, and deny prompts at idle engines.
func TestFirstEventsAfterPrefills(t *testing.T) {
	for _, c := range []struct {
		load, firstEventMs float64
	}{{0.3, 0}, {0.3, 60}, {0.3, 200}, {0.8, 0}, {0.8, 200}} {
		t.Run(fmt.Sprintf("load %.1f, first events %.0f ms after prefills", c.load, c.firstEventMs), func(t *testing.T) {
			f := newFleet(6, 12, 1)
			f.firstEventMs = c.firstEventMs
			f.run(loadMs, steady(c.load), shortKind, longKind)
			f.forget()
			f.run(loadMs, steady(c.load), shortKind, longKind)
			f.report(t)
			for _, r := range f.results {
				assert.GreaterOrEqual(t, r.part(r.inTime), 0.95)
			}
			f.now += float64(permitTTLMs)
			for _, k := range []callerKind{shortKind, longKind} {
				l := f.owner(f.engines[0])
				l.Expire()
				first := f.ask(&call{kind: k, arrived: f.now}, f.engines[0], true)
				assert.InEpsilon(t, k.prefillMs()+c.firstEventMs, float64(first.StartInMs), 0.2, "%s alone", k.name)
				second := f.ask(&call{kind: k, arrived: f.now}, f.engines[0], true)
				assert.InEpsilon(t, 2*k.prefillMs()+c.firstEventMs, float64(second.StartInMs), 0.2, "%s behind another", k.name)
			}
		})
	}
}

// TestOverloadedStepsAreNoTimeAfterPrefills guards against owners that take the step in which an engine prefills several
// prompts for time after prefills, and accept prompts in an overload that can't be in time.
func TestOverloadedStepsAreNoTimeAfterPrefills(t *testing.T) {
	const stepMs, perStep, backlog, steps = 100, 4, 12, 16
	f, owed := newFixture(), []ID{}
	send := func() Answer {
		a := f.short()
		a.Force = true
		owed = append(owed, a.ID)
		return f.ask(t, a, Granted)
	}
	// The newest prompt of a step starts first.
	step := func() {
		f.now += stepMs
		last := len(owed) - 1
		owed = append([]ID{owed[last]}, owed[:last]...)
		started := owed[:min(perStep, len(owed))]
		owed = owed[len(started):]
		for _, id := range started {
			f.Started(id)
			f.Release(id, true)
		}
	}
	for range minStarts {
		send()
		step()
		f.now += stepMs
		send()
		f.now++
		send()
		step()
		f.now += stepMs
	}
	for range steps {
		for len(owed) < backlog {
			f.now++
			send()
		}
		step()
	}
	for len(owed) < backlog {
		send()
	}
	assert.InEpsilon(t, (backlog/perStep+1)*stepMs, float64(send().StartInMs), 0.5)
}
