//go:build !cgo

package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time of CLOCK_BOOTTIME, or a negative one on failure. Each reading is a system call.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return -1
	}
	return time.Duration(t.Nano())
}
