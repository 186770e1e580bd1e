package arenas

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// virtualKb returns the address space of this process in KiB.
func virtualKb(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile("/proc/self/status")
	require.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		if text, found := strings.CutPrefix(line, "VmSize:"); found {
			kb := 0
			_, err := fmt.Sscan(text, &kb)
			require.NoError(t, err)
			return kb
		}
	}
	require.Fail(t, "no VmSize", string(status))
	return 0
}

func TestThreadsDoNotExhaustTheAddressSpace(t *testing.T) {
	// Enough that most are new threads, less than the arenas that the C library allows by default on one core.
	const threads, arenaKb = 8, 64 << 10
	before := virtualKb(t)
	running, end := sync.WaitGroup{}, make(chan struct{})
	ended := sync.WaitGroup{}
	running.Add(threads)
	for range threads {
		ended.Go(func() {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			running.Done()
			<-end
		})
	}
	running.Wait()
	added := virtualKb(t) - before
	close(end)
	ended.Wait()
	assert.Less(t, added, threads*arenaKb/2)
}
