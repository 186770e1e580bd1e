package grant

import (
	"cmp"
	"slices"
)

// Reply is what an owner answers.
type Reply struct {
	Granted bool
	// Over is by how many requests the upstream would be above its bound.
	Over int
	// Closed is set when the upstream takes no new work.
	Closed bool
	// Hint is where the session is warm instead, or 0.
	Hint Place
	// unknown is set when the owner does not know the place.
	unknown bool
}

// Question is whom to ask next, and what.
type Question struct {
	Place Place
	// Lookup asks the owner of the first choice where the session is.
	Lookup bool
	// Want is not set when the place itself takes nothing now, so that only its
	// owner's memory is asked for.
	Want bool
	// Settle asks for a slot only where the load is below the mean: a session
	// that gets a new home should not be moved off it soon.
	Settle bool
}

// Search is one request's way through the upstreams: whom to ask next, as a
// function of the answers so far. It does no I/O.
type Search struct {
	order  []Place
	first  Place
	hinted Place
	// lookup is set until the owner of the first choice was asked.
	lookup bool
	// home is set while the place to ask next is one where the session may be
	// warm.
	home bool
	// fresh is set for a session that can't be warm anywhere.
	fresh  bool
	at     int
	denied []denial
	asks   int
}

type denial struct {
	place Place
	over  int
}

// Bounds of a search.
const (
	// MaxAsks bounds how many owners one request asks.
	MaxAsks = 8
	// settleTries is how many places a session without a home tries below the
	// mean before it takes any within the bound.
	settleTries = 6
)

// NewSearch begins a search for a session through the open places in the order of
// their rank. First is the first choice even if it is not open: its owner
// remembers the session. Fresh is set for a session that can't be warm anywhere.
func NewSearch(first Place, open []Place, fresh bool) *Search {
	s := &Search{order: slices.Clone(open), first: first, lookup: !fresh, fresh: fresh}
	s.home = !fresh && s.firstIsOpen()
	return s
}

func (s *Search) firstIsOpen() bool { return len(s.order) > 0 && s.order[0] == s.first }

// First returns the first choice, whose owner remembers where the session is.
func (s *Search) First() Place { return s.first }

// Next returns the next question, or false when there is none left.
func (s *Search) Next() (Question, bool) {
	if s.asks >= MaxAsks || len(s.order) == 0 {
		return Question{}, false
	}
	if s.lookup {
		return Question{Place: s.first, Lookup: true, Want: s.home}, true
	}
	if s.at < min(settleTries, len(s.order)) {
		place := s.order[s.at]
		return Question{Place: place, Want: true, Settle: !s.mayBeWarm(place)}, true
	}
	return s.nextDenied()
}

// mayBeWarm reports whether a place holds the session's newest prefix, or, as the
// first choice of a returning one, maybe an older.
func (s *Search) mayBeWarm(place Place) bool { return s.home || place == s.first && !s.fresh }

// nextDenied goes through the places again, the least loaded first, now taking
// any that stays within the bound.
func (s *Search) nextDenied() (Question, bool) {
	if len(s.denied) == 0 {
		return Question{}, false
	}
	slices.SortStableFunc(s.denied, func(a, b denial) int { return cmp.Compare(a.over, b.over) })
	return Question{Place: s.denied[0].place, Want: true}, true
}

// Hear takes in the answer to the last question. It returns true when the place
// was granted, which ends the search.
func (s *Search) Hear(q Question, r Reply) bool {
	s.asks++
	if r.Granted {
		return true
	}
	if q.Lookup {
		s.lookup = false
		if s.follow(r.Hint) || !q.Want {
			return false
		}
	}
	if s.at >= min(settleTries, len(s.order)) {
		// Not even the least loaded has room within the bound.
		s.asks = MaxAsks
		return false
	}
	if !r.Closed {
		s.denied = append(s.denied, denial{place: q.Place, over: r.Over})
	}
	s.at++
	s.home = false
	return false
}

// follow lets a hinted place be asked next.
func (s *Search) follow(hint Place) bool {
	at := slices.Index(s.order, hint)
	if hint == 0 || at < 0 {
		return false
	}
	s.hinted = hint
	s.home = true
	copy(s.order[1:at+1], s.order[:at])
	s.order[0] = hint
	return true
}

// Least returns the place that was denied by the smallest excess, for when all
// are above the bound.
func (s *Search) Least() (Place, bool) {
	if len(s.denied) == 0 {
		return 0, false
	}
	return s.denied[0].place, true
}

// News reports whether the owner of the first choice has to hear that the session
// went to a place. A grant at the first choice itself tells it already.
func (s *Search) News(place Place) bool { return place != s.first && place != s.hinted }
