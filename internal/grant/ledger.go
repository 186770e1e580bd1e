// Package grant assigns each engine an owner among the boxes of a failure domain. The owner, which
// rendezvous hashing selects, counts the requests in flight on the engine from all boxes and
// remembers where sessions have cached prefixes. A box asks the owner for a slot before it sends a
// request and reports when the slot is free again. The load bound therefore holds although each box
// sees only a small part of the traffic and load reports lag. If the owner does not answer, the box
// decides by itself.
package grant

import (
	"math"
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/membership"
)

// Box is the ID of a box in messages.
type Box = membership.ID

// MemberID is the ID of an upstream as a member of a pool, as used in messages.
type MemberID uint32

// Settings are the expiry times of a ledger.
type Settings struct {
	// TotalTTLMs is how long the last total that a box reported for a pool is valid.
	TotalTTLMs clock.Millis
	// CountTTLMs is how long the last count that a box reported for one upstream is valid. Boxes
	// repeat their counts more often than that.
	CountTTLMs clock.Millis
}

// DefaultSettings returns settings for requests that take seconds.
func DefaultSettings() Settings {
	return Settings{TotalTTLMs: clock.Second, CountTTLMs: 60 * clock.Second}
}

// Ledger is an owner's record of the requests in flight on its upstreams. It must not be used by
// several goroutines at a time.
type Ledger struct {
	settings Settings
	members  map[MemberID]*counts
	totals   map[totalKey]reportedCount
	// reported is a buffer that mean reuses.
	reported []int
}

// counts holds the requests in flight on one upstream by box. Boxes report absolute counts, so the
// next message corrects the effect of a lost one.
type counts struct {
	sum   int
	byBox map[Box]reportedCount
}

type reportedCount struct {
	count      int
	receivedMs clock.Millis
}

// totalKey is the key of the requests that one box has in flight on a whole pool.
type totalKey struct {
	pool uint32
	box  Box
}

// NewLedger returns an empty ledger.
func NewLedger(settings Settings) *Ledger {
	return &Ledger{settings: settings, members: map[MemberID]*counts{}, totals: map[totalKey]reportedCount{}}
}

// Ask is a box's request for one slot.
type Ask struct {
	MemberID MemberID
	Box      Box
	// InFlight is the number of requests that the box has in flight on the upstream if it gets the
	// slot.
	InFlight int
	// Total is the number of requests that the box has in flight on the whole pool if it gets the
	// slot.
	Total int
	// BelowMean restricts the grant to an upstream whose load, including this request, is at most
	// belowMeanFraction of the mean, rounded up.
	BelowMean bool
}

// MemberState is the state of an upstream in its pool as seen by its owner.
type MemberState struct {
	Pool uint32
	// WeightFraction is the upstream's fraction of the pool's weight, 0 to 1.
	WeightFraction float64
	// Boxes is the number of boxes that send requests to the pool.
	Boxes int
	// BoundPercent is the load bound in percent of the mean load.
	BoundPercent int
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Unavailable is set when the upstream does not accept new work.
	Unavailable bool
}

// Ask grants a slot if the upstream's load stays within the load bound and the number of its slots,
// and if the condition of BelowMean is met. excess is the number of requests by which the load would exceed
// the bound or the slots. It is not positive when the slot is granted, or when it is refused only
// because of BelowMean.
func (l *Ledger) Ask(a Ask, s MemberState, now clock.Millis) (granted bool, excess int) {
	l.totals[totalKey{pool: s.Pool, box: a.Box}] = reportedCount{count: a.Total, receivedMs: now}
	c := l.counts(a.MemberID)
	c.set(a.Box, a.InFlight, now)
	l.expire(c, now)
	mean := l.mean(s, now)
	excess = c.sum - min(Limit(mean, s.BoundPercent), s.Slots)
	if excess <= 0 && (!a.BelowMean || float64(c.sum) <= math.Ceil(belowMeanFraction*mean)) {
		return true, excess
	}
	c.set(a.Box, a.InFlight-1, now)
	return false, excess
}

func (l *Ledger) counts(memberID MemberID) *counts {
	c := l.members[memberID]
	if c == nil {
		c = &counts{byBox: map[Box]reportedCount{}}
		l.members[memberID] = c
	}
	return c
}

func (c *counts) set(box Box, count int, now clock.Millis) {
	c.sum += count - c.byBox[box].count
	if count <= 0 {
		c.sum -= count
		delete(c.byBox, box)
		return
	}
	c.byBox[box] = reportedCount{count: count, receivedMs: now}
}

// expire removes counts that were not repeated in time.
func (l *Ledger) expire(c *counts, now clock.Millis) {
	for box, t := range c.byBox {
		if now-t.receivedMs > l.settings.CountTTLMs {
			c.set(box, 0, now)
		}
	}
}

// mean returns an upstream's part of the pool's estimated load. The estimate sums the totals of the
// boxes that asked recently and assumes the median of those for each other box. Boxes without a
// recent total tend to have little traffic, and if the mean were assumed instead of the median, one
// busy box would raise the estimate for all of them.
func (l *Ledger) mean(s MemberState, now clock.Millis) float64 {
	reported := l.reported[:0]
	sum := 0
	for key, t := range l.totals {
		if now-t.receivedMs > l.settings.TotalTTLMs {
			delete(l.totals, key)
			continue
		}
		if key.pool == s.Pool {
			sum += t.count
			reported = append(reported, t.count)
		}
	}
	l.reported = reported
	load := float64(sum)
	if unreported := s.Boxes - len(reported); unreported > 0 && len(reported) > 0 {
		slices.Sort(reported)
		load += float64(unreported * reported[len(reported)/2])
	}
	return load * s.WeightFraction
}

// belowMeanFraction is the fraction of the mean up to which an upstream accepts a session that has no
// cached prefix there. The margin below the mean leaves capacity for later turns of the sessions
// that are already there.
const belowMeanFraction = 0.9

// smallMean is the mean below which the bound is rounded up. Below it, one request is more than an
// eighth of the mean, and rounding down would leave upstreams no capacity above the mean at all.
const smallMean = 8

// Limit returns the maximum number of requests in flight on an upstream for a mean load.
func Limit(mean float64, boundPercent int) int {
	const percent = 100
	bound := mean * float64(boundPercent) / percent
	if mean < smallMean {
		return max(1, int(math.Ceil(bound)))
	}
	return int(bound)
}

// SetInFlight records the number of requests that a box has in flight on an upstream.
func (l *Ledger) SetInFlight(memberID MemberID, box Box, inFlight int, now clock.Millis) {
	l.counts(memberID).set(box, inFlight, now)
}

// RemoveBox removes all counts of a box that has left.
func (l *Ledger) RemoveBox(box Box) {
	for key := range l.totals {
		if key.box == box {
			delete(l.totals, key)
		}
	}
	for memberID, c := range l.members {
		c.set(box, 0, 0)
		if len(c.byBox) == 0 {
			delete(l.members, memberID)
		}
	}
}

// InFlight returns the number of requests in flight on an upstream according to the reports that
// this owner received.
func (l *Ledger) InFlight(memberID MemberID) int {
	if c := l.members[memberID]; c != nil {
		return c.sum
	}
	return 0
}
