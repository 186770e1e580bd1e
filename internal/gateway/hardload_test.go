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
// can read or hold, or while some engines are slow. The aims are those of docs/HARD-LOAD.md.
func TestHardLoad(t *testing.T) {
	// At these rates, prompts owed are as many as the engines can read, a tenth of the tokens in short ones.
	full := []hardKind{shortKind(57.9), longKind(36.6)}
	held := []hardKind{shortKind(26), longKind(18.9)}
	held[1].eventGapMs = 600
	light := []hardKind{shortKind(120), longKind(2)}
	const ampleTokens = 425_013
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
			// An engine holds four long prompts, each read for 0.3 s and answered for 3 s. Of those owed, 1.3 times as many
			// would have to be held.
			name: "memory for tokens is short before slots are", kinds: held, load: constantLoad(0.5, 1),
			memoryTokens: 52_500, pace: usualPaces, minInTime: map[string]float64{"short": 0.95, "long": 0.6},
		},
		{
			name: "engines are slow in spells and say so", kinds: light, load: constantLoad(1, 1), firstEventMs: 170,
			memoryTokens: ampleTokens, pace: slowSpells, saysPace: true, minInTime: map[string]float64{"": 0.96}, maxSlowShare: 0.06,
		},
		{
			name: "three engines are slow and say so", kinds: light, load: constantLoad(1, 1), firstEventMs: 170,
			memoryTokens: ampleTokens, pace: someSlow, saysPace: true, minInTime: map[string]float64{"": 0.98}, maxSlowShare: 0.06,
		},
		{
			name: "three engines are slow and don't say so", kinds: light, load: constantLoad(1, 1), firstEventMs: 170,
			memoryTokens: ampleTokens, pace: someSlow, minInTime: map[string]float64{"": 0.95},
			maxSlowShare: 0.05, slowAfterMs: 3 * clock.Second,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			runBesideOthers(t, func(f *fleet) {
				const seed = 1
				l := newHardLoad(f, c, seed)
				l.run(seed)
				l.check(t)
			})
		})
	}
}
