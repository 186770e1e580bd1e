// Package rlimit tells the limits that the system sets for this process.
package rlimit

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// Text returns the soft limit of a resource, such as unix.RLIMIT_NOFILE, for a log line.
func Text(resource int) string {
	var limit unix.Rlimit
	switch err := unix.Getrlimit(resource, &limit); {
	case err != nil:
		return err.Error()
	case limit.Cur == unix.RLIM_INFINITY:
		return "none"
	default:
		return fmt.Sprint(limit.Cur)
	}
}
