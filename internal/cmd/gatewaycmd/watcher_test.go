package gatewaycmd

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/cmd/daemon"
	"dooryard.example/dooryard/internal/gateway"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/pkg/config"
)

const settingsFile = `box: a-1
failure_domain: a
callers_address: 127.0.0.1:1
readiness_address: 127.0.0.1:2
peers_address: 127.0.0.1:3
store: {address: "127.0.0.1:4"}
freshness: {max_age_ms: 5000}
`

func newBox(t *testing.T, path string, out *strings.Builder) *gateway.Box {
	t.Helper()
	settings, err := config.LoadGateway(path)
	require.NoError(t, err)
	b, err := gateway.New(settings, gateway.Adapter{
		Dialect: &opaque.Dialect{},
		Source: func(clock.Clock, func() config.Gateway) gateway.Source {
			return gateway.Source{Run: func(context.Context, gateway.Sink) {}}
		},
	}, out)
	require.NoError(t, err)
	return b
}

func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(content string) { require.NoError(t, os.WriteFile(path, []byte(content), 0o600)) }
	write(settingsFile)
	b := newBox(t, path, &strings.Builder{})
	w := &watcher{path: path, clock: clock.New(), content: []byte(settingsFile)}
	t.Run("applies a changed file", func(t *testing.T) {
		write(strings.Replace(settingsFile, "5000", "7000", 1))
		w.reload(b)
		assert.Equal(t, int64(7000), b.Settings().Freshness.MaxAgeMs)
	})
	t.Run("ignores keys of other releases", func(t *testing.T) {
		write(strings.Replace(settingsFile, "5000", "6000", 1) + "sidecar: x\n")
		w.reload(b)
		assert.Equal(t, int64(6000), b.Settings().Freshness.MaxAgeMs)
		write(strings.Replace(settingsFile, "5000", "7000", 1))
		w.reload(b)
	})
	t.Run("keeps the old settings if the file is invalid", func(t *testing.T) {
		write("box: [\n")
		w.reload(b)
		assert.Equal(t, int64(7000), b.Settings().Freshness.MaxAgeMs)
	})
	t.Run("keeps the old settings if the file was removed", func(t *testing.T) {
		require.NoError(t, os.Remove(path))
		w.reload(b)
		assert.Equal(t, int64(7000), b.Settings().Freshness.MaxAgeMs)
	})
}

// TestFirstReadAdaptsSettings guards against a box that keeps a part of its settings, which was all that a file being
// written had at the start.
func TestFirstReadAdaptsSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(content string) { require.NoError(t, os.WriteFile(path, []byte(content), 0o600)) }
	write(settingsFile)
	b := newBox(t, path, &strings.Builder{})
	w := newWatcher(path, b.Settings(), clock.New())
	write(settingsFile + "capacity: {memory_mb: 1}\nshutdown: {grace_s: 7}\n")
	w.reload(b)
	assert.Equal(t, int64(16), b.Settings().Capacity.MemoryMb)
	assert.InDelta(t, 7, b.Settings().Shutdown.GraceS, 0)
	write(settingsFile + "capacity: {memory_mb: 1}\nshutdown: {grace_s: 8}\n")
	w.reload(b)
	assert.InDelta(t, 7, b.Settings().Shutdown.GraceS, 0, "later ones are refused")
}

func TestCommand(t *testing.T) {
	run := func(arguments ...string) error {
		command := New(&daemon.Process{Out: &strings.Builder{}, Err: &strings.Builder{}}, gateway.Adapter{EnvSettings: "DOORYARD_TEST_SETTINGS"})
		return command.Run(t.Context(), append([]string{"dooryard-gateway"}, arguments...))
	}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(settingsFile), 0o600))
	t.Run("validates a file and exits", func(t *testing.T) {
		require.NoError(t, run("--settings", path, "--check"))
	})
	t.Run("names the key of an invalid value", func(t *testing.T) {
		require.NoError(t, os.WriteFile(path, []byte(settingsFile+"balance: {panic_percent: 900}\n"), 0o600))
		require.ErrorContains(t, run("--settings", path, "--check"), "balance.panic_percent")
	})
	t.Run("requires a settings file", func(t *testing.T) {
		require.ErrorContains(t, run(), "--settings")
	})
}

func TestChangeOfSettingsDuringStartIsApplied(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(settingsFile), 0o600))
	out := &strings.Builder{}
	b := newBox(t, path, out)
	settings, err := config.LoadGateway(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(settingsFile, "5000", "7000", 1)), 0o600))
	w := newWatcher(path, settings, clock.New())
	reload := make(chan struct{})
	go w.run(t.Context(), b, reload)
	// The second reload begins once the first one has ended.
	reload <- struct{}{}
	reload <- struct{}{}
	assert.Equal(t, int64(7000), b.Settings().Freshness.MaxAgeMs)
}
