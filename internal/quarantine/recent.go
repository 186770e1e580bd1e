package quarantine

import "dooryard.example/dooryard/internal/clock"

// maxRecent bounds the contents of one generation: of 40 requests a second that are
// answered, those of the last minute.
const maxRecent = 2400

// recent remembers when contents were last seen, the newest of them, in two generations.
type recent struct {
	young, old map[Content]clock.Millis
}

func newRecent() recent {
	return recent{young: map[Content]clock.Millis{}, old: map[Content]clock.Millis{}}
}

func (r *recent) note(content Content, at clock.Millis) {
	if len(r.young) >= maxRecent {
		r.old, r.young = r.young, make(map[Content]clock.Millis, maxRecent)
	}
	r.young[content] = max(at, r.young[content])
}

// since tells whether a content was seen after an instant.
func (r *recent) since(content Content, after clock.Millis) bool {
	at, known := r.young[content]
	if !known {
		at, known = r.old[content]
	}
	return known && at > after
}
