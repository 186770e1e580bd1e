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

// Received receives SIGHUP, SIGINT and SIGTERM. A package variable is initialized before the larger packages of the
// program are, so that an early signal doesn't end the process.
var Received = receive()

func receive() <-chan os.Signal {
	received := make(chan os.Signal, capacity)
	signal.Notify(received, syscall.SIGHUP, os.Interrupt, syscall.SIGTERM)
	// Otherwise a write to standard output or standard error whose reader has gone ends the process.
	signal.Ignore(syscall.SIGPIPE)
	return received
}
