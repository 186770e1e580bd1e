package soak

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestStart uses a program that ignores its arguments and runs until a signal.
func TestStart(t *testing.T) {
	program := filepath.Join(t.TempDir(), "program")
	require.NoError(t, os.WriteFile(program, []byte("#!/bin/sh\nexec sleep 600\n"), 0o700)) //nolint:gosec // It runs.
	p, err := newProcess(program, t.TempDir(), "box", "")
	require.NoError(t, err)
	require.NoError(t, p.start())
	first := p.command.Process.Pid
	t.Run("a running process is not started twice", func(t *testing.T) {
		require.NoError(t, p.start())
		assert.Equal(t, first, p.command.Process.Pid)
	})
	t.Run("a paused process that is killed has exited", func(t *testing.T) {
		require.NoError(t, p.signal(syscall.SIGSTOP))
		require.NoError(t, p.kill())
		assert.False(t, p.running())
	})
	t.Run("a process that has exited is restarted", func(t *testing.T) {
		require.NoError(t, p.start())
		assert.NotEqual(t, first, p.command.Process.Pid)
		require.NoError(t, p.kill())
	})
}
