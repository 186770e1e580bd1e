//go:build race

package socket

import "syscall"

// The race detector takes what is written before it is read to be ordered, if package syscall does both.

// release orders what goes before it before the reads that find what is written next.
func release() { _, _ = syscall.Write(-1, nil) }

// acquire orders the writes of what was read before what follows. It reads nothing.
func acquire(fd int) { _, _ = syscall.Read(fd, nil) }
