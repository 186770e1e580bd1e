package grant

import (
	"cmp"
	"slices"
)

// Reply is an owner's answer.
type Reply struct {
	Granted bool
	// Excess is the number of requests by which the upstream would exceed its bound.
	Excess int
	// Unavailable is set when the upstream does not accept new work.
	Unavailable bool
	// Hint is another place that has the session's cached prefix, or 0.
	Hint Place
	// unknown is set when the owner does not know the place.
	unknown bool
}

// Question is the next request of a search to an owner.
type Question struct {
	Place Place
	// Lookup asks the owner of the first choice for the place that has the session's cached prefix.
	Lookup bool
	// WantSlot requests a slot at the place. It is not set if the place does not accept new work, so that
	// only the owner's directory is queried.
	WantSlot bool
	// BelowMean requests a slot only if the load is below the mean, because a session that moves to a
	// new upstream should be able to stay there.
	BelowMean bool
}

// Search selects the owners that one request asks, in order, based on the replies so far. It does
// no I/O.
type Search struct {
	order  []Place
	first  Place
	hinted Place
	// lookup is set until the owner of the first choice has replied.
	lookup bool
	// nextCached is set while the next place to ask may have the session's cached prefix.
	nextCached bool
	// fresh is set for a new session, whose prefix can't be cached anywhere.
	fresh    bool
	index    int
	denied   []denial
	askCount int
}

type denial struct {
	place Place
	over  int
}

// Limits of a search.
const (
	// MaxAsks is the maximum number of questions per request.
	MaxAsks = 8
	// settleAttempts is the number of places that a session without a cached prefix tries below the
	// mean before it accepts any place within the bound.
	settleAttempts = 6
)

// NewSearch starts a search for a session through the open places in rank order. The first choice is
// passed even if it is not open, because its owner keeps the session's directory entry. fresh is set for
// a new session, whose prefix can't be cached anywhere.
func NewSearch(first Place, open []Place, fresh bool) *Search {
	s := &Search{order: slices.Clone(open), first: first, lookup: !fresh, fresh: fresh}
	s.nextCached = !fresh && s.firstIsOpen()
	return s
}

func (s *Search) firstIsOpen() bool { return len(s.order) > 0 && s.order[0] == s.first }

// First returns the first choice, whose owner keeps the session's directory entry.
func (s *Search) First() Place { return s.first }

// Next returns the next question, or false if the search is exhausted.
func (s *Search) Next() (Question, bool) {
	if s.askCount >= MaxAsks || len(s.order) == 0 {
		return Question{}, false
	}
	if s.lookup {
		return Question{Place: s.first, Lookup: true, WantSlot: s.nextCached}, true
	}
	if s.index < min(settleAttempts, len(s.order)) {
		place := s.order[s.index]
		return Question{Place: place, WantSlot: true, BelowMean: !s.maybeCached(place)}, true
	}
	return s.retryDenied()
}

// maybeCached reports whether a place has the session's newest prefix. The first choice of a known
// session counts too, because it may have an older one.
func (s *Search) maybeCached(place Place) bool { return s.nextCached || place == s.first && !s.fresh }

// retryDenied returns a question for the least loaded place that was denied, this time accepting
// any load within the bound.
func (s *Search) retryDenied() (Question, bool) {
	if len(s.denied) == 0 {
		return Question{}, false
	}
	slices.SortStableFunc(s.denied, func(a, b denial) int { return cmp.Compare(a.over, b.over) })
	return Question{Place: s.denied[0].place, WantSlot: true}, true
}

// HandleReply processes the reply to the last question. It returns true if the slot was granted, which
// ends the search.
func (s *Search) HandleReply(q Question, r Reply) bool {
	s.askCount++
	if r.Granted {
		return true
	}
	if q.Lookup {
		s.lookup = false
		if s.askHintNext(r.Hint) || !q.WantSlot {
			return false
		}
	}
	if s.index >= min(settleAttempts, len(s.order)) {
		// Even the least loaded place has no capacity within the bound.
		s.askCount = MaxAsks
		return false
	}
	if !r.Unavailable {
		s.denied = append(s.denied, denial{place: q.Place, over: r.Excess})
	}
	s.index++
	s.nextCached = false
	return false
}

// askHintNext moves a hinted place to the front of the order, so that it is asked next.
func (s *Search) askHintNext(hint Place) bool {
	index := slices.Index(s.order, hint)
	if hint == 0 || index < 0 {
		return false
	}
	s.hinted = hint
	s.nextCached = true
	copy(s.order[1:index+1], s.order[:index])
	s.order[0] = hint
	return true
}

// LeastLoaded returns the denied place that is the least above its bound, for use when all places are
// above it.
func (s *Search) LeastLoaded() (Place, bool) {
	if len(s.denied) == 0 {
		return 0, false
	}
	return s.denied[0].place, true
}

// MustNotify reports whether the owner of the first choice must be notified of the place that granted a
// slot. A grant at the first choice itself, or at the place that its owner hinted, needs no
// notification.
func (s *Search) MustNotify(place Place) bool { return place != s.first && place != s.hinted }
