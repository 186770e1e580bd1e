//go:build cgo

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

// bootTime returns the time of CLOCK_BOOTTIME, or a negative one on failure. The C library reads it without a system
// call.
func bootTime() time.Duration { return time.Duration(C.boot_ns()) }
