package occupancy

import "dooryard.example/dooryard/internal/clock"

// load is the load on one upstream.
type load struct {
	inUse int
	// sinceMs is when the first permit was requested, and usedMs when the last one was.
	sinceMs clock.Millis
	usedMs  clock.Millis
	// serviceMs is the mean time for which a request occupies a slot, or 0 if unknown.
	serviceMs float64
	// lastEndMs is when a request last ended while others waited for a slot, or 0.
	lastEndMs clock.Millis
	// fullSinceMs is since when no slot has been free. It is only valid while none is.
	fullSinceMs clock.Millis
	// limit is how many requests the upstream had room for when it last rejected one, at limitedMs, or 0.
	limit     int
	limitedMs clock.Millis
}

// roomGrowthMs is the time in which the room of an upstream that rejected a request is assumed to grow by one request.
// An upstream that rejects each time its room is tried again rejects no more than a few requests in a second.
const roomGrowthMs clock.Millis = 500

// room returns how many permits are granted, up to a bound.
func (u *load) room(bound int, now clock.Millis) int {
	if u.limit == 0 {
		return bound
	}
	return min(bound, u.limit+int((now-u.limitedMs)/roomGrowthMs))
}

const (
	// serviceTimeWeight makes the mean service time cover about the last 32 requests.
	serviceTimeWeight = 1.0 / 32
	// serviceTimeMargin is the time that is left for the request itself after its wait for a slot, in mean service
	// times. About nine in ten requests take less.
	serviceTimeMargin = 3
)

// accepts reports whether one more request may be sent whose response should start within a time. It may if a slot is
// free or was free within that time, because a short burst drains by itself and a late response is better than none.
// Otherwise the queue stands, and the request may be sent if those that are ahead of it will likely have ended in time.
func (u *load) accepts(slots int, within, now clock.Millis) bool {
	if u.inUse < slots || u.serviceMs == 0 || now-u.fullSinceMs < within {
		return true
	}
	waitMs := u.serviceMs * float64(u.inUse+1-slots) / float64(slots)
	return waitMs+serviceTimeMargin*u.serviceMs <= float64(within)
}

// recordEnd updates the mean service time when a request ends, before its permit is removed. A request that found a
// free slot took that time itself. If others wait, each of the slots ends one request per service time.
func (u *load) recordEnd(p permit, now clock.Millis) {
	waiting := u.inUse > p.slots
	switch {
	case waiting && u.lastEndMs > 0:
		u.recordServiceTime(float64(now-u.lastEndMs) * float64(p.slots))
	case p.immediate:
		u.recordServiceTime(float64(now - p.grantedMs))
	}
	u.lastEndMs = 0
	if waiting {
		u.lastEndMs = now
	}
}

func (u *load) recordServiceTime(ms float64) {
	if u.serviceMs == 0 {
		u.serviceMs = ms
		return
	}
	u.serviceMs += serviceTimeWeight * (ms - u.serviceMs)
}
