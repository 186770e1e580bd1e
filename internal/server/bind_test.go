package server

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// bindError is the error of a bind as the net package returns it.
func bindError(errno syscall.Errno) error {
	return &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", errno)}
}

type fakeListener struct{ net.Listener }

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
