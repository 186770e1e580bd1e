//go:build cgo

package signals

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// envProcess makes the test binary print the signals that it ignores once nobody receives any.
const envProcess = "DOORYARD_TEST_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(envProcess) == "" {
		os.Exit(m.Run())
	}
	// The runtime restores what it found at its start.
	signal.Reset(syscall.SIGHUP, syscall.SIGTERM)
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		panic(err)
	}
	for line := range strings.Lines(string(status)) {
		if mask, found := strings.CutPrefix(line, "SigIgn:"); found {
			fmt.Println(strings.TrimSpace(mask))
		}
	}
}

func TestHangupBeforeTheRuntimeStartsDoesNotEndTheProcess(t *testing.T) {
	require.NotNil(t, Received, "a signal that this process ignored would be ignored by the other one as well")
	command := exec.CommandContext(t.Context(), os.Args[0])
	command.Env = append(os.Environ(), envProcess+"=1")
	out, err := command.Output()
	require.NoError(t, err)
	ignored, err := strconv.ParseUint(strings.TrimSpace(string(out)), 16, 64)
	require.NoError(t, err)
	isIgnored := func(s syscall.Signal) bool { return ignored>>(s-1)&1 == 1 }
	assert.True(t, isIgnored(syscall.SIGHUP), "hangup")
	assert.False(t, isIgnored(syscall.SIGTERM), "terminated")
}
