package gateway

import (
	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/opaque"
)

// handleFeedback processes what an upstream reports about itself in response headers: its load, that it asks this box
// for a rest period without requests, or that it is draining. It logs the start of a rest period, and draining once.
func (b *Box) handleFeedback(request string, lease *balance.Lease, feedback opaque.Word) {
	if feedback.TellsLoad {
		lease.Report(feedback.Holds)
	}
	if feedback.Err != nil {
		b.Ignored("response headers of upstream "+lease.ID, feedback.Err)
	}
	event := decision.UpstreamAsked{Upstream: lease.Incarnation(), Pool: lease.Pool, AnswerTo: request}
	if feedback.Leaving && lease.Leave() {
		b.metrics.DrainingAnnounced()
		b.log.Tell(event)
	}
	if feedback.RestMs > 0 && lease.Rest(feedback.RestMs, request) {
		b.metrics.RestRequested()
		event.RestMs = feedback.RestMs
		b.log.Tell(event)
	}
}
