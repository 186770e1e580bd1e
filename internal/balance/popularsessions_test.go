package balance

import (
	"context"
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/work"
)

// popularFleet is a fleet of dozens of boxes with one of three failure domains evacuated. A third of the requests are of
// two sessions, of which each box sees less than one a second, and the rate swings.
func popularFleet(popular int, swing float64) *largeFleet {
	const (
		exchangeMs clock.Millis = 250
		cycleMs    clock.Millis = 1250
		periodMs                = 11_000
		allSmall                = 300
	)
	f := newLargeFleet(82, 60)
	f.kinds = []requestKind{{perSecond: 420, sessions: allSmall, tokens: 500, streamMs: 750}}
	for _, e := range f.models {
		e.speed = 1
	}
	f.gossip = func() {
		if f.now%exchangeMs == 0 {
			f.exchangeLoads(cycleMs)
		}
	}
	f.session = func(int) string {
		if f.random.IntN(3) == 0 {
			return fmt.Sprint("popular", f.random.IntN(popular))
		}
		return fmt.Sprint(f.random.IntN(allSmall))
	}
	f.rate = func() float64 { return 1 + swing*math.Sin(2*math.Pi*float64(f.now)/periodMs) }
	for _, m := range f.boxes {
		m.SetEnginePermits(true)
		m.SetOthersInFlightAge(reportTTLMs)
		m.SetEvacuations(evacuated(0, "d1"))
	}
	return f
}

// withAdmission makes owners admit the prompts of a fleet.
func withAdmission(f *largeFleet) *largeFleet {
	ledger := admission.New(func() clock.Millis { return f.now })
	admit := func(_ context.Context, _ *Lease, a admission.Ask) admission.Reply {
		f.permitRequests++
		a.ID = admission.ID{Box: "b", Number: f.permitRequests}
		answer, _ := ledger.Ask(a)
		if answer.Verdict == admission.Queued {
			// The simulation can't wait: a prompt that waits for the bound is denied, and another one counted at once.
			ledger.Release(a.ID, false)
			answer.Verdict = admission.Denied
			if a.Bound == 0 {
				a.Force = true
				answer, _ = ledger.Ask(a)
			}
		}
		return admission.Reply{
			Answer:  answer,
			Started: func() { ledger.Started(a.ID) },
			Release: func(served bool) { ledger.Release(a.ID, served) },
		}
	}
	f.pick = func(box *Manager, request PickRequest) (*Lease, error) {
		shared := request.Prompt.Shared()[0].Tokens
		request.ObjectiveMs = testObjectiveMs
		request.Admission = &AdmissionRequest{
			Demand:     work.Demand{PromptTokens: shared + 300, SharedTokens: shared},
			PatienceMs: testPatienceMs, OutputTokens: 100, Organisation: "one", MemoryTokens: 400_000,
		}
		return box.PickWithAdmission(context.Background(), request, admit)
	}
	return f
}

// TestPopularSessionsDuringEvacuation guards against engines above twice the mean load of their pool, because a session
// needs more engines than a request asks for permits.
func TestPopularSessionsDuringEvacuation(t *testing.T) {
	for name, fleet := range map[string]func(*largeFleet) *largeFleet{
		"with permits":   func(f *largeFleet) *largeFleet { return f },
		"with admission": withAdmission,
	} {
		t.Run(name, func(t *testing.T) {
			f, worst := fleet(popularFleet(2, 0.4)), 0.0
			fractions := f.run(t, 16)
			for i := range len(fractions) - 4 {
				worst = max(worst, mean(fractions[i:i+5]))
			}
			t.Logf("above the bound: %.3f by second, worst window %.3f; by permit: %v; "+
				"of %d at the first engine %.3f, prefilled %d, asks %d", fractions, worst, f.sources, f.sent, float64(f.atFirst)/float64(f.sent), f.prefills, f.permitRequests)
			assert.LessOrEqual(t, worst, 0.03)
		})
	}
}
