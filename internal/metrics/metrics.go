// Package metrics defines the counters that a box publishes through expvar.
package metrics

import (
	"expvar"
	"net/http"
)

// Metrics holds the counters of one box. Names end in their unit if they have one. Counters
// start at zero when the process starts.
type Metrics struct {
	all *expvar.Map

	Requests            *expvar.Int
	OutcomeRan          *expvar.Int
	OutcomeNotRun       *expvar.Int
	OutcomeUnknown      *expvar.Int
	Attempts            *expvar.Int
	Retries             *expvar.Int
	RetriesDenied       *expvar.Int
	Resumes             *expvar.Int
	TruncatedStreams    *expvar.Int
	MismatchedResponses *expvar.Int
	CallerDisconnects   *expvar.Int
	Queued              *expvar.Int
	QueueRejected       *expvar.Int
	LimitRejected       *expvar.Int
	RemoteForwarded     *expvar.Int
	ClaimsWon           *expvar.Int
	ClaimsLost          *expvar.Int
	ClaimsRefused       *expvar.Int
	EditsAccepted       *expvar.Int
	EditsRejected       *expvar.Int
	GossipSent          *expvar.Int
	GossipReceived      *expvar.Int
	GossipRejected      *expvar.Int
	GrantsSent          *expvar.Int
	GrantsReceived      *expvar.Int
	PeerSent            *expvar.Int
	PeerReceived        *expvar.Int
	OrdersGiven         *expvar.Int
	OrdersRefused       *expvar.Int
	SnapshotsMade       *expvar.Int
	SnapshotAlarms      *expvar.Int
	HandlerPanics       *expvar.Int
	PartPanics          *expvar.Int
	// ResponsesAfterDeadline counts responses that were sent after their callers' deadlines.
	ResponsesAfterDeadline *expvar.Int
}

// New returns counters set to zero.
func New() *Metrics {
	m := &Metrics{all: new(expvar.Map).Init()}
	for name, target := range map[string]**expvar.Int{
		"handler_panics": &m.HandlerPanics, "part_panics": &m.PartPanics,
		"responses_after_deadline": &m.ResponsesAfterDeadline,
		"requests":                 &m.Requests, "outcome_ran": &m.OutcomeRan, "outcome_not_run": &m.OutcomeNotRun,
		"outcome_unknown": &m.OutcomeUnknown, "upstream_attempts": &m.Attempts,
		"retries": &m.Retries, "retries_denied": &m.RetriesDenied,
		"stream_resumes": &m.Resumes, "streams_cut": &m.TruncatedStreams,
		"answers_crossed": &m.MismatchedResponses, "callers_gone": &m.CallerDisconnects,
		"queued": &m.Queued, "queue_rejected": &m.QueueRejected,
		"limit_rejected": &m.LimitRejected, "remote_forwarded": &m.RemoteForwarded,
		"claims_won": &m.ClaimsWon, "claims_lost": &m.ClaimsLost,
		"claims_refused": &m.ClaimsRefused, "edits_accepted": &m.EditsAccepted,
		"edits_rejected": &m.EditsRejected, "gossip_sent_bytes": &m.GossipSent,
		"gossip_received_bytes": &m.GossipReceived, "grants_sent_bytes": &m.GrantsSent,
		"grants_received_bytes": &m.GrantsReceived, "gossip_rejected": &m.GossipRejected,
		"peer_sent_bytes": &m.PeerSent, "peer_received_bytes": &m.PeerReceived,
		"orders_given": &m.OrdersGiven, "orders_refused": &m.OrdersRefused,
		"snapshots_made": &m.SnapshotsMade, "snapshot_alarms": &m.SnapshotAlarms,
	} {
		*target = new(expvar.Int)
		m.all.Set(name, *target)
	}
	return m
}

// Publish adds a value that is computed on each read.
func (m *Metrics) Publish(name string, value func() any) {
	m.all.Set(name, expvar.Func(value))
}

// Values returns all counters by name, without computed values.
func (m *Metrics) Values() map[string]int64 {
	values := map[string]int64{}
	m.all.Do(func(entry expvar.KeyValue) {
		if counter, ok := entry.Value.(*expvar.Int); ok {
			values[entry.Key] = counter.Value()
		}
	})
	return values
}

// ServeHTTP writes all values as JSON in the format of expvar.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// A write error means that the client is gone, so there is nobody to report it to.
	_, _ = w.Write([]byte(m.all.String()))
}
