package quarantine

import "dooryard.example/dooryard/internal/namekey"

const (
	// minCommonRequests is how many requests with a part make it known that it is common.
	minCommonRequests = 8
	// othersDivisor is how many requests there are at least for each one without a common part. Any upstream that crashes
	// by itself runs requests with such a part, so that its crash doesn't speak against the part, while a hold refuses
	// nearly all requests. One early trial request is the smaller harm.
	othersDivisor = 8
)

// partShare holds how many requests to a pool have a part since it has enough crashes for a quarantine.
type partShare struct {
	requests int64
	// before is the number of requests to the pool before the first of them.
	before int64
}

// countRequest counts a request with the part. screened is the number of all requests to the pool, with this one.
func (s *suspectPart) countRequest(pool namekey.Key, screened int64) {
	share, known := s.shares[pool]
	if !known {
		share.before = screened - 1
	}
	share.requests++
	s.shares[pool] = share
}

// isCommon reports whether nearly all requests to a pool have the part. screened is the number of all.
func (s *suspectPart) isCommon(pool namekey.Key, screened int64) bool {
	share := s.shares[pool]
	all := screened - share.before
	return share.requests >= minCommonRequests && othersDivisor*(all-share.requests) <= all
}
