//go:build !cgo

package threads

import (
	"math"
	"os"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"
)

// creatable returns how many threads the limit of the user leaves, and at most a number. Without C no thread can be
// created unless the Go runtime knows it, and the runtime ends the process when it gets none. What else limits threads,
// such as a control group, is not seen, the start does not wait for threads, and one that other processes of the user
// take in between may be missing.
func creatable(most int) int {
	var limit unix.Rlimit
	// The kernel does not limit root.
	if err := unix.Getrlimit(unix.RLIMIT_NPROC, &limit); err != nil || limit.Cur > math.MaxInt32 || os.Getuid() == 0 {
		return most
	}
	return max(0, min(most, int(limit.Cur)-userThreads(os.Getuid())))
}

// userThreads returns how many threads the processes of a user have that this process can see.
func userThreads(uid int) int {
	count := 0
	// The pattern is well-formed.
	processes, _ := filepath.Glob("/proc/[0-9]*")
	for _, process := range processes {
		// A process that has ended meanwhile has no threads.
		info, err := os.Stat(process)
		if err != nil {
			continue
		}
		if stat, ok := info.Sys().(*syscall.Stat_t); !ok || int(stat.Uid) != uid {
			continue
		}
		tasks, _ := os.ReadDir(filepath.Join(process, "task"))
		count += len(tasks)
	}
	return count
}
