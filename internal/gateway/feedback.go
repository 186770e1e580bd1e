package gateway

import (
	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/opaque"
)

// handleSignals processes what an upstream reports about itself in response headers: its load, that it asks this box
// for a rest period without requests, or that it is draining. It logs the start of a rest period, and draining once.
func (b *Box) handleSignals(request string, lease *balance.Lease, feedback opaque.Signals) {
	if feedback.HasLoad {
		lease.Report(feedback.InFlight)
	}
	if feedback.Err != nil {
		b.ReportInvalidInput("response headers of upstream "+lease.ID, feedback.Err)
	}
	event := decision.UpstreamSignaled{Upstream: lease.Incarnation(), Pool: lease.Pool, Request: request}
	if feedback.Draining && lease.MarkDraining() {
		b.metrics.DrainingAnnounced()
		b.log.Record(event)
	}
	if feedback.BackoffMs > 0 && lease.BackOff(feedback.BackoffMs, request) {
		b.metrics.RestRequested()
		event.BackoffMs = feedback.BackoffMs
		b.log.Record(event)
	}
}
