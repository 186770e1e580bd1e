package soak

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSocketInode guards against a request that is ascribed to another box because sockets of several addresses have the
// same port.
func TestSocketInode(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	local, ok := conn.LocalAddr().(*net.TCPAddr)
	require.True(t, ok)
	same, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9), Port: local.Port})
	require.NoError(t, err)
	inbound, err := listener.Accept()
	require.NoError(t, err)
	inode := endpointsOf(inbound).inode()
	require.NotEmpty(t, inode)
	assert.Equal(t, inode, socketInodes()[endpointsOf(inbound)])
	raw, ok := conn.(*net.TCPConn)
	require.True(t, ok)
	file, err := raw.File()
	require.NoError(t, err)
	target, err := os.Readlink("/proc/self/fd/" + strconv.Itoa(int(file.Fd())))
	require.NoError(t, err)
	assert.Equal(t, target, "socket:["+inode+"]")
	require.NoError(t, file.Close())
	require.NoError(t, conn.Close())
	require.NoError(t, same.Close())
	require.NoError(t, inbound.Close())
	require.NoError(t, listener.Close())
}

// TestSocketInodeOfSharedPort guards against a request that is ascribed to another box because the kernel gave the same
// port to connections of both.
func TestSocketInodeOfSharedPort(t *testing.T) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}, Control: reuseAddress}
	inodes := map[string]bool{}
	for range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		conn, err := dialer.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		inbound, err := listener.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { _ = inbound.Close() })
		dialer.LocalAddr = conn.LocalAddr()
		inode := endpointsOf(inbound).inode()
		inodes[inode] = true
		assert.Equal(t, inode, socketInodes()[endpointsOf(inbound)])
	}
	assert.Len(t, inodes, 2)
	gone := endpoints{local: netip.MustParseAddrPort("127.0.0.1:1"), remote: netip.MustParseAddrPort("127.0.0.1:2")}
	assert.Empty(t, gone.inode())
}

// reuseAddress lets connections to different addresses share a local port.
func reuseAddress(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	})
	return errors.Join(err, optionErr)
}

// TestOwnerOfConnection guards against requests that are ascribed to no box, also where the kernel answers no queries.
func TestOwnerOfConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	inbound, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = inbound.Close() })
	inode := socketInodes()[endpointsOf(inbound)]
	o := newOwners(func() map[string]string { return map[string]string{inode: "box"} })
	assert.Equal(t, "box", o.boxOf(inbound))
	o = newOwners(o.boxes.scan)
	o.inode = func(endpoints) string { return "" }
	assert.Equal(t, "box", o.boxOf(inbound), "by the table of all sockets")
}

// TestLookupsShareScans guards against links that hold back connections for a second because each looks for its owner.
func TestLookupsShareScans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const connections = 100
		scans, release := 0, make(chan struct{})
		o := newSharedScan(func() string {
			scans++
			<-release
			return "box"
		})
		var waiting sync.WaitGroup
		for range connections {
			waiting.Go(func() {
				assert.Equal(t, "box", o.get())
			})
		}
		synctest.Wait()
		close(release)
		waiting.Wait()
		assert.LessOrEqual(t, scans, 2, "one that runs, and one for all that came during it")
	})
}
