package routebench

import (
	"dooryard.example/dooryard/internal/grant"
	"dooryard.example/dooryard/internal/route"
)

// owners holds the grant ledger and the session directory of each box, for the engines that the box owns.
type owners struct {
	ledgers          []*grant.Ledger
	directories      []*grant.Directory
	questions        int
	forced           int
	placementUpdates int
}

func newOwners(boxes int) *owners {
	o := &owners{}
	for range boxes {
		o.ledgers = append(o.ledgers, grant.NewLedger(grant.DefaultSettings()))
		o.directories = append(o.directories, grant.NewDirectory())
	}
	return o
}

// ownerOf returns the box that owns an engine.
func (r *run) ownerOf(position int) int { return position % r.scenario.Boxes }

// memberIDOf returns the member ID of the engine at a position. 0 means no member.
func memberIDOf(position int) grant.MemberID { return grant.MemberID(position + 1) }

func positionOf(memberID grant.MemberID) int { return int(memberID) - 1 }

func sessionOf(s *session) grant.Session { return grant.Session(s.key) }

// pickGrants searches for an engine whose owner grants the request. If no owner does, it picks the engine that exceeds
// its load bound by the smallest excess.
func pickGrants(r *run, box int, s *session) int {
	first, open := r.ranked(box, s)
	search := grant.NewSearch(first, open, s.turn == 0)
	for {
		question, more := search.Next()
		if !more {
			break
		}
		if search.HandleReply(question, r.askOwner(box, question, s)) {
			r.notifyOwner(search, question.MemberID, s)
			return positionOf(question.MemberID)
		}
	}
	memberID, found := search.LeastLoaded()
	if !found {
		return none
	}
	r.owners.forced++
	return positionOf(memberID)
}

// rankedChoices is the number of ranked engines that a box considers for a grant.
const rankedChoices = 6

// ranked returns the first choice of a session and the usable members in the order of their rank.
func (r *run) ranked(box int, s *session) (first grant.MemberID, open []grant.MemberID) {
	positions := [rankedChoices]int{}
	v := r.views[box]
	for i, position := range v.Ranked(s.key, positions[:0]) {
		if i == 0 {
			first = memberIDOf(position)
		}
		if v.Usable(position, route.Tried{}) {
			open = append(open, memberIDOf(position))
		}
	}
	return first, open
}

// askOwner sends a question of a box to the owner of an engine and returns the owner's reply.
func (r *run) askOwner(box int, q grant.Question, s *session) grant.Reply {
	position := positionOf(q.MemberID)
	owner := r.ownerOf(position)
	r.owners.questions++
	if q.Lookup {
		if hint, found := r.owners.directories[owner].Find(sessionOf(s)); found && hint != q.MemberID {
			return grant.Reply{Hint: hint}
		}
	}
	if !q.WantSlot {
		return grant.Reply{}
	}
	v := r.views[box]
	standing := grant.MemberState{
		WeightFraction: v.WeightFraction(position), Boxes: r.scenario.Boxes, BoundPercent: BoundPercent, Slots: engineSlots,
	}
	granted, over := r.owners.ledgers[owner].Ask(grant.Ask{
		MemberID: q.MemberID, Box: grant.Box(box + 1), InFlight: v.Members[position].InFlight + 1, Total: v.Total() + 1,
		BelowMean: q.BelowMean,
	}, standing, r.now)
	return grant.Reply{Granted: granted, Excess: over}
}

// notifyOwner informs the owner of the session's first choice where the session was placed, if it doesn't know yet.
func (r *run) notifyOwner(search *grant.Search, memberID grant.MemberID, s *session) {
	directory := r.owners.directories[r.ownerOf(positionOf(search.First()))]
	switch {
	case memberID == search.First():
		directory.Remove(sessionOf(s))
	case search.MustNotify(memberID):
		r.owners.placementUpdates++
		directory.Set(sessionOf(s), memberID)
	}
}

// reportInFlight reports to an engine's owner how many requests a box has in flight there.
func (r *run) reportInFlight(box, position int) {
	if r.owners == nil {
		return
	}
	inFlight := r.views[box].Members[position].InFlight
	r.owners.ledgers[r.ownerOf(position)].SetInFlight(memberIDOf(position), grant.Box(box+1), inFlight, r.now)
}
