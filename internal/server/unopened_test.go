package server

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// TestUnopenedSocketIsOpenedLater guards against a box that never serves at an address that it could not have at its
// start.
func TestUnopenedSocketIsOpenedLater(t *testing.T) {
	const failures = 5
	retry := func() Binder {
		return Binder{Clock: clock.New(), RetriesAll: true, OnRetry: func(error) {}}
	}
	unopened := NewUnopened("127.0.0.1:1", bindError(syscall.EADDRINUSE))
	t.Run("listener", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			tries, reported := 0, 0
			l := NewListener(unopened, clock.New(), func(ctx context.Context) (net.Listener, error) {
				return retry().Listen(ctx, "readiness", "127.0.0.1:1", func(string, string) (net.Listener, error) {
					if tries++; tries <= failures {
						return nil, bindError(syscall.EACCES)
					}
					return newScriptedListener(), nil
				})
			}, func(err error) {
				reported++
				assert.ErrorIs(t, err, syscall.EADDRINUSE)
			})
			_, err := l.Accept()
			require.NoError(t, err)
			assert.Equal(t, failures+1, tries)
			assert.Equal(t, 1, reported)
			assert.Equal(t, "127.0.0.1:1", l.Addr().String())
		})
	})
	t.Run("a stop ends the wait", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l := NewListener(unopened, clock.New(), func(ctx context.Context) (net.Listener, error) {
				return retry().Listen(ctx, "readiness", "127.0.0.1:1", func(string, string) (net.Listener, error) {
					return nil, bindError(syscall.EADDRINUSE)
				})
			}, func(error) {})
			ended := make(chan error, 1)
			go func() {
				_, err := l.Accept()
				ended <- err
			}()
			synctest.Wait()
			require.NoError(t, l.Close())
			require.ErrorIs(t, <-ended, net.ErrClosed)
		})
	})
	t.Run("datagram socket", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			tries := 0
			p := NewPacketConn(unopened, clock.New(), func(ctx context.Context) (net.PacketConn, error) {
				return retry().ListenPacket(ctx, "peers UDP", "127.0.0.1:1", func(string, string) (net.PacketConn, error) {
					if tries++; tries <= failures {
						return nil, bindError(syscall.EADDRNOTAVAIL)
					}
					return net.ListenPacket("udp", "127.0.0.1:0")
				})
			}, func(error) {}, func(err error) { assert.NoError(t, err) })
			_, err := p.WriteTo([]byte("x"), unopened.LocalAddr())
			require.ErrorIs(t, err, errUnopened)
			require.True(t, p.revive(p.current(), errUnopened, 1))
			assert.Equal(t, failures+1, tries)
			_, err = p.WriteTo([]byte("x"), p.current().LocalAddr())
			require.NoError(t, err)
			require.NoError(t, p.Close())
		})
	})
}
