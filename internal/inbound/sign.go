package inbound

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// sign is what the kernel knows of a caller.
type sign struct {
	// acknowledgedBytes is how much the caller's machine has acknowledged, and outstanding whether there is more.
	acknowledgedBytes uint64
	outstanding       bool
	// open is set unless the connection is closed, was reset or has no socket.
	open bool
}

// signOf asks the kernel. A connection without a socket may have a method Sign.
func signOf(c net.Conn) sign {
	if known, ok := c.(interface{ Sign() sign }); ok {
		return known.Sign()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return sign{}
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return sign{}
	}
	var info *unix.TCPInfo
	err = raw.Control(func(fd uintptr) {
		// Without information, the connection counts as closed.
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || info == nil || info.State == unix.BPF_TCP_CLOSE {
		return sign{}
	}
	return sign{acknowledgedBytes: info.Bytes_acked, outstanding: info.Unacked > 0 || info.Notsent_bytes > 0, open: true}
}
