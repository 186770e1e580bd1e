package gateway

import (
	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/opaque"
)

// handleSignals processes what an upstream reports about itself in response headers: its load, a request that this box
// back off (send it nothing for some time), or that it is draining. It logs the start of each backoff, and logs
// draining only once.
func (b *Box) handleSignals(request string, lease *balance.Lease, signals opaque.Signals) {
	if signals.HasLoad {
		lease.RecordLoad(signals.InFlight)
		if finding, isNew := lease.RecordPace(signals.SlowPercent, signals.Waiting); isNew {
			b.peering.mesh.SendPaceFinding(finding)
		}
	}
	if signals.Err != nil {
		b.ReportInvalidInput("response headers of upstream "+lease.ID, signals.Err)
	}
	lease.RecordBrittleness(signals.MaxRejections)
	event := decision.UpstreamSignaled{Upstream: lease.Incarnation(), Pool: lease.Pool, Request: request}
	if signals.Draining && lease.MarkDraining() {
		b.metrics.DrainingAnnounced()
		b.log.Record(event)
	}
	if signals.BackoffMs > 0 && lease.BackOff(signals.BackoffMs+clock.Resolution, request) {
		b.metrics.BackoffRequested()
		event.BackoffMs = signals.BackoffMs
		b.log.Record(event)
	}
}

// reportPaces logs the upstreams that turned slow or are at their usual pace again, and tells other boxes of those that
// were found slow by their responses or by overdue requests.
func (b *Box) reportPaces() {
	b.balance.FindOverdue()
	for _, finding := range b.balance.TakeUnsentFindings() {
		b.peering.mesh.SendPaceFinding(finding)
	}
	for _, c := range b.balance.TakePaceChanges() {
		b.log.Record(decision.UpstreamPace{
			Upstream: c.Upstream, Pool: c.Pool, Percent: c.Percent, Slow: c.Slow, HoldMs: c.HoldMs, Source: c.Source,
			Omitted: c.Omitted,
		})
	}
}

// handleRejection processes a rejection for want of room, and reports whether the upstream is brittle. The owner of a
// brittle upstream then grants fewer permits there.
func (b *Box) handleRejection(request string, lease *balance.Lease) bool {
	if !lease.RecordRejection() {
		return false
	}
	b.metrics.BrittleRejection()
	b.log.Record(decision.UpstreamRejected{Upstream: lease.Incarnation(), Pool: lease.Pool, Request: request})
	b.peering.mesh.ReportRejection(lease.Key(), lease.FailureDomain)
	return true
}
