package upstream

import "golang.org/x/sys/unix"

// readable reports whether a read of the socket would return without blocking.
func readable(fd uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(polled, 0)
	return err == nil && n > 0
}
