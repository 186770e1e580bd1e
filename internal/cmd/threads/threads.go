// Package threads keeps the number of a daemon's threads independent of the size of the machine and of its load. The Go
// runtime ends the process when it needs one more and the user may have no more. Only the main packages of daemons
// import it.
package threads

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"runtime/metrics"
	"sync"

	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/cmd/rlimit"
	"dooryard.example/dooryard/internal/cmd/threads/start"
	"dooryard.example/dooryard/internal/osthread"
)

const (
	// blockedThreads is how many threads may be in system calls at once, beside those that run Go code. They wait for
	// files, standard output and standard error, or for their turn on a busy machine.
	blockedThreads = 4
	// spareThreads are reserved beyond those where the user may have plenty. They last if other processes use them up.
	spareThreads = 4
	// runtimeThreads are the runtime's monitor, its template for other threads, the receiver of signals, and the one that
	// waits for the network.
	runtimeThreads = 4
)

var errTooFewThreads = errors.New("too few threads")

var (
	// using is held while the number of processors changes.
	using sync.Mutex
	// growth begins with the threads that are reserved.
	growth watch
)

// Use makes the process use at most a number of processors, at least one, and creates the threads that it then usually
// needs, and a few more where the user may have plenty. The runtime keeps them, and creates others only while other
// processes keep threads in system calls from running. Where the user may not have as many threads, the process uses
// fewer processors, and Use returns an error.
func Use(processors float64) error {
	using.Lock()
	defer using.Unlock()
	n := limited(processors, start.MachineProcessors)
	wanted, had := n+blockedThreads, osthread.Count()-runtimeThreads
	most := wanted
	if hasPlenty() {
		most += spareThreads
	}
	if had < most {
		if possible := creatable(most - had); possible > 0 {
			had += possible
			// With several processors, the runtime would start a thread for each that rests.
			runtime.GOMAXPROCS(1)
			reserve(had - 1)
		}
	}
	growth.highest = max(growth.highest, had+runtimeThreads)
	used := max(1, min(n, had-blockedThreads))
	runtime.GOMAXPROCS(used)
	if had >= wanted {
		return nil
	}
	return fmt.Errorf("%w: %d instead of %d, limit of the user's threads %s, %d instead of %d processors are used",
		errTooFewThreads, had+runtimeThreads, wanted+runtimeThreads, rlimit.Text(unix.RLIMIT_NPROC), used, n)
}

// NearLimit returns how many threads the process has, and how many more its user may have, if these are few, or else
// "". It looks once the process has needed more threads than ever before.
func NearLimit() string {
	using.Lock()
	defer using.Unlock()
	return growth.nearLimit(count(), left)
}

// count returns the number of threads of the runtime, without a system call.
func count() int {
	samples := []metrics.Sample{{Name: "/sched/threads/total:threads"}}
	metrics.Read(samples)
	return int(samples[0].Value.Uint64())
}

// limited returns the number of processors to use of those of the machine.
func limited(processors float64, ofMachine int) int {
	return int(max(1, min(math.Ceil(processors), float64(ofMachine))))
}

// reserve makes the runtime hold as many threads at once, beside the one that goes on.
func reserve(count int) {
	running, ended := sync.WaitGroup{}, sync.WaitGroup{}
	release := make(chan struct{})
	running.Add(count)
	for range count {
		ended.Go(func() {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			running.Done()
			<-release
		})
	}
	running.Wait()
	close(release)
	ended.Wait()
}
