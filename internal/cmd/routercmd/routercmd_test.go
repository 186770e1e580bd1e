package routercmd

import (
	"bytes"
	"context"
	"io"
	library "log"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/pkg/config"
)

// awaitedLog is a log that tells when a line was written.
type awaitedLog struct {
	text    string
	written chan struct{}

	mu   sync.Mutex
	once sync.Once
	all  bytes.Buffer
}

// Write implements io.Writer.
func (l *awaitedLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if strings.Contains(string(line), l.text) {
		l.once.Do(func() { close(l.written) })
	}
	return l.all.Write(line)
}

func (l *awaitedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.String()
}

// TestPanicIsLoggedAndTheProcessRunsOn guards against processes that end at once and without a line when a part panics,
// and against lines of libraries on standard error, where a write may block.
func TestPanicIsLoggedAndTheProcessRunsOn(t *testing.T) {
	key := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(key, []byte("a-key-of-boxes-and-operators\n"), 0o600))
	listener := config.Listener{Address: "127.0.0.1:0", KeyFile: key}
	settings := config.Router{
		Box: "box", FailureDomain: "north", Callers: config.Listener{Address: "127.0.0.1:0"}, Operators: listener,
		Peers:    config.Peers{Listener: listener, GossipAddress: "127.0.0.1:0"},
		Platform: config.Platform{LogURL: "http://127.0.0.1:1", WeightStoreURL: "http://127.0.0.1:1"},
		Stop:     config.Stop{AnnounceMs: 1, DrainMs: 1},
		Traces:   config.Traces{Exporter: "none"},
	}
	ctx, stop := context.WithCancel(t.Context())
	log, ended := &awaitedLog{text: "box started", written: make(chan struct{})}, make(chan error, 1)
	go func() { ended <- run(ctx, settings, io.Discard, log) }()
	<-log.written
	guard.Do("part", func() { panic("broken") })
	assert.Contains(t, log.String(), "part panicked")
	library.Print("line of a library")
	assert.Contains(t, log.String(), "line of a library")
	stop()
	require.NoError(t, <-ended)
}
