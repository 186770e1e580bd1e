package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/evacuation"
)

// seriesFleet is a fleet of dozens of boxes, one of whose three failure domains has been evacuated for some seconds.
type seriesFleet struct {
	*largeFleet
	// startedMs is when the failure domains were evacuated.
	startedMs map[string]clock.Millis
}

func newSeriesFleet(t *testing.T) *seriesFleet {
	t.Helper()
	f := &seriesFleet{largeFleet: midSizeFleet(2500, true)}
	f.startedMs = map[string]clock.Millis{"d1": f.now}
	for _, m := range f.boxes {
		m.settings.EvacuationMs = 5 * clock.Second
		m.settings.ColdTolerance = ColdTolerance{Factor: 1.5, Slack: 5}
		m.SetFleetSize(len(f.boxes))
		m.SetColdStarts(map[string]ColdStart{"p": {RequestsPerSecond: 9.6, DurationMs: 3 * clock.Second}})
	}
	f.run(t, 6)
	return f
}

// evacuate makes the given failure domains the evacuated ones.
func (f *seriesFleet) evacuate(domains ...string) {
	list := []evacuation.Evacuation{}
	for _, domain := range domains {
		if f.startedMs[domain] == 0 {
			f.startedMs[domain] = f.now
		}
		list = append(list, evacuation.Evacuation{FailureDomain: domain, AgeMs: f.now - f.startedMs[domain]})
	}
	for _, m := range f.boxes {
		m.SetEvacuations(list)
	}
}

// TestEvacuationsInSeries evacuates the next failure domain when the one before has just been taken back, and is assumed
// to be cold, or is evacuated still. It guards against engines above twice the mean load of their pool, because the
// third failure domain gets the whole load at once.
func TestEvacuationsInSeries(t *testing.T) {
	assertBound := func(t *testing.T, fractions []float64) {
		t.Helper()
		assert.LessOrEqual(t, mean(fractions), 0.03, "requests to engines above the bound, by second: %.3f", fractions)
	}
	assertEvacuated := func(t *testing.T, f *seriesFleet) {
		t.Helper()
		assert.LessOrEqual(t, f.lastSentMs["d2"], f.startedMs["d2"]+f.boxes[0].settings.EvacuationMs-reserveMarginMs)
	}
	t.Run("one second after the end of the one before", func(t *testing.T) {
		f := newSeriesFleet(t)
		f.evacuate()
		f.run(t, 1)
		f.evacuate("d2")
		assertBound(t, f.run(t, 5))
		assertEvacuated(t, f)
	})
	t.Run("when the one before ends", func(t *testing.T) {
		f := newSeriesFleet(t)
		f.evacuate("d2")
		assertBound(t, f.run(t, 5))
		assertEvacuated(t, f)
	})
	t.Run("two seconds before the end of the one before, whose engines are warm", func(t *testing.T) {
		f := newSeriesFleet(t)
		for _, m := range f.boxes {
			m.SetColdStarts(nil)
		}
		f.evacuate("d1", "d2")
		fractions := f.run(t, 2)
		f.evacuate("d2")
		assertBound(t, append(fractions, f.run(t, 3)...))
		assertEvacuated(t, f)
	})
}
