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
	// Hint is another member that has the session's cached prefix, or 0.
	Hint MemberID
	// unknown is set when the owner does not know the member.
	unknown bool
}

// Question is the next request of a search to an owner.
type Question struct {
	MemberID MemberID
	// Lookup asks the owner of the first choice for the member that has the session's cached prefix.
	Lookup bool
	// WantSlot requests a slot at the member. It is not set if the member does not accept new work, so that
	// only the owner's directory is queried.
	WantSlot bool
	// BelowMean requests a slot only if the load is below the mean, because a session that moves to a
	// new upstream should be able to stay there.
	BelowMean bool
}

// Search selects the owners that one request asks, in order, based on the replies so far. It does
// no I/O.
type Search struct {
	order  []MemberID
	first  MemberID
	hinted MemberID
	// lookup is set until the owner of the first choice has replied.
	lookup bool
	// nextCached is set while the next member to ask may have the session's cached prefix.
	nextCached bool
	// fresh is set for a new session, whose prefix can't be cached anywhere.
	fresh    bool
	index    int
	denied   []denial
	askCount int
}

type denial struct {
	memberID MemberID
	excess   int
}

// Limits of a search.
const (
	// MaxAsks is the maximum number of questions per request.
	MaxAsks = 8
	// belowMeanAttempts is the number of members that a session without a cached prefix tries below the
	// mean before it accepts any member within the bound.
	belowMeanAttempts = 6
)

// NewSearch starts a search for a session through the open members in rank order. The first choice is
// passed even if it is not open, because its owner keeps the session's directory entry. fresh is set for
// a new session, whose prefix can't be cached anywhere.
func NewSearch(first MemberID, open []MemberID, fresh bool) *Search {
	s := &Search{order: slices.Clone(open), first: first, lookup: !fresh, fresh: fresh}
	s.nextCached = !fresh && s.firstIsOpen()
	return s
}

func (s *Search) firstIsOpen() bool { return len(s.order) > 0 && s.order[0] == s.first }

// First returns the first choice, whose owner keeps the session's directory entry.
func (s *Search) First() MemberID { return s.first }

// Next returns the next question, or false if the search is exhausted.
func (s *Search) Next() (Question, bool) {
	if s.askCount >= MaxAsks || len(s.order) == 0 {
		return Question{}, false
	}
	if s.lookup {
		return Question{MemberID: s.first, Lookup: true, WantSlot: s.nextCached}, true
	}
	if s.index < min(belowMeanAttempts, len(s.order)) {
		memberID := s.order[s.index]
		return Question{MemberID: memberID, WantSlot: true, BelowMean: !s.maybeCached(memberID)}, true
	}
	return s.retryDenied()
}

// maybeCached reports whether a member has the session's newest prefix. The first choice of a known
// session counts too, because it may have an older one.
func (s *Search) maybeCached(memberID MemberID) bool {
	return s.nextCached || memberID == s.first && !s.fresh
}

// retryDenied returns a question for the least loaded member that was denied, this time accepting
// any load within the bound.
func (s *Search) retryDenied() (Question, bool) {
	if len(s.denied) == 0 {
		return Question{}, false
	}
	slices.SortStableFunc(s.denied, func(a, b denial) int { return cmp.Compare(a.excess, b.excess) })
	return Question{MemberID: s.denied[0].memberID, WantSlot: true}, true
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
	if s.index >= min(belowMeanAttempts, len(s.order)) {
		// Even the least loaded member has no capacity within the bound.
		s.askCount = MaxAsks
		return false
	}
	if !r.Unavailable {
		s.denied = append(s.denied, denial{memberID: q.MemberID, excess: r.Excess})
	}
	s.index++
	s.nextCached = false
	return false
}

// askHintNext moves a hinted member to the front of the order, so that it is asked next.
func (s *Search) askHintNext(hint MemberID) bool {
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

// LeastLoaded returns the denied member that exceeds its bound by the least, for use when all members are
// above it.
func (s *Search) LeastLoaded() (MemberID, bool) {
	if len(s.denied) == 0 {
		return 0, false
	}
	return s.denied[0].memberID, true
}

// MustNotify reports whether the owner of the first choice must be notified of the member that granted a
// slot. A grant at the first choice itself, or at the member that its owner hinted, needs no
// notification.
func (s *Search) MustNotify(memberID MemberID) bool {
	return memberID != s.first && memberID != s.hinted
}
