package gateway

import (
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
)

// stallMeter measures how long the process usually gets no processor time.
type stallMeter struct {
	lastMs, recentMs atomic.Int64
}

// stallsKept is the number of housekeeping periods over which a stall is mostly forgotten.
const stallsKept = 32

// observe is called once in each housekeeping period.
func (s *stallMeter) observe(now clock.Millis) {
	lastMs := s.lastMs.Swap(int64(now))
	if lastMs == 0 {
		return
	}
	late := int64(now) - lastMs - int64(housekeepingIntervalMs)
	s.recentMs.Store(max(0, late, s.recentMs.Load()*(stallsKept-1)/stallsKept))
}

// recent returns the length of the longest recent stall.
func (s *stallMeter) recent() clock.Millis { return clock.Millis(s.recentMs.Load()) }

// last returns when the process was last seen running.
func (s *stallMeter) last() clock.Millis { return clock.Millis(s.lastMs.Load()) }
