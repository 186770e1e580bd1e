// Package socket asks the kernel about connections.
package socket

import "net"

// HasUnread reports whether bytes of the other side wait to be read on a connection, by the kernel of this process.
func HasUnread(c net.Conn) bool { return system.HasUnread(c) }
