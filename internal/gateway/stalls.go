package gateway

import (
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
)

// stallMeter measures how long the process usually gets no processor time.
type stallMeter struct {
	lastMs, usualMs atomic.Int64
	// beforeMs is when the process was last seen running before the newest stall, if that has just ended.
	beforeMs atomic.Int64
}

// stallPeriods is the number of housekeeping periods over which stalls are averaged.
const stallPeriods = 8

// observe is called once in each housekeeping period.
func (s *stallMeter) observe(now clock.Millis) {
	lastMs := s.lastMs.Swap(int64(now))
	if lastMs == 0 {
		s.beforeMs.Store(int64(now))
		return
	}
	lateMs := max(0, int64(now)-lastMs-int64(housekeepingIntervalMs))
	s.beforeMs.Store(int64(now))
	if lateMs > int64(housekeepingIntervalMs) {
		s.beforeMs.Store(lastMs)
	}
	s.usualMs.Store((lateMs + (stallPeriods-1)*s.usualMs.Load()) / stallPeriods)
}

// usual returns the usual length of a stall.
func (s *stallMeter) usual() clock.Millis { return clock.Millis(s.usualMs.Load()) }

// last returns when the process was last seen running.
func (s *stallMeter) last() clock.Millis { return clock.Millis(s.lastMs.Load()) }

// before returns when the process was last seen running before the newest stall, if that has just ended. What is
// handled after a stall may have waited since then.
func (s *stallMeter) before() clock.Millis { return clock.Millis(s.beforeMs.Load()) }
