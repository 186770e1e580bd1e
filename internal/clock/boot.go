package clock

/*
#include <stdint.h>
#include <time.h>

// boot_ns returns the time of the clock that keeps running during suspension, or -1 on failure.
static int64_t boot_ns(void) {
	struct timespec t;
	if (clock_gettime(CLOCK_BOOTTIME, &t) != 0) {
		return -1;
	}
	return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}
*/
import "C"

import "time"

// bootMonotonic returns a monotonic clock that keeps running while the machine is suspended. It
// starts at one second, so that no reading is zero. The C library reads it without a system
// call. Without CLOCK_BOOTTIME it falls back to the clock that stops during suspension.
func bootMonotonic() func() Millis {
	start := bootTime()
	if start < 0 {
		return systemMonotonic()
	}
	start -= time.Second
	return func() Millis { return Millis((bootTime() - start) / time.Millisecond) }
}

func bootTime() time.Duration { return time.Duration(C.boot_ns()) }
