package grant

// Session is the short hash of a session in messages. If two sessions have the same hash,
// requests may miss the prefix cache, which is the only effect.
type Session uint32

// generationSize is the number of sessions in one generation of a directory.
const generationSize = 100_000

// Directory records which upstream has the cached prefix of each session that was not sent to its
// first choice. The owner of the first choice keeps the entry. The directory holds the most recent
// sessions in two generations. It must not be used by several goroutines at a time. Losing it costs
// cache hits but does not affect correctness.
type Directory struct {
	previous, current map[Session]MemberID
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{previous: map[Session]MemberID{}, current: map[Session]MemberID{}}
}

// Find returns the last recorded member of a session.
func (d *Directory) Find(session Session) (MemberID, bool) {
	if memberID, found := d.current[session]; found {
		return memberID, true
	}
	memberID, found := d.previous[session]
	return memberID, found
}

// Set records the member of a session.
func (d *Directory) Set(session Session, memberID MemberID) {
	if len(d.current) >= generationSize {
		d.previous = d.current
		d.current = map[Session]MemberID{}
	}
	d.current[session] = memberID
}

// Remove deletes a session that is at its first choice again.
func (d *Directory) Remove(session Session) {
	delete(d.current, session)
	delete(d.previous, session)
}

// Len returns the number of entries. A session in both generations counts twice.
func (d *Directory) Len() int { return len(d.current) + len(d.previous) }
