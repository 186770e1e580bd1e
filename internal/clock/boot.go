package clock

import "time"

// bootMonotonic returns a monotonic clock that keeps running while the machine is suspended. It
// starts at one second, so that no reading is zero. Without CLOCK_BOOTTIME it falls back to the
// clock that stops during suspension.
func bootMonotonic() func() Millis {
	start := bootTime()
	if start < 0 {
		return systemMonotonic()
	}
	start -= time.Second
	return func() Millis { return Millis((bootTime() - start) / time.Millisecond) }
}
