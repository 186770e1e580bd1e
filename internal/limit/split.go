package limit

// demandFraction is the fraction of a fleet-wide limit that is split by demand. The rest is split
// evenly, so that a box whose demand is not known yet gets a small part.
const demandFraction = 0.97

// Demand is the known demand of one organisation across the fleet.
type Demand struct {
	// Own is the demand on this box.
	Own float64
	// Others is the sum of the last reported demand of all other boxes.
	Others float64
	// Boxes is the number of boxes in the fleet, including this one.
	Boxes int
	// KnownBoxes is the number of other boxes whose demand is known.
	KnownBoxes int
}

// Fraction returns the fraction of a fleet-wide limit that this box may use. The fractions of boxes
// with the same information add up to one. Only the even shares of this box and of the boxes whose
// demand it knows are split by demand. Without contact to any other box it therefore gets its even
// share, whatever its demand.
func (d Demand) Fraction() float64 {
	if d.Boxes <= 1 {
		return 1
	}
	evenShare := 1 / float64(d.Boxes)
	knownShare := float64(min(d.KnownBoxes, d.Boxes-1)+1) * evenShare
	if total := d.Own + d.Others; total > 0 {
		return knownShare * (demandFraction*d.Own/total + (1-demandFraction)/float64(d.KnownBoxes+1))
	}
	return evenShare
}

// Slots is the known use of engine slots across the boxes that share them.
type Slots struct {
	// Own is the number of running and waiting requests on this box.
	Own float64
	// Others is the sum over the other boxes whose use is known.
	Others float64
	// Boxes is the number of boxes that share the slots, including this one.
	Boxes int
	// KnownBoxes is the number of other boxes whose use is known.
	KnownBoxes int
}

// Share returns how many of the slots this box may use. The parts of boxes with the same information
// add up to all slots. While slots are free, a box gets what it uses plus an even part of the free
// ones, so that a burst is admitted immediately. Otherwise each box gets a part in proportion to
// its demand. Boxes whose use is unknown are assumed to use an even part.
func (s Slots) Share(slots float64) float64 {
	boxes := float64(max(1, s.Boxes))
	unknown := float64(max(0, s.Boxes-1-s.KnownBoxes))
	demand := s.Own + s.Others + unknown*slots/boxes
	if demand <= slots {
		return s.Own + (slots-demand)/(boxes-unknown)
	}
	return slots * s.Own / demand
}
