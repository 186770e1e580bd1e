package quarantine

import "dooryard.example/dooryard/internal/clock"

// maxRecent bounds the fingerprints of one generation: of 40 requests a second that are
// answered, those of the last minute.
const maxRecent = 2400

// recent remembers when fingerprints were last seen, the newest of them, in two generations.
type recent struct {
	young, old map[Fingerprint]clock.Millis
}

func newRecent() recent {
	return recent{young: map[Fingerprint]clock.Millis{}, old: map[Fingerprint]clock.Millis{}}
}

func (r *recent) note(fingerprint Fingerprint, at clock.Millis) {
	if len(r.young) >= maxRecent {
		r.old, r.young = r.young, make(map[Fingerprint]clock.Millis, maxRecent)
	}
	r.young[fingerprint] = max(at, r.young[fingerprint])
}

// since reports whether a fingerprint was seen after an instant.
func (r *recent) since(fingerprint Fingerprint, after clock.Millis) bool {
	at, known := r.young[fingerprint]
	if !known {
		at, known = r.old[fingerprint]
	}
	return known && at > after
}
