package inbound

import (
	"net"

	"dooryard.example/dooryard/internal/socket"
)

// sign is what the kernel knows of a caller.
type sign struct {
	// acknowledgedBytes is how much the caller's machine has acknowledged, and outstanding whether there is more.
	acknowledgedBytes uint64
	outstanding       bool
	// open is set unless the connection is closed, was reset or has no socket.
	open bool
	// ended is set once the caller has ended its side of the socket.
	ended bool
}

// signOf asks the kernel. A connection without a socket may have a method Sign.
func signOf(kernel *socket.Kernel, c net.Conn) sign {
	if known, ok := c.(interface{ Sign() sign }); ok {
		return known.Sign()
	}
	s := kernel.State(c)
	return sign{acknowledgedBytes: s.AcknowledgedBytes, outstanding: s.Outstanding, open: s.Open, ended: s.Ended}
}
