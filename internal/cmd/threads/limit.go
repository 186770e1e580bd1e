package threads

import (
	"math"
	"os"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"
)

// plentyOfThreads is a limit of the user's threads that is not meant for a few processes, of which each may need every
// thread.
const plentyOfThreads = 4096

// hasPlenty reports whether the limit of the user's threads, if there is one, leaves plenty to each process.
func hasPlenty() bool {
	var limit unix.Rlimit
	return unix.Getrlimit(unix.RLIMIT_NPROC, &limit) == nil && limit.Cur >= plentyOfThreads
}

// left returns how many threads the limit of the user leaves, unless the system does not limit them.
func left() (count int, limited bool) {
	var limit unix.Rlimit
	// The kernel does not limit root.
	if err := unix.Getrlimit(unix.RLIMIT_NPROC, &limit); err != nil || limit.Cur > math.MaxInt32 || os.Getuid() == 0 {
		return 0, false
	}
	return max(0, int(limit.Cur)-userThreads(os.Getuid())), true
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
