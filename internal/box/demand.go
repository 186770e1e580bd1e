package box

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/limit"
	"dooryard.example/dooryard/internal/membership"
)

// Times of the exchange of demand.
const (
	// demandSmoothing is the part of an old estimate that stays each period.
	demandSmoothing = 0.5
	// forgetDemand is the rate below which an organisation is not heavy.
	forgetDemand = 0.05
	// toldDemand is how many organisations a box tells of; the wire bounds it.
	toldDemand = 8
)

// updateDemand turns the counts of a period into smoothed rates.
func (b *Box) updateDemand() {
	counts := b.organisations.Demand()
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	for name, rate := range b.fleet.demand {
		b.fleet.demand[name] = rate * demandSmoothing
		if rate < forgetDemand {
			delete(b.fleet.demand, name)
		}
	}
	for name, count := range counts {
		if b.limited(name) {
			b.fleet.demand[name] += float64(count) * (1 - demandSmoothing)
		}
	}
}

// limited reports whether an organisation has a limit that boxes share. Others
// need no exchange.
func (b *Box) limited(name string) bool {
	row := b.store.State().Organisation(name)
	return row != nil && (row.RatePerS > 0 || row.MaxInFlight > 0)
}

// demandUnit is how the wire counts rates: in hundredths a second.
const demandUnit = 100

// heaviestDemand is what this box tells of its heaviest organisations.
func (b *Box) heaviestDemand() []membership.Demand {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	demand := make([]membership.Demand, 0, len(b.fleet.demand))
	for name, rate := range b.fleet.demand {
		demand = append(demand, membership.Demand{
			Organisation: membership.OrganisationID(name), PerSecond: uint32(rate * demandUnit),
		})
	}
	return heaviest(demand)
}

func heaviest(demand []membership.Demand) []membership.Demand {
	slices.SortFunc(demand, func(x, y membership.Demand) int {
		return cmp.Or(cmp.Compare(y.PerSecond, x.PerSecond), cmp.Compare(x.Organisation, y.Organisation))
	})
	return demand[:min(toldDemand, len(demand))]
}

// share is this box's part of an organisation's fleet-wide limits, as of the last
// period; the even part for one that it has not seen lately.
func (b *Box) share(name string) float64 {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	if part, known := b.fleet.shares[name]; known {
		return part
	}
	return b.fleet.evenShare
}

// updateShares works out this box's part of the limits of the organisations that
// it sees.
func (b *Box) updateShares() {
	base, sources := b.heardDemand()
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.fleet.evenShare = limit.Demand{Boxes: base.Boxes}.Part()
	clear(b.fleet.shares)
	for name, rate := range b.fleet.demand {
		demand := base
		demand.Own = rate * demandUnit
		id := membership.OrganisationID(name)
		for _, facts := range sources {
			demand.Others += float64(demandOf(facts, id))
		}
		b.fleet.shares[name] = demand.Part()
	}
}

// updateSlots works out this box's part of the engines' slots from how much the
// boxes of this failure domain run and keep waiting.
func (b *Box) updateSlots() {
	running, waiting := b.admit.Lengths()
	slots := limit.Slots{Own: float64(running + waiting), Boxes: len(b.gossip.Live())}
	for _, facts := range b.gossip.FactsOf() {
		slots.Heard++
		slots.Others += float64(facts.InFlight)
	}
	b.pools.SetSlots(slots)
}

// heardDemand counts the boxes that share limits and returns what was heard from
// them: each box of this domain by itself, other domains in sum.
func (b *Box) heardDemand() (base limit.Demand, sources []membership.Facts) {
	base.Boxes = 1
	for _, facts := range b.gossip.FactsOf() {
		base.Boxes++
		base.Heard++
		sources = append(sources, facts)
	}
	sums := b.gossip.DomainFacts(domainFactsMs)
	for _, domain := range b.otherDomains() {
		facts, found := sums[membership.NewID(domain)]
		if !found {
			base.Boxes += b.listedIn(domain)
			continue
		}
		base.Boxes += int(facts.Boxes)
		base.Heard += int(facts.Boxes)
		sources = append(sources, facts)
	}
	return base, sources
}

// listedIn is how many boxes the platform's list last showed in a domain.
func (b *Box) listedIn(domain string) int {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	return len(b.fleet.lists[domain].Boxes)
}

func demandOf(facts membership.Facts, organisation uint32) uint32 {
	for _, demand := range facts.Demand {
		if demand.Organisation == organisation {
			return demand.PerSecond
		}
	}
	return 0
}

// sumsLoop tells the other failure domains the sums of this one. The boxes take
// turns, so that each spends little on it.
func (b *Box) sumsLoop(ctx context.Context) {
	b.clock.Every(ctx, sumsMs, func(now clock.Millis) {
		live := b.gossip.Live()
		if len(live) == 0 || live[int(now/sumsMs)%len(live)] != b.settings.Box {
			return
		}
		sums := b.domainSums()
		told := map[string]int{}
		elsewhere := b.listedElsewhere()
		rand.Shuffle(len(elsewhere), func(i, j int) { elsewhere[i], elsewhere[j] = elsewhere[j], elsewhere[i] })
		for _, listed := range elsewhere {
			if told[listed.FailureDomain] < sumsFanout {
				told[listed.FailureDomain]++
				b.gossip.TellSums(listed.GossipAddress, membership.NewID(b.settings.FailureDomain), sums)
			}
		}
	})
}

// sumsFanout is how many boxes of another domain hear the sums directly.
const sumsFanout = 2

// domainSums adds up what the boxes of this domain tell.
func (b *Box) domainSums() membership.Facts {
	sums := b.facts()
	sums.Boxes = 1
	rates := map[uint32]uint32{}
	for _, demand := range sums.Demand {
		rates[demand.Organisation] += demand.PerSecond
	}
	for _, facts := range b.gossip.FactsOf() {
		sums.Boxes++
		sums.InFlight += facts.InFlight
		// The furthest: other domains learn from it that they are behind.
		sums.TableOffset = max(sums.TableOffset, facts.TableOffset)
		for _, demand := range facts.Demand {
			rates[demand.Organisation] += demand.PerSecond
		}
	}
	sums.Demand = sums.Demand[:0]
	for organisation, rate := range rates {
		sums.Demand = append(sums.Demand, membership.Demand{Organisation: organisation, PerSecond: rate})
	}
	sums.Demand = heaviest(sums.Demand)
	return sums
}
