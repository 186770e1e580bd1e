package socket

import "golang.org/x/sys/unix"

// Read is unix.Read for a descriptor that never blocks.
func Read(fd int, data []byte) (int, error) { return unix.Read(fd, data) }

// Write is unix.Write for a descriptor that never blocks.
func Write(fd int, data []byte) (int, error) { return unix.Write(fd, data) }
