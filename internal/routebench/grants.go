package routebench

import (
	"dooryard.example/dooryard/internal/grant"
	"dooryard.example/dooryard/internal/route"
)

// owners are the boxes' ledgers and directories.
type owners struct {
	ledgers     []*grant.Ledger
	directories []*grant.Directory
	asks        int
	forced      int
	news        int
}

func newOwners(boxes int) *owners {
	o := &owners{}
	for range boxes {
		o.ledgers = append(o.ledgers, grant.NewLedger(grant.DefaultSettings()))
		o.directories = append(o.directories, grant.NewDirectory())
	}
	return o
}

// ownerOf is the box that owns an engine.
func (r *run) ownerOf(position int) int { return position % r.scenario.Boxes }

// placeOf names an engine by its position; 0 is no place.
func placeOf(position int) grant.Place { return grant.Place(position + 1) }

func positionOf(place grant.Place) int { return int(place) - 1 }

func sessionOf(s *session) grant.Session { return grant.Session(s.key) }

func pickGrants(r *run, box int, s *session) int {
	first, open := r.ranked(box, s)
	search := grant.NewSearch(first, open, s.turn == 0)
	for {
		question, more := search.Next()
		if !more {
			break
		}
		if search.Hear(question, r.ask(box, question, s)) {
			r.tellOwner(search, question.Place, s)
			return positionOf(question.Place)
		}
	}
	place, found := search.Least()
	if !found {
		return none
	}
	r.owners.forced++
	return positionOf(place)
}

// rankedChoices is as many ranks as a box asks for.
const rankedChoices = 6

// ranked returns the first choice and the open places in the order of rank.
func (r *run) ranked(box int, s *session) (first grant.Place, open []grant.Place) {
	positions := [rankedChoices]int{}
	v := r.views[box]
	for i, position := range v.Ranked(s.key, positions[:0]) {
		if i == 0 {
			first = placeOf(position)
		}
		if v.Usable(position, route.Tried{}) {
			open = append(open, placeOf(position))
		}
	}
	return first, open
}

func (r *run) ask(box int, q grant.Question, s *session) grant.Reply {
	position := positionOf(q.Place)
	owner := r.ownerOf(position)
	r.owners.asks++
	if q.Lookup {
		if hint, found := r.owners.directories[owner].Find(sessionOf(s)); found && hint != q.Place {
			return grant.Reply{Hint: hint}
		}
	}
	if !q.Want {
		return grant.Reply{}
	}
	v := r.views[box]
	standing := grant.Standing{
		Part: v.Part(position), Boxes: r.scenario.Boxes, BoundPercent: BoundPercent, Slots: engineSlots,
	}
	granted, over := r.owners.ledgers[owner].Ask(grant.Ask{
		Place: q.Place, Box: grant.Box(box + 1), Held: v.Members[position].InFlight + 1, Total: v.Total() + 1,
		Settle: q.Settle,
	}, standing, r.now)
	return grant.Reply{Granted: granted, Over: over}
}

// tellOwner lets the owner of the first choice know where the session went.
func (r *run) tellOwner(search *grant.Search, place grant.Place, s *session) {
	directory := r.owners.directories[r.ownerOf(positionOf(search.First()))]
	switch {
	case place == search.First():
		directory.Remove(sessionOf(s))
	case search.News(place):
		r.owners.news++
		directory.Set(sessionOf(s), place)
	}
}

// hold tells an engine's owner what a box runs there.
func (r *run) hold(box, position int) {
	if r.owners == nil {
		return
	}
	held := r.views[box].Members[position].InFlight
	r.owners.ledgers[r.ownerOf(position)].Hold(placeOf(position), grant.Box(box+1), held, r.now)
}
