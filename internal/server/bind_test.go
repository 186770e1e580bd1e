package server

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// bindError is the error of a bind as the net package returns it.
func bindError(errno syscall.Errno) error {
	return &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", errno)}
}

type fakeListener struct{ net.Listener }

// fakeSocket is open until it is closed.
type fakeSocket struct{ open *int }

func (s fakeSocket) Close() error {
	*s.open--
	return nil
}

// TestNoSocketIsOpenWhileAnotherIsTaken guards against connections that a box accepts and resets later because it could
// not open another port.
func TestNoSocketIsOpenWhileAnotherIsTaken(t *testing.T) {
	// openAll opens four sockets, of which some are taken until a time each.
	openAll := func(t *testing.T, takenMs map[string]clock.Millis) (open int, tookMs clock.Millis, err error) {
		t.Helper()
		openWhileWaiting := 0
		c := clock.New(clock.WithSleep(func(_ context.Context, span clock.Millis) error {
			openWhileWaiting += open
			time.Sleep(span.Duration())
			return nil
		}))
		startMs := c.Monotonic()
		sockets := []Socket{}
		for _, name := range []string{"peers UDP", "readiness", "peers", "callers"} {
			sockets = append(sockets, Socket{Name: name, Address: "127.0.0.1:1", Open: func(string) (io.Closer, error) {
				if c.Monotonic()-startMs < takenMs[name] {
					return nil, bindError(syscall.EADDRINUSE)
				}
				open++
				return fakeSocket{&open}, nil
			}})
		}
		b := Binder{Clock: c, TimeoutMs: 5 * clock.Second, OnRetry: func(error) {
			assert.Zero(t, open, "open sockets when a retry is reported")
		}}
		err = b.OpenAll(t.Context(), sockets...)
		assert.Zero(t, openWhileWaiting, "open sockets while the binder waits")
		return open, c.Monotonic() - startMs, err
	}
	for _, name := range []string{"peers UDP", "readiness", "peers", "callers"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				open, _, err := openAll(t, map[string]clock.Millis{name: 2 * clock.Second})
				require.NoError(t, err)
				assert.Equal(t, 4, open)
			})
		})
	}
	t.Run("all share one timeout", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			open, tookMs, err := openAll(t, map[string]clock.Millis{
				"readiness": 4 * clock.Second, "callers": 8 * clock.Second,
			})
			require.ErrorIs(t, err, syscall.EADDRINUSE)
			require.ErrorContains(t, err, "callers listener at 127.0.0.1:1")
			assert.Zero(t, open)
			assert.Equal(t, 5*clock.Second, tookMs)
		})
	})
}

func TestBind(t *testing.T) {
	// listen binds an address whose first binds fail with the errors, the last of them for ever if it is repeated.
	listen := func(ctx context.Context, repeat bool, failures ...error) (tries int, retried []string, err error) {
		b := Binder{Clock: clock.New(), TimeoutMs: 5 * clock.Second, OnRetry: func(err error) {
			retried = append(retried, err.Error())
		}}
		_, err = b.Listen(ctx, "callers", "127.0.0.1:1", func(string, string) (net.Listener, error) {
			tries++
			if tries <= len(failures) {
				return nil, failures[tries-1]
			}
			if repeat {
				return nil, failures[len(failures)-1]
			}
			return fakeListener{}, nil
		})
		return tries, retried, err
	}
	t.Run("an address that is taken for a moment is retried", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			taken, missing := bindError(syscall.EADDRINUSE), bindError(syscall.EADDRNOTAVAIL)
			tries, retried, err := listen(t.Context(), false, taken, taken, missing)
			require.NoError(t, err)
			assert.Equal(t, 4, tries)
			assert.Equal(t, []string{
				"callers listener at 127.0.0.1:1: listen tcp: bind: address already in use",
				"callers listener at 127.0.0.1:1: listen tcp: bind: cannot assign requested address",
			}, retried)
		})
	})
	for _, exhausted := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run("a momentary lack of descriptors or buffers is retried: "+exhausted.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tries, retried, err := listen(t.Context(), false, bindError(exhausted))
				require.NoError(t, err)
				assert.Equal(t, 2, tries)
				assert.Len(t, retried, 1)
			})
		})
		t.Run("a lasting lack of descriptors or buffers is an error: "+exhausted.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tries, _, err := listen(t.Context(), true, bindError(exhausted))
				require.ErrorIs(t, err, exhausted)
				assert.Greater(t, tries, 1)
			})
		})
	}
	t.Run("an address that stays taken is an error", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			_, _, err := listen(t.Context(), true, bindError(syscall.EADDRINUSE))
			require.ErrorIs(t, err, syscall.EADDRINUSE)
			require.ErrorContains(t, err, "callers listener at 127.0.0.1:1")
		})
	})
	t.Run("a forbidden address is an error at once", func(t *testing.T) {
		tries, _, err := listen(t.Context(), true, bindError(syscall.EACCES))
		require.ErrorIs(t, err, syscall.EACCES)
		assert.Equal(t, 1, tries)
	})
	t.Run("a stop ends the retries", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, _, err := listen(ctx, true, bindError(syscall.EADDRINUSE))
		require.ErrorIs(t, err, context.Canceled)
	})
}
