package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/cmd/exit"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/logging"
)

// Process is the process of a daemon: where it writes, and the signals that it receives.
type Process struct {
	// Out receives log lines, Err the reason for which the daemon doesn't start or ends.
	Out, Err io.Writer
	// Reload receives a value after SIGHUP.
	Reload <-chan struct{}
	// Notes receives a text about each signal.
	Notes <-chan string
	// UseProcessors limits the processors, of which there is at least one, and the threads of the process. An error means
	// that it has fewer threads than it may need.
	UseProcessors func(processors float64) error
	// ThreadsNearLimit returns how many threads the process has and may have, if it may have few more, or else "".
	ThreadsNearLimit func() string
}

// notesCapacity limits the signals that are noted before the daemon reads the notes.
const notesCapacity = 16

// repeatMs is how long after a SIGINT another one counts as the same. A terminal sends it to a whole process group, and
// programs that start others also pass it on.
const repeatMs = clock.Second

// flushTimeout limits how long the end of the process waits for a reader of standard error.
const flushTimeout = 100 * time.Millisecond

// Main runs the command of a daemon as a program's main function. SIGTERM and SIGINT cancel the command's context, and
// only a SIGINT that comes a second or more after the first ends the process at once. SIGHUP is passed on to the
// daemon.
func Main(received <-chan os.Signal, command func(p *Process) *cli.Command) {
	os.Exit(runMain(received, command))
}

func runMain(received <-chan os.Signal, command func(p *Process) *cli.Command) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h := &signalHandler{
		cancel: cancel, reload: make(chan struct{}, 1), notes: make(chan string, notesCapacity), kill: interrupt,
		monotonic: clock.New().Monotonic,
	}
	go h.run(received)
	stderr := logging.NewAsyncWriter(os.Stderr)
	defer stderr.Flush(flushTimeout)
	// Without it, crashes are on standard error alone.
	_ = logCrashes()
	c := command(&Process{
		Out: os.Stdout, Err: stderr, Reload: h.reload, Notes: h.notes, UseProcessors: func(float64) error { return nil },
		ThreadsNearLimit: func() string { return "" },
	})
	err := c.Run(ctx, os.Args)
	if err == nil {
		return 0
	}
	fmt.Fprintf(stderr, "%s: %v\n", c.Name, err)
	return exit.Code(err)
}

// signalHandler translates the signals of a process.
type signalHandler struct {
	cancel context.CancelFunc
	reload chan struct{}
	notes  chan string
	// kill ends the process by SIGINT.
	kill      func()
	monotonic func() clock.Millis

	stopping, interrupted bool
	interruptedMs         clock.Millis
}

func (h *signalHandler) run(received <-chan os.Signal) {
	for s := range received {
		guard.Do("signal", func() { h.handle(s) })
	}
}

func (h *signalHandler) handle(s os.Signal) {
	switch {
	case s == syscall.SIGHUP && !h.stopping:
		h.note("reload: " + s.String())
		select {
		case h.reload <- struct{}{}:
		default:
		}
	case s == syscall.SIGHUP:
		h.note("ignored while stopping: " + s.String())
	case s == os.Interrupt && h.interrupted && h.monotonic()-h.interruptedMs >= repeatMs:
		h.kill()
	case h.stopping:
		h.note("ignored while stopping: " + s.String())
	default:
		h.note("stop: " + s.String())
	}
	if s == os.Interrupt && !h.interrupted {
		h.interrupted, h.interruptedMs = true, h.monotonic()
	}
	if s != syscall.SIGHUP {
		h.stopping = true
		h.cancel()
	}
}

// note queues a text and drops it if nobody reads them.
func (h *signalHandler) note(text string) {
	select {
	case h.notes <- text:
	default:
	}
}

func interrupt() {
	signal.Reset(os.Interrupt)
	// A process may always signal itself.
	_ = syscall.Kill(os.Getpid(), syscall.SIGINT)
}
