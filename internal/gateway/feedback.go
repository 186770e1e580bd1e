package gateway

import (
	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/opaque"
)

// hear takes in what an upstream says of itself in the head of an answer, and tells of a rest
// that begins and of leaving once.
func (b *Box) hear(request string, lease *balance.Lease, said opaque.Word) {
	if said.TellsLoad {
		lease.Report(said.Holds)
	}
	if said.Err != nil {
		b.Ignored("answer of upstream "+lease.ID, said.Err)
	}
	asked := decision.UpstreamAsked{Upstream: lease.Incarnation(), Pool: lease.Pool, AnswerTo: request}
	if said.Leaving && lease.Leave() {
		b.metrics.LeavingHeard()
		b.log.Tell(asked)
	}
	if said.RestMs > 0 && lease.Rest(said.RestMs, request) {
		b.metrics.RestHeard()
		asked.RestMs = said.RestMs
		b.log.Tell(asked)
	}
}
