package soak

import (
	"slices"
	"time"
)

// allBoxes is the name under which disturbances of all boxes are recorded, such as store faults.
const allBoxes = ""

// interval is a time during which something was disturbed. It is open while its end is zero.
type interval struct {
	from, to time.Time
	// planned is set if it was planned work: an orderly stop until the start that follows.
	planned bool
	// share is the time for which a box ran in each quotaPeriod, or 0 if it was not under a quota.
	share time.Duration
}

// disturbances records by name when boxes and servers were disturbed.
type disturbances map[string][]*interval

// begin records that name is disturbed from now on. The caller sets the end of the returned
// interval.
func (d disturbances) begin(name string, now time.Time) *interval {
	s := &interval{from: now}
	d[name] = append(d[name], s)
	return s
}

// unplanned returns the disturbances that were not planned, without quotas.
func (d disturbances) unplanned() disturbances {
	return d.without(func(s *interval) bool { return s.planned || s.share > 0 })
}

// withoutQuotas returns the disturbances except for quotas of processor time, which excuse late decisions, but no lost
// requests: planned work loses nothing on a slow machine either.
func (d disturbances) withoutQuotas() disturbances {
	return d.without(func(s *interval) bool { return s.share > 0 })
}

func (d disturbances) without(excluded func(s *interval) bool) disturbances {
	rest := disturbances{}
	for name, list := range d {
		rest[name] = slices.DeleteFunc(slices.Clone(list), excluded)
	}
	return rest
}

// undisturbed reports whether name was undisturbed during the whole given time.
func (d disturbances) undisturbed(name string, from, to time.Time) bool {
	for _, s := range d[name] {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}
	return true
}

// disturb records that a box, a server or all boxes are disturbed from now on. The returned
// function records the end.
func (f *fleet) disturb(name string) (end func()) {
	return f.history.beginDisturbance(name, interval{})
}

// disturbAsPlanned does the same for planned work.
func (f *fleet) disturbAsPlanned(name string) (end func()) {
	return f.history.beginDisturbance(name, interval{planned: true})
}

func (h *history) beginDisturbance(name string, kind interval) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.disturbances.begin(name, time.Now())
	s.planned, s.share = kind.planned, kind.share
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		s.to = time.Now()
	}
}

// withDisturbance records that name is disturbed until the returned function ends the fault. It
// passes err through.
func withDisturbance(f *fleet, name string, end func(f *fleet) error, err error) (func(f *fleet) error, error) {
	endDisturbance := f.disturb(name)
	return func(f *fleet) error {
		defer endDisturbance()
		return end(f)
	}, err
}
