package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// loadMs is the length of a load.
const loadMs = 12_000

// TestLoads guards against a fleet that answers an overload of prompts with late responses instead of early refusals.
// The bounds are those of docs/HARD-LOAD.md.
func TestLoads(t *testing.T) {
	byTurns := func(ms float64) float64 {
		if int(ms/3000)%2 == 0 {
			return 1.7
		}
		return 0.3
	}
	// memoryShort is a load for which engines would need 1.3 times their memory.
	memoryShort := func(memory int, k callerKind) func(float64) float64 {
		perMs := float64(memory) / float64(k.memory()) / (k.holdMs + k.prefillMs())
		return steady(1.3 * perMs * k.prefillMs() / k.share)
	}
	slow, cached := longKind, longKind
	slow.holdMs, cached.cached = 5400, true
	for _, load := range []struct {
		name    string
		load    func(float64) float64
		memory  int
		long    callerKind
		longAim float64
		// cold is set if the ledgers have learnt nothing before the load.
		cold    bool
		varying float64
	}{
		{"prompts owed are 1.7 times what engines prefill", steady(1.7), 425_013, longKind, 0.45, false, 1},
		{"the same before anything is learnt", steady(1.7), 425_013, longKind, 0.45, true, 1},
		{"the same by turns with a light load", byTurns, 425_013, longKind, 0.6, false, 1},
		{"memory is short, few large prompts of equal length", memoryShort(64_000, slow), 64_000, slow, 0.6, false, 0},
		{"memory is short, shared parts are cached", memoryShort(200_000, cached), 200_000, cached, 0.6, false, 1},
	} {
		t.Run(load.name, func(t *testing.T) {
			short, long := &result{}, &result{}
			for seed := range uint64(4) {
				f := newFleet(6, 12, seed)
				f.urgentFirst, f.varying = seed%2 == 1, load.varying
				for _, e := range f.engines {
					e.memory = load.memory
				}
				if !load.cold {
					f.warm(shortKind, load.long)
				}
				f.results = map[string]*result{"short": short, "long": long}
				f.run(loadMs, load.load, shortKind, load.long)
			}
			t.Logf("short %v; long %v", short, long)
			assert.GreaterOrEqual(t, short.part(short.inTime), 0.95)
			assert.GreaterOrEqual(t, long.part(long.inTime), load.longAim)
			assert.Zero(t, short.failed+long.failed)
			assert.GreaterOrEqual(t, long.promptly(), 0.9)
			assert.LessOrEqual(t, short.part(short.refused), long.part(long.refused), "refused")
		})
	}
}

// TestUrgentPrompts guards against large prompts of a less urgent kind that take the time of urgent ones. The bounds are
// those of docs/HARD-LOAD.md: urgent prompts alone fit, and an eighth of the time is left to others.
func TestUrgentPrompts(t *testing.T) {
	for _, load := range []struct {
		name              string
		load, urgentShare float64
	}{
		{"half of 1.7 times what engines prefill is urgent", 1.7, 0.5},
		{"a seventh of 4 times what engines prefill is urgent", 4, 0.15},
		{"most of a slight overload is urgent", 1.2, 0.7},
	} {
		t.Run(load.name, func(t *testing.T) {
			f := newFleet(6, 12, 1)
			short, long := shortKind, longKind
			short.share, long.share = load.urgentShare, 1-load.urgentShare
			f.warm(short, long)
			f.run(loadMs, steady(load.load), short, long)
			f.report(t)
			urgent, others := f.results["short"], f.results["long"]
			assert.GreaterOrEqual(t, urgent.part(urgent.inTime), 0.95)
			assert.LessOrEqual(t, urgent.part(urgent.refused), others.part(others.refused), "refused")
			owed := load.load * long.share
			assert.GreaterOrEqual(t, others.part(others.inTime+others.late), min(1, 1.0/turnEvery/owed))
		})
	}
}
