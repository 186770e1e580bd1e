package quarantine

import "dooryard.example/dooryard/internal/clock"

// Holds of parts.
const (
	// firstHoldDivisor is the hold time of a whole request as a multiple of the first hold of a part. A part is shared by
	// more requests, and each hold that a trial request shows to be right is holdGrowth times as long as the one before.
	firstHoldDivisor = 10
	// holdGrowth keeps the trial requests with a fatal part to three in twenty times the first hold.
	holdGrowth = 4
	// presumedHoldMs is the first hold of a part that is probably sound: upstreams have answered it before, so that other
	// requests on them likely crashed them, or nearly all requests have it.
	presumedHoldMs = 2 * clock.Second
	// maxHoldMs bounds all holds, so that a part that has become sound is served again within a day.
	maxHoldMs = 24 * 3600 * clock.Second
)

// FirstPartHoldMs returns the duration of the first hold of a part that upstreams have not answered before.
func (s Settings) FirstPartHoldMs() clock.Millis { return max(clock.Second, s.HoldMs/firstHoldDivisor) }

// holdSpans are the durations of the first and the second hold of a part. Each later one is holdGrowth times as long as
// the one before.
type holdSpans struct{ first, second clock.Millis }

// holdSpansOf returns the durations of a part's holds. presumed is set if upstreams have answered it before, and common
// if nearly all requests have it.
func holdSpansOf(s Settings, presumed, common bool) holdSpans {
	long := s.FirstPartHoldMs()
	switch {
	case presumed:
		return holdSpans{first: presumedHoldMs, second: holdGrowth * presumedHoldMs}
	case common:
		return holdSpans{first: min(presumedHoldMs, long), second: long}
	default:
		return holdSpans{first: long, second: holdGrowth * long}
	}
}

// holdEnd returns when the hold of a part ends that has crashes at these times, in ascending order, or 0 if there are
// too few. The hold starts with the last one of minCrashes. A later crash while it lasts prolongs it, and one after its
// end starts a longer one.
func holdEnd(crashesMs []clock.Millis, minCrashes int, spans holdSpans) clock.Millis {
	if minCrashes < 1 || len(crashesMs) < minCrashes {
		return 0
	}
	span, next := spans.first, spans.second
	end := crashesMs[minCrashes-1] + span
	for _, at := range crashesMs[minCrashes:] {
		if at >= end {
			span, next = min(next, maxHoldMs), min(holdGrowth*next, maxHoldMs)
		}
		end = at + span
	}
	return end
}
