package limit

// demandPart is the part of a fleet-wide limit that follows demand; the rest is
// split evenly, so that a box whose demand is not known yet has a little.
const demandPart = 0.97

// Demand is what is known of how much an organisation asks for.
type Demand struct {
	// Own is this box's.
	Own float64
	// Others is the sum of all other boxes', as they last told.
	Others float64
	// Boxes is the number of boxes in the fleet, this one included.
	Boxes int
	// Heard is how many of the other boxes' demand is known.
	Heard int
}

// Part returns which part of a fleet-wide limit a box may use, so that the parts
// of boxes that know the same add up to one. A box takes its demand's part only
// of the parts of those boxes that it hears from: cut off from all, it has its
// even part, whatever its demand.
func (d Demand) Part() float64 {
	if d.Boxes <= 1 {
		return 1
	}
	even := 1 / float64(d.Boxes)
	known := float64(min(d.Heard, d.Boxes-1)+1) * even
	if total := d.Own + d.Others; total > 0 {
		return known * (demandPart*d.Own/total + (1-demandPart)/float64(d.Heard+1))
	}
	return even
}
