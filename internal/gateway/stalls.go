package gateway

import (
	"sync/atomic"

	"dooryard.example/dooryard/internal/clock"
)

// stallMeter measures how long the process usually gets no processor time.
type stallMeter struct {
	lastMs, usualMs atomic.Int64
}

// stallPeriods is the number of housekeeping periods over which stalls are averaged.
const stallPeriods = 8

// observe is called once in each housekeeping period.
func (s *stallMeter) observe(now clock.Millis) {
	lastMs := s.lastMs.Swap(int64(now))
	if lastMs == 0 {
		return
	}
	lateMs := max(0, int64(now)-lastMs-int64(housekeepingIntervalMs))
	s.usualMs.Store((lateMs + (stallPeriods-1)*s.usualMs.Load()) / stallPeriods)
}

// usual returns the usual length of a stall.
func (s *stallMeter) usual() clock.Millis { return clock.Millis(s.usualMs.Load()) }

// last returns when the process was last seen running.
func (s *stallMeter) last() clock.Millis { return clock.Millis(s.lastMs.Load()) }
