package gatewaycmd

import (
	"fmt"

	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/cmd/rlimit"
	"dooryard.example/dooryard/pkg/config"
)

// limits returns the limits of the process for a log line. One that ends since it needs more may leave no other line.
func limits(capacity config.Capacity) string {
	memory := "none"
	if capacity.MemoryMb > 0 {
		memory = fmt.Sprintf("%d MiB", capacity.MemoryMb)
	}
	return fmt.Sprintf("limits: memory by settings %s, address space %s, data %s, user's threads %s, open files %s",
		memory, rlimit.Text(unix.RLIMIT_AS), rlimit.Text(unix.RLIMIT_DATA),
		rlimit.Text(unix.RLIMIT_NPROC), rlimit.Text(unix.RLIMIT_NOFILE))
}
