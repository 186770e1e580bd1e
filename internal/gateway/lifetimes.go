package gateway

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/mesh"
)

// reportRestart records that another box has restarted without having ended in order. All boxes count it.
func (b *Box) reportRestart(r mesh.Restart) {
	b.metrics.BoxRestarted(r.Ending)
	if r.Witness {
		b.log.Record(decision.BoxRestarted{Box: r.Box, Ending: b.endingOf(r.Ending, r.SilentMs, r.RanMs)})
	}
}

// reportProcessEnd records how an earlier process of this box has ended.
func (b *Box) reportProcessEnd(e mesh.ProcessEnd) {
	b.metrics.LastProcessEnded(e.Ending)
	b.log.Record(decision.LastProcessEnded{
		Ending: b.endingOf(e.Ending, e.SilentMs, e.RanMs), ToldBy: e.ToldBy, InOrder: e.Ending == mesh.EndedInOrder,
	})
}

func (b *Box) endingOf(how mesh.Ending, silentMs, ranMs clock.Millis) decision.Ending {
	return decision.Ending{
		How: string(how), LastHeardMs: b.clock.Now() - silentMs, SilentMs: silentMs, RanMs: ranMs,
	}
}
