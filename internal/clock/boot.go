package clock

/*
#include <stdint.h>
#include <time.h>

// boot_ns reads the clock that goes on while the machine is suspended, or returns -1.
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

// bootSteady counts from one second before now, so that no reading is zero, on the clock that
// goes on while the machine is suspended. The C library reads it without a call of the system.
// Where there is no such clock, it is the one that stands still.
func bootSteady() func() Millis {
	start := bootTime()
	if start < 0 {
		return systemSteady()
	}
	start -= time.Second
	return func() Millis { return Millis((bootTime() - start) / time.Millisecond) }
}

func bootTime() time.Duration { return time.Duration(C.boot_ns()) }
