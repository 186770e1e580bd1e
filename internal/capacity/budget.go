package capacity

import (
	"dooryard.example/dooryard/internal/grant"
)

// Target is the fleet size and load that the design must support.
type Target struct {
	Boxes, Domains, Engines    float64
	RequestsPerSecond          float64
	Sessions, Organisations    float64
	EditsPerDay                float64
	RestartsPerDay             float64
	AsksPerRequest             float64
	PlacementsPerRequest       float64
	NonIdempotentFraction      float64
	ClaimWindowSeconds         float64
	FractionOutsideFirstChoice float64
	EngineReportsPerSecond     float64
	ListPollsPerSecond         float64
	TableReadsPerSecondIdle    float64
	SumsMessagesPerDomain      float64
	// HTTPCallsPerClaim is the number of calls for a claim and its settlement: the calls to the coordinator, and the
	// coordinator's appends and reads.
	HTTPCallsPerClaim float64
	// Calls holds the sizes of single calls.
	Calls CallBytes
}

// RequiredTarget returns the size that the users require, with the sizes of single calls as measured now. A claim costs
// two calls to the coordinator: one for the claim and one for its settlement.
func RequiredTarget() Target {
	return Target{
		Boxes: 2500, Domains: 28, Engines: 10_000, RequestsPerSecond: 59_000,
		Sessions: 22_000_000, Organisations: 37_000, EditsPerDay: 14_000, RestartsPerDay: 3500,
		AsksPerRequest: 2.0, PlacementsPerRequest: 0.15, NonIdempotentFraction: 0.002, ClaimWindowSeconds: 3600,
		FractionOutsideFirstChoice: 0.6, EngineReportsPerSecond: 0.5, ListPollsPerSecond: 0.6,
		TableReadsPerSecondIdle: 0.1,
		SumsMessagesPerDomain:   2,
		HTTPCallsPerClaim:       6, Calls: MeasureCallBytes(),
	}
}

// Role is the cost of one part of the control plane per node.
type Role struct {
	Name           string  `json:"name"`
	Package        string  `json:"package"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	CorePercent    float64 `json:"core_percent"`
	MB             float64 `json:"mb"`
}

// Limits of the control plane's cost per node, as the users require them.
const (
	LimitBytesPerSecond = 3000
	LimitCorePercent    = 1.4
	LimitMB             = 128
)

// Budget computes the cost of the control plane per node at the target size.
func Budget(slopes []Slope, t Target) []Role {
	costAt := func(name string, size float64) float64 {
		for _, s := range slopes {
			if s.Name == name {
				return s.At(size)
			}
		}
		return 0
	}
	b := budget{t: t, costAt: costAt, domainBoxes: t.Boxes / t.Domains, domainEngines: t.Engines / t.Domains}
	const ends = 2
	b.datagram = perCall(slopes, DatagramCost) / ends
	b.call = perCall(slopes, HTTPCallCost) / ends
	return []Role{b.membership(), b.sums(), b.grants(), b.reports(), b.list(), b.table(), b.claims(), b.routing()}
}

type budget struct {
	t                          Target
	costAt                     func(name string, size float64) float64
	domainBoxes, domainEngines float64
	// datagram and call are the processor times of a datagram and an HTTP call at one end, in microseconds.
	datagram, call float64
}

// perCall returns the cost of an additional call.
func perCall(slopes []Slope, name string) float64 {
	for _, s := range slopes {
		if s.Name == name {
			return s.PerUnit
		}
	}
	return 0
}

// perSecondPercent converts a rate of calls and the microseconds per call to a percentage of a core.
func perSecondPercent(perSecond, microseconds float64) float64 {
	const toPercent = 100.0 / 1_000_000
	return perSecond * microseconds * toPercent
}

const secondsPerDay = 24 * 60 * 60

func (b budget) membership() Role {
	messages := b.costAt("membership: messages both ways", b.domainBoxes)
	return Role{
		Name: "membership and exchanged facts", Package: "internal/membership",
		BytesPerSecond: b.costAt("membership: bytes both ways", b.domainBoxes),
		CorePercent: b.costAt("membership: processor", b.domainBoxes) +
			perSecondPercent(messages, b.datagram),
		MB: b.costAt("membership: memory", b.domainBoxes) / 1000,
	}
}

// sums returns the cost of the aggregated facts that failure domains exchange, averaged over all boxes.
func (b budget) sums() Role {
	messages := 2 * b.t.SumsMessagesPerDomain * (b.t.Domains - 1) / b.domainBoxes
	return Role{
		Name: "sums between failure domains", Package: "internal/box (domainSumsLoop)",
		BytesPerSecond: messages * b.t.Calls.Sums,
		CorePercent:    perSecondPercent(messages, b.datagram),
	}
}

// grants returns the cost of grants. On average, a box has the same cost as requester and as owner.
func (b budget) grants() Role {
	requests := b.t.RequestsPerSecond / b.t.Boxes
	sizes := grant.WireSizes()
	perRequest := b.t.AsksPerRequest*float64(sizes.Ask+sizes.Reply) + float64(sizes.InFlight) +
		b.t.PlacementsPerRequest*float64(sizes.Placement)
	messages := 2 * requests * (2*b.t.AsksPerRequest + 1 + b.t.PlacementsPerRequest)
	sessions := b.t.Sessions / b.t.Boxes * b.t.FractionOutsideFirstChoice
	return Role{
		Name: "grants and remembered sessions", Package: "internal/grant, internal/picker",
		BytesPerSecond: 2 * requests * perRequest,
		CorePercent: perSecondPercent(messages, b.datagram) +
			perSecondPercent(requests*b.t.AsksPerRequest, b.costAt("grants: answer an ask", b.domainBoxes)),
		MB: b.costAt("grants: memory of remembered sessions", sessions),
	}
}

func (b budget) reports() Role {
	perSecond := b.t.EngineReportsPerSecond * b.domainEngines / b.domainBoxes
	return Role{
		Name: "engines' reports", Package: "internal/box (engines)",
		BytesPerSecond: perSecond * b.t.Calls.EngineReport,
		CorePercent:    perSecondPercent(perSecond, b.call),
	}
}

func (b budget) list() Role {
	return Role{
		Name: "platform's list of boxes", Package: "internal/box (fleet)",
		BytesPerSecond: b.t.ListPollsPerSecond * b.t.Calls.ListPoll,
		CorePercent:    perSecondPercent(b.t.ListPollsPerSecond, b.call),
		MB:             0.1 * b.domainBoxes / 100 * b.t.Domains,
	}
}

// table returns the cost of reading edits, of relaying them to as many boxes as a box reads from, and of a cold start
// from a peer's state for each restart.
func (b budget) table() Role {
	reads := b.t.EditsPerDay/secondsPerDay + b.t.TableReadsPerSecondIdle
	restarts := b.t.RestartsPerDay / b.t.Boxes / secondsPerDay
	const kilo, mega = 1000, 1_000_000
	state := kilo * b.costAt("snapshot: bytes on the log", b.t.Organisations)
	applyCost := b.costAt("table: fold one edit", b.t.Organisations) * b.t.EditsPerDay / secondsPerDay
	return Role{
		Name: "table: read, relay, cold start", Package: "internal/tablestore, internal/logstream, internal/snapshot",
		BytesPerSecond: 2*reads*b.t.Calls.TableRead + 2*restarts*state,
		CorePercent: perSecondPercent(2*reads, b.call) + perSecondPercent(1, applyCost) +
			perSecondPercent(restarts, kilo*b.costAt("cold start: read a snapshot", b.t.Organisations)),
		MB: 2*b.costAt("table: memory", b.t.Organisations) + state/mega,
	}
}

// claims returns the cost of the calls to coordinators and, on average, of coordinating the claims of other boxes.
func (b budget) claims() Role {
	perSecond := b.t.RequestsPerSecond * b.t.NonIdempotentFraction / b.t.Boxes
	return Role{
		Name: "claims", Package: "internal/claim",
		BytesPerSecond: perSecond * (b.t.Calls.ClaimToCoordinator + b.t.Calls.ClaimAtCoordinator),
		CorePercent:    perSecondPercent(perSecond*b.t.HTTPCallsPerClaim, 2*b.call),
		MB:             max(0, b.costAt("claims: memory of remembered keys", perSecond*b.t.ClaimWindowSeconds)),
	}
}

func (b budget) routing() Role {
	const kilo = 1000
	edits := b.t.EditsPerDay / secondsPerDay
	return Role{
		Name: "routing: new tables and pools", Package: "internal/pool, internal/route",
		CorePercent: perSecondPercent(edits, b.costAt("routing: take a new table", b.domainEngines)),
		MB:          b.costAt("routing: memory of pools", b.domainEngines) / kilo,
	}
}

// Sum returns the total cost of the roles.
func Sum(roles []Role) Role {
	sum := Role{Name: "sum"}
	for _, r := range roles {
		sum.BytesPerSecond += r.BytesPerSecond
		sum.CorePercent += r.CorePercent
		sum.MB += r.MB
	}
	return sum
}

// Appends holds the appends per second to the log, over the whole fleet.
type Appends struct {
	Edits, Snapshots, Leases, Claims float64
}

// LogAppends computes the appends per second at the target size. Claims are appended in batches, at most one per shard
// and batch interval. When claims are rare, each one takes an append of its own.
func LogAppends(t Target, shards, batchesPerSecond, renewSeconds, editsPerSnapshot, chunks float64) Appends {
	records := 2 * t.RequestsPerSecond * t.NonIdempotentFraction
	return Appends{
		Edits:     t.EditsPerDay / secondsPerDay,
		Snapshots: t.EditsPerDay / secondsPerDay / editsPerSnapshot * chunks,
		Leases:    t.Domains / renewSeconds,
		Claims:    min(records, shards*batchesPerSecond),
	}
}

// Sum returns the total number of appends per second.
func (a Appends) Sum() float64 { return a.Edits + a.Snapshots + a.Leases + a.Claims }
