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
	"dooryard.example/dooryard/internal/testlib"
)

// scriptedConn fails with its errors, and then receives datagrams until it is closed.
type scriptedConn struct {
	net.PacketConn
	errs   []error
	closed bool
}

func (c *scriptedConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	if len(c.errs) == 0 {
		return copy(buffer, "data"), &net.UDPAddr{}, nil
	}
	err := c.errs[0]
	c.errs = c.errs[1:]
	return 0, nil, err
}

func (c *scriptedConn) Close() error {
	c.closed = true
	return nil
}

func (c *scriptedConn) LocalAddr() net.Addr { return &net.UDPAddr{} }

func TestPacketConn(t *testing.T) {
	// receive receives from a socket with errors; reopen opens the next one.
	receive := func(t *testing.T, first *scriptedConn, reopen error) (errs, lost []error, err error) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			p := NewPacketConn(first, clock.New(), func(context.Context) (net.PacketConn, error) {
				return &scriptedConn{}, reopen
			}, func(err error) { errs = append(errs, err) }, func(err error) { lost = append(lost, err) })
			_, _, err = p.ReadFrom(make([]byte, 4))
			require.NoError(t, p.Close())
		})
		return errs, lost, err
	}
	for _, dead := range []error{syscall.EBADF, syscall.EINVAL, net.ErrClosed} {
		t.Run("a dead socket is opened anew: "+dead.Error(), func(t *testing.T) {
			first := &scriptedConn{errs: []error{dead}}
			errs, lost, err := receive(t, first, nil)
			require.NoError(t, err)
			assert.Equal(t, []error{dead}, errs)
			assert.Empty(t, lost)
			assert.True(t, first.closed)
		})
	}
	t.Run("a socket that can't be opened anew is lost", func(t *testing.T) {
		_, lost, err := receive(t, &scriptedConn{errs: []error{syscall.EBADF}}, syscall.EACCES)
		require.ErrorIs(t, err, net.ErrClosed)
		assert.Equal(t, []error{syscall.EACCES}, lost)
	})
	t.Run("a receive goes on at the socket to which the connection moves", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			network := testlib.NewNetwork().Host("box")
			first, err := network.ListenPackets("udp", "127.0.0.1:1")
			require.NoError(t, err)
			p := NewPacketConn(first, clock.New(), nil, func(err error) { assert.NoError(t, err) }, nil)
			received := make(chan error)
			go func() {
				_, _, err := p.ReadFrom(make([]byte, 4))
				received <- err
			}()
			synctest.Wait()
			moved, err := network.ListenPackets("udp", "127.0.0.1:0")
			require.NoError(t, err)
			former, err := p.Move(func() (net.PacketConn, error) { return moved, nil })
			require.NoError(t, err)
			require.NoError(t, former.Close())
			later, err := network.ListenPackets("udp", "127.0.0.1:1")
			require.NoError(t, err, "another process can have the address")
			_, err = later.WriteTo([]byte("data"), moved.LocalAddr())
			require.NoError(t, err)
			require.NoError(t, <-received)
		})
	})
	t.Run("a socket that fails after a move is not opened anew", func(t *testing.T) {
		moved := &scriptedConn{errs: []error{syscall.EBADF}}
		lost := []error{}
		p := NewPacketConn(&scriptedConn{}, clock.New(), func(context.Context) (net.PacketConn, error) {
			assert.Fail(t, "the address belongs to another process")
			return nil, net.ErrClosed
		}, func(error) {}, func(err error) { lost = append(lost, err) })
		_, err := p.Move(func() (net.PacketConn, error) { return moved, nil })
		require.NoError(t, err)
		_, _, err = p.ReadFrom(make([]byte, 4))
		require.ErrorIs(t, err, net.ErrClosed)
		assert.Len(t, lost, 1)
	})
	t.Run("a connection that can't move is closed", func(t *testing.T) {
		first := &scriptedConn{}
		p := NewPacketConn(first, clock.New(), nil, nil, nil)
		_, err := p.Move(func() (net.PacketConn, error) { return nil, syscall.EMFILE })
		require.ErrorIs(t, err, syscall.EMFILE)
		assert.True(t, first.closed)
	})
	t.Run("other errors are returned", func(t *testing.T) {
		first := &scriptedConn{errs: []error{syscall.ENOBUFS}}
		errs, _, err := receive(t, first, nil)
		require.ErrorIs(t, err, syscall.ENOBUFS)
		assert.Empty(t, errs)
	})
}
