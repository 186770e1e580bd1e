package quarantine

import "dooryard.example/dooryard/internal/clock"

// maxGenerationSize limits the number of fingerprints in one generation. At 40 answered requests per
// second, a generation holds the fingerprints of one minute.
const maxGenerationSize = 2400

// recent records when keys were last seen. It keeps them in two generations: when the current one is full it becomes
// the previous one, and the older previous one is dropped.
type recent[K comparable] struct {
	current, previous map[K]clock.Millis
	maxSize           int
}

func newRecent[K comparable](maxSize int) recent[K] {
	return recent[K]{current: map[K]clock.Millis{}, previous: map[K]clock.Millis{}, maxSize: maxSize}
}

// mark records that a key was seen. It reports whether the key was not known before.
func (r *recent[K]) mark(key K, at clock.Millis) (isNew bool) {
	last, known := r.last(key)
	if len(r.current) >= r.maxSize {
		r.previous, r.current = r.current, make(map[K]clock.Millis, r.maxSize)
	}
	r.current[key] = max(at, last)
	return !known
}

// last returns when a key was last seen.
func (r *recent[K]) last(key K) (at clock.Millis, known bool) {
	if at, known = r.current[key]; known {
		return at, true
	}
	at, known = r.previous[key]
	return at, known
}

// seenAfter reports whether a key was seen after the given time.
func (r *recent[K]) seenAfter(key K, after clock.Millis) bool {
	at, known := r.last(key)
	return known && at > after
}
