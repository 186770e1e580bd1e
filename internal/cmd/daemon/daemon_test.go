package daemon

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/cmd/exit"
)

var errInvalid = errors.New("invalid settings")

// run runs a daemon whose settings are the path of their file. It returns the settings that
// the daemon ran with.
func run(t *testing.T, arguments ...string) (ran []string, err error) {
	t.Helper()
	d := Daemon[string]{
		Name: "daemon", EnvSettings: "DOORYARD_TEST_SETTINGS",
		Load: func(path string) (string, error) {
			if path == "bad" {
				return "", errInvalid
			}
			return path, nil
		},
		Run: func(_ context.Context, path, settings string) error {
			assert.Equal(t, path, settings)
			ran = append(ran, settings)
			return nil
		},
	}
	err = d.Command().Run(t.Context(), append([]string{"daemon"}, arguments...))
	return ran, err
}

func TestDaemon(t *testing.T) {
	t.Run("runs with its settings file", func(t *testing.T) {
		ran, err := run(t, "--settings", "good")
		require.NoError(t, err)
		assert.Equal(t, []string{"good"}, ran)
	})
	t.Run("reads the file's path from the environment", func(t *testing.T) {
		t.Setenv("DOORYARD_TEST_SETTINGS", "good")
		ran, err := run(t)
		require.NoError(t, err)
		assert.Equal(t, []string{"good"}, ran)
	})
	t.Run("does not run with --check", func(t *testing.T) {
		ran, err := run(t, "--settings", "good", "--check")
		require.NoError(t, err)
		assert.Empty(t, ran)
	})
	t.Run("does not run with invalid settings", func(t *testing.T) {
		ran, err := run(t, "--settings", "bad")
		require.ErrorIs(t, err, errInvalid)
		assert.Empty(t, ran)
	})
	t.Run("requires a settings file", func(t *testing.T) {
		_, err := run(t)
		require.ErrorIs(t, err, exit.ErrUsage)
	})
}
