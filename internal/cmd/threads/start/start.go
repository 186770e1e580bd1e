// Package start makes the number of threads during the initialization of a program independent of the machine. It
// imports only the runtime, so that Go initializes it before most of the program.
package start

import "runtime"

// MachineProcessors is the number of processors that the runtime found. It uses one of them until it is told otherwise.
var MachineProcessors = runtime.GOMAXPROCS(1)
