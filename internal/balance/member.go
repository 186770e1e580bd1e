package balance

import (
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/upstream"
)

// Member is an upstream with the state that this box keeps of it. Its fields are guarded by the
// manager's lock, except for the embedded identity, which never changes.
type Member struct {
	// Upstream is the upstream's identity: its entry without the fields that may change during its lifetime.
	registry.Upstream
	client *upstream.Client
	hash   uint64
	// slots is the number of its slots, and drainingEntry is set if its entry says that it is draining.
	slots         int
	drainingEntry bool
	// key identifies the upstream in messages between boxes.
	key namekey.Key
	// departedMs is when its entry disappeared.
	departedMs clock.Millis

	// inFlight is the number of requests that this box has in flight there.
	inFlight int
	// inFlightSinceMs is since when inFlight has been positive.
	inFlightSinceMs clock.Millis
	// lastResponseMs is when a part of a response to this box was last received.
	lastResponseMs atomic.Int64
	// probedMs is when it was last dialed to learn whether it can be reached.
	probedMs clock.Millis
	// othersInFlight is the number of requests that the other boxes reported to have in flight there.
	othersInFlight int
	// reportedLoad is the number of requests from all boxes that the upstream last reported, and
	// inFlightAtReport is the value of inFlight at that time.
	reportedLoad     int
	inFlightAtReport int
	reportedMs       clock.Millis

	ejection
	memberPace
	ownerPace ownerPace
	silence   memberSilence
	// signals are the backoff and draining signals from its responses.
	signals *upstreamSignals
	cold    coldState
	// evacuated is set while the upstream's failure domain is evacuated.
	evacuated bool
	// rejectedUntilMs is until when the upstream gets nothing because it is brittle and rejected a request.
	rejectedUntilMs clock.Millis
	// replacedUntilMs is until when the upstream gets nothing because another one has responded at its address.
	replacedUntilMs clock.Millis
	// connectionLost is set once a connection to it broke or could not be opened.
	connectionLost bool
	// crashedMs is when a box last found it to have crashed, or 0.
	crashedMs clock.Millis
	// respondedMs is when it first responded after the failure at respondedAfterMs (see lastFailureMs), or 0.
	respondedMs, respondedAfterMs clock.Millis
	// streamBroken is set once a stream from it broke.
	streamBroken bool
	failures     failureRate
	parts        partIndex
	// prefilling holds, by part, the number of this box's requests for which the engine is prefilling
	// the part, until it responds to them.
	prefilling map[namekey.Key]int
	// unstartedTokens are to be prefilled for the admitted prompts of this box whose first event has not come.
	unstartedTokens int
}

// Identity returns the upstream without the fields that may change during its lifetime.
func (m *Member) Identity() registry.Upstream { return m.Upstream }

// identityOf returns an upstream without the fields that may change during its lifetime.
func identityOf(u registry.Upstream) registry.Upstream {
	u.Draining, u.Slots, u.ColdMs = false, 0, 0
	return u
}

// Client returns the client that holds the connections to the upstream.
func (m *Member) Client() *upstream.Client { return m.client }

// reportTTLMs is how long an upstream's load report is used: about the duration of a response.
const reportTTLMs clock.Millis = 1000

// load returns the best estimate of the number of requests at the upstream.
func (m *Member) load(now clock.Millis) int {
	known := m.inFlight + m.othersInFlight
	if m.reportedMs > 0 && now-m.reportedMs < reportTTLMs {
		known = max(known, m.reportedLoad+m.inFlight-m.inFlightAtReport)
	}
	return known
}

func newMember(u registry.Upstream, client *upstream.Client, signals *upstreamSignals) *Member {
	return &Member{
		Upstream: identityOf(u), slots: u.Slots, drainingEntry: u.Draining, client: client, hash: route.HashName(u.ID),
		key: u.Key(), parts: partIndex{}, prefilling: map[namekey.Key]int{}, signals: signals,
		ejection: ejection{probation: signals.backoffUntilMs > 0},
	}
}
