package gateway

import (
	"math/rand/v2"
	"testing"

	"dooryard.example/dooryard/internal/clock"
)

// constantLoad is a light load during the warm-up, and then a constant one.
func constantLoad(warmUp, load float64) func(clock.Millis) float64 {
	return func(ms clock.Millis) float64 {
		if ms < 0 {
			return warmUp
		}
		return load
	}
}

func usualPaces(*rand.Rand) func(int, clock.Millis) int {
	return func(int, clock.Millis) int { return usualPace }
}

// someSlow makes the first three engines four times slower once the warm-up is over.
func someSlow(*rand.Rand) func(int, clock.Millis) int {
	return func(engine int, ms clock.Millis) int {
		if engine < 3 && ms >= 0 {
			return 4 * usualPace
		}
		return usualPace
	}
}

// slowSpells makes each engine three times slower for one spell of 600 ms in each 4 s.
func slowSpells(r *rand.Rand) func(int, clock.Millis) int {
	const spellMs, cycleMs clock.Millis = 600, 4000
	var starts [hardEngines][hardRunMs / cycleMs]clock.Millis
	for engine := range starts {
		for cycle := range starts[engine] {
			starts[engine][cycle] = clock.Millis(cycle)*cycleMs + clock.Millis(r.Int64N(int64(cycleMs-spellMs)))
		}
	}
	return func(engine int, ms clock.Millis) int {
		if ms < 0 || ms >= hardRunMs {
			return usualPace
		}
		if start := starts[engine][ms/cycleMs]; start <= ms && ms < start+spellMs {
			return 3 * usualPace
		}
		return usualPace
	}
}

// TestHardLoad guards against callers who get late responses, late refusals or none while prompts exceed what engines
// can prefill or hold, or while some engines are slow. The aims are those of docs/HARD-LOAD.md.
func TestHardLoad(t *testing.T) {
	// At these rates, as many prompts arrive as the engines can prefill, a tenth of the tokens in short ones.
	full := []hardKind{shortKind(57.9), longKind(36.6)}
	held := []hardKind{shortKind(26), longKind(18.9)}
	held[1].eventGapMs = 600
	// ampleTokens is the memory of the first customer's engines.
	const ampleTokens = 425_013
	// slowCase is a light load while some engines are slow.
	slowCase := func(name string, pace func(*rand.Rand) func(int, clock.Millis) int, inTime, maxSlowShare float64) hardCase {
		return hardCase{
			name: name, kinds: []hardKind{shortKind(120), longKind(2)}, load: constantLoad(1, 1), firstEventMs: 170,
			memoryTokens: ampleTokens, pace: pace, saysPace: true, minInTime: map[string]float64{"": inTime},
			maxSlowShare: maxSlowShare,
		}
	}
	unsaid := slowCase("three engines are slow and don't say so", someSlow, 0.95, 0.05)
	unsaid.saysPace, unsaid.slowAfterMs = false, 3*clock.Second
	for _, c := range []hardCase{
		{
			name: "prompts owed are 1.7 times what engines can read", kinds: full, load: constantLoad(0.5, 1.7),
			memoryTokens: ampleTokens, pace: usualPaces, minInTime: map[string]float64{"short": 0.95, "long": 0.45},
		},
		{
			name: "the same by turns of 3 s with a light load", kinds: full, load: func(ms clock.Millis) float64 {
				if ms < 0 || ms/(3*clock.Second)%2 == 1 {
					return 0.4
				}
				return 1.7
			}, memoryTokens: ampleTokens, pace: usualPaces, minInTime: map[string]float64{"short": 0.95, "long": 0.6},
		},
		{
			// An engine holds four long prompts, each prefilled for 0.3 s and answered for 3 s. To serve all in time, engines
			// would have to hold 1.3 times as many.
			name: "memory for tokens is short before slots are", kinds: held, load: constantLoad(0.5, 1),
			memoryTokens: 52_500, pace: usualPaces, minInTime: map[string]float64{"short": 0.95, "long": 0.6},
		},
		slowCase("engines are slow in spells and say so", slowSpells, 0.96, 0.06),
		slowCase("three engines are slow and say so", someSlow, 0.98, 0.06),
		unsaid,
	} {
		t.Run(c.name, func(t *testing.T) {
			runBesideOthers(t, func(f *fleet) {
				l := newHardLoad(f, c)
				l.run()
				l.check(t)
			})
		})
	}
}
