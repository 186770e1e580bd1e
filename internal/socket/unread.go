// Package socket asks the kernel about connections.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether bytes of the other side wait to be read on a connection. It asks the kernel, which knows of
// them before a process that gets little processor time has read them. A connection without a socket may have a method
// Buffered that returns their number.
func HasUnread(c net.Conn) bool {
	if buffered, ok := c.(interface{ Buffered() int }); ok {
		return buffered.Buffered() > 0
	}
	withDescriptor, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	// Read instead of Control would wait for a reader that is blocked.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		// After an error none count as waiting.
		unread, _, _ = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && unread > 0
}
