// Package signals receives the signals of a daemon's process from the initialization of the program on. Only the main
// packages of daemons import it.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// capacity is more than the signals that arrive before the daemon reads them.
const capacity = 16

// Received receives SIGHUP, SIGINT and SIGTERM from the initialization of this package on. It imports only packages of
// the standard library, so that Go initializes it before most of the program.
var Received = receive()

func receive() <-chan os.Signal {
	received := make(chan os.Signal, capacity)
	signal.Notify(received, syscall.SIGHUP, os.Interrupt, syscall.SIGTERM)
	if wasTerminated() {
		received <- syscall.SIGTERM
	}
	// Otherwise a write to standard output or standard error whose reader has gone ends the process.
	signal.Ignore(syscall.SIGPIPE)
	return received
}
