package gateway

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
)

// systemFiles returns a reader of the files of a system that has some.
func systemFiles(files map[string]string) func(path string) ([]byte, error) {
	return func(path string) ([]byte, error) {
		if text, found := files[path]; found {
			return []byte(text), nil
		}
		return nil, errors.New("no such file")
	}
}

// TestMemoryNearLimitIsLogged guards against processes that are killed for their memory without a line before.
func TestMemoryNearLimitIsLogged(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		out := &logBuffer{}
		f.out = out
		b := f.box(1)
		const limit = 100 * mebibyte
		b.checkMemory(memoryUse{LimitBytes: limit, GoBytes: limit*memoryWarnPercent/percent - 1})
		advance(f.t, memoryCheckMs.Duration())
		assert.Empty(f.t, out.with("memory near limit"))
		for range 3 {
			b.checkMemory(memoryUse{LimitBytes: limit, GoBytes: limit * memoryWarnPercent / percent})
		}
		advance(f.t, memoryCheckMs.Duration())
		assert.Len(f.t, out.with("memory near limit"), 1)
	})
}

func TestMemoryUse(t *testing.T) {
	t.Run("what the runtime holds", func(t *testing.T) {
		use := goMemory(1)
		assert.Positive(t, use.HeapBytes)
		assert.Positive(t, use.StackBytes)
		assert.Greater(t, use.GoBytes, use.HeapBytes)
	})
	t.Run("what the system tells", func(t *testing.T) {
		use := memoryUse{}.withSystem(systemFiles(map[string]string{
			"/proc/self/statm":   "500 3 1 1 0 1 0",
			"/proc/net/sockstat": "sockets: used 9\nTCP: inuse 4 orphan 0 tw 0 alloc 5 mem 2\nUDP: inuse 1 mem 7\n",
		}))
		assert.Zero(t, use.ResidentBytes%3)
		assert.Equal(t, 3*use.HostSocketBytes, 2*use.ResidentBytes)
	})
	t.Run("a system that tells nothing", func(t *testing.T) {
		assert.Equal(t, memoryUse{}, memoryUse{}.withSystem(systemFiles(nil)))
		assert.Zero(t, memoryUse{}.withSystem(systemFiles(map[string]string{"/proc/self/statm": "x"})).ResidentBytes)
	})
}
