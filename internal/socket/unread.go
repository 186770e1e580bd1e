// Package socket asks the kernel about connections.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether bytes of the other side wait to be read on a connection, by the kernel of this process.
func HasUnread(c net.Conn) bool { return system.HasUnread(c) }

// SetUnreadBytes makes the kernel hold at most about a number of bytes that were not read, for a connection that is not
// open yet, or for those of a listener.
func SetUnreadBytes(raw syscall.RawConn, bytes int) error {
	var refused error
	err := raw.Control(func(fd uintptr) {
		refused = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	})
	return errors.Join(err, refused)
}
