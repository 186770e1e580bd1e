package daemon

import (
	"context"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/cmd/exit"
)

var errInvalid = errors.New("invalid settings")

// run runs a daemon whose settings are the path of their file. It returns the settings that
// the daemon ran with.
func run(t *testing.T, arguments ...string) (ran []string, err error) {
	t.Helper()
	return runWith(t, func() error { return nil }, arguments...)
}

// runWith does so with a settings file that can't be read while fails returns an error.
func runWith(t *testing.T, fails func() error, arguments ...string) (ran []string, err error) {
	t.Helper()
	d := Daemon[string]{
		Name: "daemon", EnvSettings: "DOORYARD_TEST_SETTINGS", Err: io.Discard,
		Load: func(path string) (string, error) {
			if err := fails(); err != nil {
				return "", err
			}
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
		synctest.Test(t, func(t *testing.T) {
			ran, err := run(t, "--settings", "bad")
			require.ErrorIs(t, err, errInvalid)
			assert.Empty(t, ran)
		})
	})
	t.Run("runs once the settings file has been replaced", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			ran, err := runWith(t, func() error {
				if time.Since(start) < time.Second {
					return errInvalid
				}
				return nil
			}, "--settings", "good")
			require.NoError(t, err)
			assert.Equal(t, []string{"good"}, ran)
		})
	})
	t.Run("runs without optional values that stay invalid", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			said, ran := strings.Builder{}, ""
			d := Daemon[string]{
				Name: "daemon", Err: &said,
				Load:  func(string) (string, error) { return "", errInvalid },
				Adapt: func(path string) (settings string, changed, err error) { return path + " adapted", errInvalid, nil },
				Run: func(_ context.Context, _, settings string) error {
					ran = settings
					return nil
				},
			}
			require.NoError(t, d.Command().Run(t.Context(), []string{"daemon", "--settings", "f"}))
			assert.Equal(t, "f adapted", ran)
			assert.Contains(t, said.String(), "settings are used with changed values: invalid settings")
			require.ErrorIs(t, d.Command().Run(t.Context(), []string{"daemon", "--settings", "f", "--check"}), errInvalid)
		})
	})
	t.Run("does not wait for a file that is complete", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start, ran := time.Now(), ""
			d := Daemon[string]{
				Name: "daemon", Err: io.Discard,
				Load:    func(string) (string, error) { return "", errInvalid },
				Adapt:   func(string) (settings string, changed, err error) { return "adapted", errInvalid, nil },
				IsFinal: func(err error) bool { return errors.Is(err, errInvalid) },
				Run: func(_ context.Context, _, settings string) error {
					ran = settings
					return nil
				},
			}
			require.NoError(t, d.Command().Run(t.Context(), []string{"daemon", "--settings", "f"}))
			assert.Equal(t, "adapted", ran)
			assert.Zero(t, time.Since(start))
			d.Adapt = func(string) (settings string, changed, err error) {
				if time.Since(start) < time.Second {
					return "", nil, errInvalid
				}
				return "complete", errInvalid, nil
			}
			require.NoError(t, d.Command().Run(t.Context(), []string{"daemon", "--settings", "f"}))
			assert.Equal(t, "complete", ran, "a file whose rest is missing is read again")
		})
	})
	t.Run("--check does not wait", func(t *testing.T) {
		reads := 0
		_, err := runWith(t, func() error {
			reads++
			return errInvalid
		}, "--settings", "good", "--check")
		require.ErrorIs(t, err, errInvalid)
		assert.Equal(t, 1, reads)
	})
	t.Run("requires a settings file", func(t *testing.T) {
		_, err := run(t)
		require.ErrorIs(t, err, exit.ErrUsage)
	})
}

// TestForwardedInterrupt guards against a process that a terminal's SIGINT ends at once, since whoever started it passes
// the signal on.
func TestForwardedInterrupt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		killed, canceled := 0, 0
		h := &signalHandler{
			cancel: func() { canceled++ }, kill: func() { killed++ }, monotonic: clock.New().Monotonic,
			notes: make(chan string, notesCapacity),
		}
		for range 3 {
			h.handle(os.Interrupt)
			<-time.After((repeatMs / 3).Duration())
		}
		assert.Positive(t, canceled)
		assert.Zero(t, killed)
		<-time.After(time.Millisecond)
		h.handle(os.Interrupt)
		assert.Equal(t, 1, killed)
	})
}
