package balance

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/upstream"
)

// Member is one upstream with what this box knows of it. Its fields are guarded
// by the manager's lock.
type Member struct {
	registry.Upstream
	client *upstream.Client
	// identity is the upstream without what may change in its life; it needs no lock.
	identity registry.Upstream
	hash     uint64
	// key names the upstream among boxes.
	key namekey.Key
	// goneMs is when its entry disappeared.
	goneMs clock.Millis

	// inFlight is what this box has running there.
	inFlight int
	// others is what the other boxes said they have running there.
	others int
	// reported is what the upstream said it holds, from all boxes, and
	// ownThen what this box had running there when it said so.
	reported   int
	ownThen    int
	reportedMs clock.Millis

	trial
	// said is what it said of itself in answers.
	said *word
	// lost is set once a connection to it broke or did not open.
	lost     bool
	failures failureRate
	parts    partMemory
	// pending counts the requests by which the engine is reading a part, until it answers.
	pending map[namekey.Key]int
}

// Identity returns the upstream without what may change in its life.
func (m *Member) Identity() registry.Upstream { return m.identity }

func identityOf(u registry.Upstream) registry.Upstream {
	u.Draining, u.Slots = false, 0
	return u
}

// Client returns the connections to the upstream.
func (m *Member) Client() *upstream.Client { return m.client }

// reportLifeMs is how long an upstream's word on its load counts: about the
// time that an answer takes.
const reportLifeMs clock.Millis = 1000

// load is the best guess at how many requests the upstream holds.
func (m *Member) load(now clock.Millis) int {
	known := m.inFlight + m.others
	if m.reportedMs > 0 && now-m.reportedMs < reportLifeMs {
		known = max(known, m.reported+m.inFlight-m.ownThen)
	}
	return known
}

func newMember(u registry.Upstream, client *upstream.Client, said *word) *Member {
	return &Member{
		Upstream: u, identity: identityOf(u), client: client, hash: route.HashName(u.ID), key: u.Key(), parts: partMemory{},
		pending: map[namekey.Key]int{}, said: said, trial: trial{probation: said.restUntilMs > 0},
	}
}
