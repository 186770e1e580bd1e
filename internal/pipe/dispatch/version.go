package dispatch

import (
	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
)

// reportTimeoutMs is how long the continuation of a stream waits for an upstream to tell when it started. It covers a
// few round trips.
const reportTimeoutMs clock.Millis = 250

// mayContinueAt reports whether the process of an upstream is the one of its entry, whose version the stream that goes
// on needs. An upstream that has restarted under its ID at another version accepts requests before boxes have read its
// new entry, and responses tell no version. One that doesn't tell its start time is taken for the one of the entry.
func (s *retryLoop) mayContinueAt(lease *balance.Lease) bool {
	d := s.request.Dialect
	if s.request.Origin == nil || d.ReportPath == "" || !lease.MayKeepID() {
		return true
	}
	ctx, cancel := s.pipe.deps.Clock.WithTimeout(s.ctx, reportTimeoutMs)
	defer cancel()
	startedMs := d.DecodeStart(lease.Client().Report(ctx, d.ReportPath))
	if startedMs == 0 || lease.RecordStart(startedMs) {
		return true
	}
	s.pipe.deps.RecordEvent(decision.UpstreamRestarted{
		Request: s.request.ID, Upstream: lease.Incarnation(), Pool: lease.Pool, StartedMs: startedMs,
	})
	return false
}
