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

// Parameters of the demand exchange.
const (
	// demandSmoothing is the weight of the previous estimate in each period.
	demandSmoothing = 0.5
	// minDemandRate is the rate below which an organisation is dropped from the estimates.
	minDemandRate = 0.05
	// maxGossipDemands is the maximum number of organisations whose demand a box publishes; the
	// wire format bounds it.
	maxGossipDemands = 8
)

// updateDemand updates the smoothed request rates from the counts of a period.
func (b *Box) updateDemand() {
	counts := b.organisations.Demand()
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	for name, rate := range b.fleet.demand {
		b.fleet.demand[name] = rate * demandSmoothing
		if rate < minDemandRate {
			delete(b.fleet.demand, name)
		}
	}
	for name, count := range counts {
		if b.limited(name) {
			b.fleet.demand[name] += float64(count) * (1 - demandSmoothing)
		}
	}
}

// limited reports whether an organisation has a limit that boxes share. Demand is exchanged
// only for such organisations.
func (b *Box) limited(name string) bool {
	row := b.store.State().Organisation(name)
	return row != nil && (row.RatePerS > 0 || row.MaxInFlight > 0)
}

// demandScale converts rates to the wire format, which uses hundredths of a request per
// second.
const demandScale = 100

// topLocalDemand returns the demand of this box's organisations with the highest rates.
func (b *Box) topLocalDemand() []membership.Demand {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	demand := make([]membership.Demand, 0, len(b.fleet.demand))
	for name, rate := range b.fleet.demand {
		demand = append(demand, membership.Demand{
			Organisation: membership.OrganisationID(name), PerSecond: uint32(rate * demandScale),
		})
	}
	return topDemand(demand)
}

func topDemand(demand []membership.Demand) []membership.Demand {
	slices.SortFunc(demand, func(x, y membership.Demand) int {
		return cmp.Or(cmp.Compare(y.PerSecond, x.PerSecond), cmp.Compare(x.Organisation, y.Organisation))
	})
	return demand[:min(maxGossipDemands, len(demand))]
}

// share returns this box's share of an organisation's fleet-wide limits as of the last period.
// If the organisation has sent this box no recent requests, this is an equal share for each box.
func (b *Box) share(name string) float64 {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	if part, known := b.fleet.shares[name]; known {
		return part
	}
	return b.fleet.evenShare
}

// updateShares computes this box's share of the limits of each organisation with recent
// requests.
func (b *Box) updateShares() {
	base, sources := b.fleetDemand()
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.fleet.evenShare = limit.Demand{Boxes: base.Boxes}.Fraction()
	clear(b.fleet.shares)
	for name, rate := range b.fleet.demand {
		demand := base
		demand.Own = rate * demandScale
		id := membership.OrganisationID(name)
		for _, facts := range sources {
			demand.Others += float64(demandOf(facts, id))
		}
		b.fleet.shares[name] = demand.Fraction()
	}
}

// updateSlots computes this box's share of the engines' slots from the running and waiting
// requests of the boxes in this failure domain.
func (b *Box) updateSlots() {
	running, waiting := b.admit.QueueLengths()
	slots := limit.Slots{Own: float64(running + waiting), Boxes: len(b.gossip.Live())}
	for _, facts := range b.gossip.FactsOf() {
		slots.KnownBoxes++
		slots.Others += float64(facts.InFlight)
	}
	b.pools.SetSlots(slots)
}

// fleetDemand counts the boxes that share limits, and returns the facts received from them:
// one entry for each box of this failure domain, and one sum for each other domain.
func (b *Box) fleetDemand() (base limit.Demand, sources []membership.Facts) {
	base.Boxes = 1
	for _, facts := range b.gossip.FactsOf() {
		base.Boxes++
		base.KnownBoxes++
		sources = append(sources, facts)
	}
	sums := b.gossip.DomainFacts(domainFactsTTLMs)
	for _, domain := range b.otherDomains() {
		facts, found := sums[membership.NewID(domain)]
		if !found {
			base.Boxes += b.listedBoxCount(domain)
			continue
		}
		base.Boxes += int(facts.Boxes)
		base.KnownBoxes += int(facts.Boxes)
		sources = append(sources, facts)
	}
	return base, sources
}

// listedBoxCount returns the number of boxes of a failure domain on the platform's last list.
func (b *Box) listedBoxCount(domain string) int {
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

// domainSumsLoop sends the sums of this failure domain to the other ones. The boxes rotate
// through this task to spread its cost.
func (b *Box) domainSumsLoop(ctx context.Context) {
	b.clock.Every(ctx, domainSumsIntervalMs, func(now clock.Millis) {
		live := b.gossip.Live()
		if len(live) == 0 || live[int(now/domainSumsIntervalMs)%len(live)] != b.settings.Box {
			return
		}
		sums := b.domainSums()
		sent := map[string]int{}
		remotes := b.remoteBoxes()
		rand.Shuffle(len(remotes), func(i, j int) { remotes[i], remotes[j] = remotes[j], remotes[i] })
		for _, listed := range remotes {
			if sent[listed.FailureDomain] < sumsFanout {
				sent[listed.FailureDomain]++
				b.gossip.SendDomainFacts(listed.GossipAddress, membership.NewID(b.settings.FailureDomain), sums)
			}
		}
	})
}

// sumsFanout is the number of boxes of another failure domain that receive the sums directly.
const sumsFanout = 2

// domainSums returns the sums of the facts published by the boxes of this failure domain.
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
		// The maximum lets other failure domains detect that they are behind.
		sums.TableOffset = max(sums.TableOffset, facts.TableOffset)
		for _, demand := range facts.Demand {
			rates[demand.Organisation] += demand.PerSecond
		}
	}
	sums.Demand = sums.Demand[:0]
	for organisation, rate := range rates {
		sums.Demand = append(sums.Demand, membership.Demand{Organisation: organisation, PerSecond: rate})
	}
	sums.Demand = topDemand(sums.Demand)
	return sums
}
