package capacity

import (
	"dooryard.example/dooryard/internal/grant"
)

// Target is the size that the design has to carry.
type Target struct {
	Boxes, Domains, Engines float64
	RequestsPerSecond       float64
	Sessions, Organisations float64
	EditsPerDay             float64
	RestartsPerDay          float64
	AsksPerRequest          float64
	NewsPerRequest          float64
	UnrepeatablePart        float64
	ClaimWindowSeconds      float64
	HeldOutsideFirstChoice  float64
	EngineReportsPerSecond  float64
	ListPollsPerSecond      float64
	TableReadsPerSecondIdle float64
	SumsMessagesPerDomain   float64
	// HTTPCallsPerClaim are those of a claim and its end: to the gatherer, and
	// the gatherer's append and read.
	HTTPCallsPerClaim float64
	// Calls are the bytes of single calls.
	Calls CallBytes
}

// LetterTarget is the size of the users' letter, with the bytes of single calls as
// they are counted now. A claim costs two calls to the gatherer, for itself and its
// end.
func LetterTarget() Target {
	return Target{
		Boxes: 2500, Domains: 28, Engines: 10_000, RequestsPerSecond: 59_000,
		Sessions: 22_000_000, Organisations: 37_000, EditsPerDay: 14_000, RestartsPerDay: 3500,
		AsksPerRequest: 2.0, NewsPerRequest: 0.15, UnrepeatablePart: 0.002, ClaimWindowSeconds: 3600,
		HeldOutsideFirstChoice: 0.6, EngineReportsPerSecond: 0.5, ListPollsPerSecond: 0.6,
		TableReadsPerSecondIdle: 0.1,
		SumsMessagesPerDomain:   2,
		HTTPCallsPerClaim:       6, Calls: MeasureCallBytes(),
	}
}

// Role is what one part of control costs a node.
type Role struct {
	Name           string  `json:"name"`
	Package        string  `json:"package"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	CorePercent    float64 `json:"core_percent"`
	MB             float64 `json:"mb"`
}

// Limits of control a node, from the users' letter.
const (
	LimitBytesPerSecond = 3000
	LimitCorePercent    = 1.4
	LimitMB             = 128
)

// Budget works out what control costs a node at a size.
func Budget(slopes []Slope, t Target) []Role {
	at := func(name string, size float64) float64 {
		for _, s := range slopes {
			if s.Name == name {
				return s.At(size)
			}
		}
		return 0
	}
	b := budget{t: t, at: at, domainBoxes: t.Boxes / t.Domains, domainEngines: t.Engines / t.Domains}
	const ends = 2
	b.datagram = perCall(slopes, DatagramCost) / ends
	b.call = perCall(slopes, HTTPCallCost) / ends
	return []Role{b.membership(), b.sums(), b.grants(), b.reports(), b.list(), b.table(), b.claims(), b.routing()}
}

type budget struct {
	t                          Target
	at                         func(name string, size float64) float64
	domainBoxes, domainEngines float64
	// datagram and call are microseconds of one end.
	datagram, call float64
}

// perCall is the cost of one more call.
func perCall(slopes []Slope, name string) float64 {
	for _, s := range slopes {
		if s.Name == name {
			return s.PerUnit
		}
	}
	return 0
}

// perSecondPercent turns a rate and microseconds a call into a part of a core.
func perSecondPercent(perSecond, microseconds float64) float64 {
	const toPercent = 100.0 / 1_000_000
	return perSecond * microseconds * toPercent
}

const secondsPerDay = 24 * 60 * 60

func (b budget) membership() Role {
	messages := b.at("membership: messages both ways", b.domainBoxes)
	return Role{
		Name: "membership and exchanged facts", Package: "internal/membership",
		BytesPerSecond: b.at("membership: bytes both ways", b.domainBoxes),
		CorePercent: b.at("membership: processor", b.domainBoxes) +
			perSecondPercent(messages, b.datagram),
		MB: b.at("membership: memory", b.domainBoxes) / 1000,
	}
}

// sums are the sums that failure domains tell each other, over all boxes.
func (b budget) sums() Role {
	messages := 2 * b.t.SumsMessagesPerDomain * (b.t.Domains - 1) / b.domainBoxes
	return Role{
		Name: "sums between failure domains", Package: "internal/box (sumsLoop)",
		BytesPerSecond: messages * b.t.Calls.Sums,
		CorePercent:    perSecondPercent(messages, b.datagram),
	}
}

// grants cost a box the same as asker and, on average, as owner.
func (b budget) grants() Role {
	requests := b.t.RequestsPerSecond / b.t.Boxes
	sizes := grant.WireSizes()
	perRequest := b.t.AsksPerRequest*float64(sizes.Ask+sizes.Reply) + float64(sizes.Hold) +
		b.t.NewsPerRequest*float64(sizes.News)
	messages := 2 * requests * (2*b.t.AsksPerRequest + 1 + b.t.NewsPerRequest)
	sessions := b.t.Sessions / b.t.Boxes * b.t.HeldOutsideFirstChoice
	return Role{
		Name: "grants and remembered sessions", Package: "internal/grant, internal/picker",
		BytesPerSecond: 2 * requests * perRequest,
		CorePercent: perSecondPercent(messages, b.datagram) +
			perSecondPercent(requests*b.t.AsksPerRequest, b.at("grants: answer an ask", b.domainBoxes)),
		MB: b.at("grants: memory of remembered sessions", sessions),
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

// table is reading edits, passing them on to as many boxes as one reads from,
// and a cold start from a peer's state for each restart.
func (b budget) table() Role {
	reads := b.t.EditsPerDay/secondsPerDay + b.t.TableReadsPerSecondIdle
	restarts := b.t.RestartsPerDay / b.t.Boxes / secondsPerDay
	const kilo, mega = 1000, 1_000_000
	state := kilo * b.at("snapshot: bytes on the log", b.t.Organisations)
	fold := b.at("table: fold one edit", b.t.Organisations) * b.t.EditsPerDay / secondsPerDay
	return Role{
		Name: "table: read, relay, cold start", Package: "internal/tablestore, internal/logstream, internal/snapshot",
		BytesPerSecond: 2*reads*b.t.Calls.TableRead + 2*restarts*state,
		CorePercent: perSecondPercent(2*reads, b.call) + perSecondPercent(1, fold) +
			perSecondPercent(restarts, kilo*b.at("cold start: read a snapshot", b.t.Organisations)),
		MB: 2*b.at("table: memory", b.t.Organisations) + state/mega,
	}
}

// claims are the calls to gatherers and, on average, the gathering for others.
func (b budget) claims() Role {
	perSecond := b.t.RequestsPerSecond * b.t.UnrepeatablePart / b.t.Boxes
	return Role{
		Name: "claims", Package: "internal/claim",
		BytesPerSecond: perSecond * (b.t.Calls.ClaimToGatherer + b.t.Calls.ClaimAtGatherer),
		CorePercent:    perSecondPercent(perSecond*b.t.HTTPCallsPerClaim, 2*b.call),
		MB:             max(0, b.at("claims: memory of remembered keys", perSecond*b.t.ClaimWindowSeconds)),
	}
}

func (b budget) routing() Role {
	const kilo = 1000
	edits := b.t.EditsPerDay / secondsPerDay
	return Role{
		Name: "routing: new tables and pools", Package: "internal/pool, internal/route",
		CorePercent: perSecondPercent(edits, b.at("routing: take a new table", b.domainEngines)),
		MB:          b.at("routing: memory of pools", b.domainEngines) / kilo,
	}
}

// Sum adds roles up.
func Sum(roles []Role) Role {
	sum := Role{Name: "sum"}
	for _, r := range roles {
		sum.BytesPerSecond += r.BytesPerSecond
		sum.CorePercent += r.CorePercent
		sum.MB += r.MB
	}
	return sum
}

// Appends is what the log takes a second over the whole fleet.
type Appends struct {
	Edits, Snapshots, Leases, Claims float64
}

// LogAppends works out the appends a second at a size: claims come in batches,
// one a shard and batch time at most, and one for each claim when they are rare.
func LogAppends(t Target, shards, batchesPerSecond, renewSeconds, editsPerSnapshot, chunks float64) Appends {
	records := 2 * t.RequestsPerSecond * t.UnrepeatablePart
	return Appends{
		Edits:     t.EditsPerDay / secondsPerDay,
		Snapshots: t.EditsPerDay / secondsPerDay / editsPerSnapshot * chunks,
		Leases:    t.Domains / renewSeconds,
		Claims:    min(records, shards*batchesPerSecond),
	}
}

// Sum adds the appends up.
func (a Appends) Sum() float64 { return a.Edits + a.Snapshots + a.Leases + a.Claims }
