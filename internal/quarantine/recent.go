package quarantine

import "dooryard.example/dooryard/internal/clock"

// maxGenerationSize limits the number of fingerprints in one generation. At 40 answered requests per
// second, a generation holds the fingerprints of one minute.
const maxGenerationSize = 2400

// recent records when fingerprints were last seen. It keeps them in two generations: when the current
// one is full it becomes the previous one, and the older previous one is dropped.
type recent struct {
	current, previous map[Fingerprint]clock.Millis
}

func newRecent() recent {
	return recent{current: map[Fingerprint]clock.Millis{}, previous: map[Fingerprint]clock.Millis{}}
}

func (r *recent) mark(fingerprint Fingerprint, at clock.Millis) {
	if len(r.current) >= maxGenerationSize {
		r.previous, r.current = r.current, make(map[Fingerprint]clock.Millis, maxGenerationSize)
	}
	r.current[fingerprint] = max(at, r.current[fingerprint])
}

// seenAfter reports whether a fingerprint was seen after the given time.
func (r *recent) seenAfter(fingerprint Fingerprint, after clock.Millis) bool {
	at, known := r.current[fingerprint]
	if !known {
		at, known = r.previous[fingerprint]
	}
	return known && at > after
}
