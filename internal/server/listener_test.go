package server

import (
	"context"
	"errors"
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

// scriptedListener fails with each of its errors, accepts one connection, and then blocks until it is closed.
type scriptedListener struct {
	errs   []error
	conns  int
	closed chan struct{}
}

func newScriptedListener(errs ...error) *scriptedListener {
	return &scriptedListener{errs: errs, conns: 1, closed: make(chan struct{})}
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, err
	}
	if l.conns > 0 {
		l.conns--
		return &net.TCPConn{}, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *scriptedListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (*scriptedListener) Addr() net.Addr { return &net.TCPAddr{} }

func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

var errNoSocket = errors.New("no socket")

func TestListenerSurvivesErrors(t *testing.T) {
	open := func(socket net.Listener, reopened net.Listener) (l *Listener, errs *[]error) {
		errs = &[]error{}
		return NewListener(socket, clock.New(), func(context.Context) (net.Listener, error) {
			if reopened == nil {
				return nil, errNoSocket
			}
			return reopened, nil
		}, func(err error) { *errs = append(*errs, err) }), errs
	}
	for _, errno := range []syscall.Errno{
		syscall.EPROTO, syscall.ENETDOWN, syscall.EPERM, syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ECONNABORTED,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				failure := acceptError(errno)
				l, errs := open(newScriptedListener(failure, failure, failure), nil)
				_, err := l.Accept()
				require.NoError(t, err)
				assert.Equal(t, []error{failure, failure, failure}, *errs)
			})
		})
	}
	t.Run("a dead socket is opened anew", func(t *testing.T) {
		dead := newScriptedListener(acceptError(syscall.EBADF))
		l, _ := open(dead, newScriptedListener())
		_, err := l.Accept()
		require.NoError(t, err)
		<-dead.closed
		require.NoError(t, l.Close())
	})
	t.Run("a socket that can't be opened anew is an error", func(t *testing.T) {
		l, _ := open(newScriptedListener(acceptError(syscall.EBADF)), nil)
		_, err := l.Accept()
		require.ErrorIs(t, err, errNoSocket)
	})
	t.Run("a closed listener ends at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			socket := newScriptedListener()
			socket.conns = 0
			l, errs := open(socket, nil)
			ended := make(chan error, 1)
			go func() {
				_, err := l.Accept()
				ended <- err
			}()
			synctest.Wait()
			require.NoError(t, l.Close())
			require.ErrorIs(t, <-ended, net.ErrClosed)
			assert.Empty(t, *errs)
		})
	})
	t.Run("a close ends the backoff", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			failures := make([]error, 100)
			for i := range failures {
				failures[i] = acceptError(syscall.EMFILE)
			}
			l, _ := open(newScriptedListener(failures...), nil)
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
}

// TestExhaustedListener guards against callers that wait for up to a second after descriptors have become free.
func TestExhaustedListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const failures = 100
		exhausted := acceptError(syscall.EMFILE)
		errs := []error{}
		for range failures {
			errs = append(errs, exhausted)
		}
		roomMade, start := 0, time.Now()
		l := NewListener(newScriptedListener(errs...), clock.New(), nil, func(error) {})
		l.OnExhausted(func() { roomMade++ })
		_, err := l.Accept()
		require.NoError(t, err)
		assert.Equal(t, failures, roomMade)
		assert.LessOrEqual(t, time.Since(start), failures*maxExhaustedBackoffMs.Duration())
	})
}
