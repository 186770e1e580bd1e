//go:build !cgo

package signals

// wasTerminated reports whether SIGTERM came before the Go runtime started. Without C nothing receives it then: SIGTERM
// and SIGHUP end the process until this package is initialized.
func wasTerminated() bool { return false }
