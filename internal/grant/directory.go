package grant

// Session is the short hash of a session in messages. A collision of two sessions costs at most
// cache hits.
type Session uint32

// generationSize is the number of sessions in one generation of a directory.
const generationSize = 100_000

// Directory records which upstream has the cached prefix of each session that was not sent to its
// first choice. The owner of the first choice keeps the entry. The directory holds the most recent
// sessions in two generations. It must not be used by several goroutines at a time. Losing it costs
// cache hits but does not affect correctness.
type Directory struct {
	previous, current map[Session]Place
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{previous: map[Session]Place{}, current: map[Session]Place{}}
}

// Find returns the last recorded place of a session.
func (d *Directory) Find(session Session) (Place, bool) {
	if place, found := d.current[session]; found {
		return place, true
	}
	place, found := d.previous[session]
	return place, found
}

// Set records the place of a session.
func (d *Directory) Set(session Session, place Place) {
	if len(d.current) >= generationSize {
		d.previous = d.current
		d.current = map[Session]Place{}
	}
	d.current[session] = place
}

// Remove deletes a session that is at its first choice again.
func (d *Directory) Remove(session Session) {
	delete(d.current, session)
	delete(d.previous, session)
}

// Len returns the number of entries. A session in both generations counts twice.
func (d *Directory) Len() int { return len(d.current) + len(d.previous) }
