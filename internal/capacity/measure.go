package capacity

import (
	"encoding/json"
	"fmt"
	"strings"

	"dooryard.example/dooryard/internal/claim"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/grant"
	"dooryard.example/dooryard/internal/health"
	"dooryard.example/dooryard/internal/pool"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/snapshot"
	"dooryard.example/dooryard/internal/table"
)

// Sizes at which the slopes are measured.
var (
	boxSizes          = []int{3, 9, 30, 90, 180, 360}
	engineSizes       = []int{40, 120, 360, 750, 1500}
	organisationSizes = []int{10, 100, 1000, 10_000, 37_000}
	editRates         = []int{1, 5, 20, 50}
	keySizes          = []int{1000, 5000, 20_000, 60_000}
	sessionSizes      = []int{1000, 10_000, 50_000, 90_000}
)

// Measure measures all slopes. The function progress is called with the name of each group before it is measured.
func Measure(progress func(name string)) []Slope {
	slopes := []Slope{}
	for _, group := range []struct {
		name string
		do   func() []Slope
	}{
		{"membership", measureGossip},
		{"routing", measureRouting},
		{"grants", measureGrants},
		{"table", measureTable},
		{"claims", measureClaims},
		{"calls", measureCalls},
	} {
		progress(group.name)
		slopes = append(slopes, group.do()...)
	}
	return slopes
}

func measureGossip() []Slope {
	costs := map[int]gossipCost{}
	for _, boxes := range boxSizes {
		costs[boxes] = runGossip(boxes)
	}
	const kilo, percent = 1000, 100
	slopeOf := func(name, unit string, deterministic bool, value func(gossipCost) float64) Slope {
		s := Slope{Name: name, Against: "boxes of a failure domain", Unit: unit, Deterministic: deterministic}
		return measure(s, boxSizes, func(boxes int) float64 { return value(costs[boxes]) })
	}
	return []Slope{
		slopeOf("membership: bytes both ways", "B/s", true, func(c gossipCost) float64 { return c.bytesPerSecond }),
		slopeOf("membership: messages both ways", "1/s", true, func(c gossipCost) float64 { return c.messagesPerSecond }),
		slopeOf("membership: processor", "% of a core", false, func(c gossipCost) float64 { return percent * c.coreShare }),
		slopeOf("membership: memory", "kB", false, func(c gossipCost) float64 { return c.heapBytes / kilo }),
	}
}

// tableWith returns a table with the given numbers of organisations and engines. It applies the rows in edits of
// several rows each.
func tableWith(organisations, engines int) *table.State {
	state := table.New()
	apply := func(changes ...table.Change) {
		data, err := json.Marshal(table.Edit{ID: fmt.Sprint("e", state.Offset()), Operator: "capacity", Changes: changes})
		if err != nil {
			panic(err)
		}
		state, _ = state.Apply(state.Offset(), data)
	}
	changes := []table.Change{}
	flush := func() {
		if len(changes) > 0 {
			apply(changes...)
			changes = nil
		}
	}
	set := func(sheet, row string, cells map[string]string) {
		for column, value := range cells {
			changes = append(changes, table.Change{Sheet: sheet, Row: row, Column: column, Value: value})
		}
		if len(changes) > table.MaxChanges/2 {
			flush()
		}
	}
	set(table.Models, "planner", map[string]string{"deadline_ms": "60000"})
	for i := range organisations {
		set(table.Organisations, fmt.Sprint("organisation-", i), map[string]string{
			"key_sha256": table.HashKey(fmt.Sprint(i)), "weight": "100", "rate_per_s": "50",
		})
	}
	for i := range engines {
		set(table.Upstreams, fmt.Sprintf("engine-%04d", i), map[string]string{
			"kind": "engine", "address": fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1),
			"failure_domain": "north", "serves": "planner",
		})
	}
	flush()
	return state
}

// weightEdit returns an encoded edit that changes the weight of an organisation.
func weightEdit(state *table.State, number int) []byte {
	data, err := json.Marshal(table.Edit{ID: fmt.Sprint("w", number), Operator: "capacity", Changes: []table.Change{{
		Sheet: table.Organisations, Row: "organisation-1", Column: "weight", Value: fmt.Sprint(number%1000 + 1),
		BasedOn: state.Cell(table.Organisations, "organisation-1", "weight").Revision,
	}}})
	if err != nil {
		panic(err)
	}
	return data
}

func measureTable() []Slope {
	against := "organisations"
	const kilo, mega = 1000, 1_000_000
	return []Slope{
		measure(Slope{Name: "table: fold one edit", Against: against, Unit: "µs"}, organisationSizes, func(n int) float64 {
			state, number := tableWith(n, 0), 0
			return nanoseconds(func() {
				state, _ = state.Apply(state.Offset(), weightEdit(state, number))
				number++
			}) / kilo
		}),
		measure(Slope{
			Name: "table: processor of edits, 1,000 organisations and 360 engines", Against: "edits a second",
			Unit: "% of a core",
		}, editRates, editsPerSecond),
		measure(Slope{Name: "table: memory", Against: against, Unit: "MB"}, organisationSizes, func(n int) float64 {
			return heapBytes(func() *table.State { return tableWith(n, 0) }) / mega
		}),
		measure(Slope{Name: "snapshot: bytes on the log", Against: against, Unit: "kB", Deterministic: true},
			organisationSizes, func(n int) float64 { return snapshotBytes(tableWith(n, 0)) / kilo }),
		measure(Slope{Name: "snapshot: make", Against: against, Unit: "ms"}, organisationSizes, func(n int) float64 {
			state := tableWith(n, 0)
			return nanoseconds(func() { _, _ = snapshot.Make(state) }) / mega
		}),
		measure(Slope{Name: "cold start: read a snapshot", Against: against, Unit: "ms"}, organisationSizes,
			func(n int) float64 {
				encoded, err := tableWith(n, 0).Encode()
				if err != nil {
					panic(err)
				}
				return nanoseconds(func() { _, _ = table.Decode(encoded) }) / mega
			}),
	}
}

// editsPerSecond returns the percentage of a core that the given number of edits per second takes. Each edit is applied
// to the table, and the table to the pools.
func editsPerSecond(edits int) float64 {
	state, number := tableWith(organisationSizes[2], engineSizes[2]), 0
	manager := newManager(state)
	const toPercent = 100.0 / 1_000_000_000
	return toPercent * nanoseconds(func() {
		for range edits {
			state, _ = state.Apply(state.Offset(), weightEdit(state, number))
			manager.SetTable(state)
			number++
		}
	})
}

// snapshotBytes returns the size of a snapshot's records on the log.
func snapshotBytes(state *table.State) float64 {
	chunks, err := snapshot.Make(state)
	if err != nil {
		panic(err)
	}
	sum := 0
	for _, chunk := range chunks {
		data, err := json.Marshal(chunk)
		if err != nil {
			panic(err)
		}
		sum += len(data)
	}
	return float64(sum)
}

func measureRouting() []Slope {
	const kilo = 1000
	manager := func(engines int) *pool.Manager { return newManager(tableWith(10, engines)) }
	name := pool.Name(table.KindEngine, "planner")
	return []Slope{
		measure(Slope{Name: "routing: rank engines for a request", Against: "engines", Unit: "µs"}, engineSizes,
			func(n int) float64 {
				m, key := manager(n), route.Key(0)
				return nanoseconds(func() {
					key += 0x9e3779b97f4a7c15
					_, _ = m.Rank(name, key, nil)
				}) / kilo
			}),
		measure(Slope{Name: "routing: take a new table", Against: "engines", Unit: "µs"}, engineSizes,
			func(n int) float64 {
				m, state := manager(n), tableWith(10, n)
				fleet := pool.Fleet{Boxes: boxNames(n / 4)}
				m.SetFleet(fleet)
				return nanoseconds(func() { m.SetTable(state) }) / kilo
			}),
		measure(Slope{Name: "routing: memory of pools", Against: "engines", Unit: "kB"}, engineSizes, func(n int) float64 {
			state := tableWith(10, n)
			return heapBytes(func() *pool.Manager { return newManager(state) }) / kilo
		}),
	}
}

// newManager returns the pool manager of a box with the given table.
func newManager(state *table.State) *pool.Manager {
	settings := pool.Settings{
		BoundPercent: 125, SlowStartMs: 30_000, PanicPercent: 50,
		Health: health.Limits{BaseMs: 2000, MaxMs: 60_000},
	}
	settings.Policy, _ = route.PolicyByName(route.PolicyRendezvousBound)
	m := pool.New(settings, "north", "box-1", clock.New().Now)
	m.SetTable(state)
	return m
}

func boxNames(count int) []string {
	names := make([]string, max(1, count))
	for i := range names {
		names[i] = fmt.Sprint("box-", i)
	}
	return names
}

func measureGrants() []Slope {
	const kilo, mega = 1000, 1_000_000
	return []Slope{
		measure(Slope{Name: "grants: answer an ask", Against: "boxes of a failure domain", Unit: "µs"}, boxSizes,
			func(boxes int) float64 {
				ledger, i := grant.NewLedger(grant.DefaultSettings()), 0
				standing := grant.MemberState{Pool: 1, WeightFraction: 1.0 / 360, Boxes: boxes, BoundPercent: 125, Slots: 256}
				return nanoseconds(func() {
					i++
					box := grant.Box(i % boxes)
					ledger.Ask(grant.Ask{MemberID: grant.MemberID(i % 4), Box: box, InFlight: 1, Total: 240}, standing, 0)
				}) / kilo
			}),
		measure(Slope{Name: "grants: memory of remembered sessions", Against: "sessions", Unit: "MB"}, sessionSizes,
			func(sessions int) float64 {
				return heapBytes(func() *grant.Directory {
					d := grant.NewDirectory()
					for i := range sessions {
						d.Set(grant.Session(i*2654435761), grant.MemberID(i))
					}
					return d
				}) / mega
			}),
	}
}

func measureClaims() []Slope {
	const kilo, mega = 1000, 1_000_000
	fill := func(keys int) *claim.Ledger {
		ledger := claim.NewLedger(60 * 60 * clock.Second)
		for i := range keys {
			ledger.Apply(claimRecords(i), clock.Millis(i))
		}
		return ledger
	}
	return []Slope{
		measure(Slope{Name: "claims: memory of remembered keys", Against: "keys", Unit: "MB"}, keySizes,
			func(keys int) float64 { return heapBytes(func() *claim.Ledger { return fill(keys) }) / mega }),
		measure(Slope{Name: "claims: fold a claim and its end", Against: "keys", Unit: "µs"}, keySizes,
			func(keys int) float64 {
				ledger, i := fill(keys), keys
				return nanoseconds(func() {
					ledger.Apply(claimRecords(i), clock.Millis(i))
					i++
				}) / kilo
			}),
		measure(Slope{Name: "claims: bytes on the log", Against: "keys", Unit: "kB", Deterministic: true}, keySizes,
			func(keys int) float64 { return float64(keys*ClaimBytes()) / kilo }),
	}
}

// claimRecords returns the records of a claim and its settlement, with a short answer.
func claimRecords(i int) []claim.Record {
	owner := fmt.Sprintf("01M8VD65QJHHRVG0SZ7TY%05d", i)
	key := claim.NewKey("organisation", fmt.Sprint(i))
	return []claim.Record{
		{Type: claim.TypeClaim, Key: key, Owner: owner, Digest: claim.NewDigest("POST", "/changes", nil)},
		{Type: claim.TypeSettle, Key: key, Owner: owner, Answer: &claim.Answer{
			Status: 200, ContentType: "application/json", Body: []byte(strings.Repeat("x", 40)),
		}},
	}
}

// ClaimBytes returns the size of a claim and its settlement on the log.
func ClaimBytes() int {
	data, err := json.Marshal(claim.Batch{Records: claimRecords(1)})
	if err != nil {
		panic(err)
	}
	return len(data)
}
