package grant

// Session names a session on the wire, by a short hash. Two sessions that share
// one cost warmth at the worst.
type Session uint32

// generationSessions is how many sessions one generation of a directory holds.
const generationSessions = 100_000

// Directory remembers where sessions are warm that are not warm at their first
// choice, whose owner keeps it. It holds the newest in two generations and
// belongs to one goroutine at a time. Losing it costs warmth, never a promise.
type Directory struct {
	old, young map[Session]Place
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{old: map[Session]Place{}, young: map[Session]Place{}}
}

// Find returns where a session was last.
func (d *Directory) Find(session Session) (Place, bool) {
	if place, found := d.young[session]; found {
		return place, true
	}
	place, found := d.old[session]
	return place, found
}

// Set remembers where a session is.
func (d *Directory) Set(session Session, place Place) {
	if len(d.young) >= generationSessions {
		d.old = d.young
		d.young = map[Session]Place{}
	}
	d.young[session] = place
}

// Remove forgets a session, which is at its first choice again.
func (d *Directory) Remove(session Session) {
	delete(d.young, session)
	delete(d.old, session)
}

// Len returns how many sessions are remembered.
func (d *Directory) Len() int { return len(d.young) + len(d.old) }
