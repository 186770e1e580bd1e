package clock

import (
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

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

// bootTime returns the time of CLOCK_BOOTTIME, or a negative one on failure. A call by way of the C library would need
// no system call, but the scheduler would replace a thread that loses its processor within it.
func bootTime() time.Duration {
	var t unix.Timespec
	_, _, code := unix.RawSyscall(unix.SYS_CLOCK_GETTIME, unix.CLOCK_BOOTTIME, uintptr(unsafe.Pointer(&t)), 0)
	if code != 0 {
		return -1
	}
	return time.Duration(t.Nano())
}
