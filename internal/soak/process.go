package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// process runs a box as a separate process.
type process struct {
	name    string
	program string
	// launcher is the program that is started: the same, or this one if the process has limits.
	launcher string
	// earlierProgram is that of every other start, or empty. starts counts them.
	earlierProgram string
	starts         int
	// limits is nil if the process inherits those of the run.
	limits   *limits
	settings string
	// content is what the settings file holds when it is whole.
	content string
	log     string
	// environment is added to that of the run.
	environment []string
	out         *os.File

	mu sync.Mutex
	// The most recently started process is embedded. earlier are those that were still running when it was started.
	*incarnation
	earlier []*incarnation
	// exits are the ends of all processes, and problems what went wrong beside them.
	exits    []exit
	problems []string
	// onPlanned is called before a signal that is planned work is sent: SIGHUP, or the first SIGTERM of a process.
	// onKill is called before SIGKILL.
	onPlanned func(s syscall.Signal)
	onKill    func()
	// Standard output is not read before stalledUntil.
	stalledUntil time.Time
	// threads is the largest number of threads that was counted.
	threads int
}

// incarnation is one process of a box. Before the first start it has no command.
type incarnation struct {
	command *exec.Cmd
	started time.Time
	exited  chan struct{}
	// asked is what the process was asked for.
	asked askedEnd
	// output is the reading side of the process's standard output. wrote is set once the process has written to it.
	output *os.File
	wrote  bool
	// endedEarly is set once a signal has ended the process that was sent before the program could receive it.
	endedEarly bool
	// throttled is set while a quota of processor time is in force. withheld is for how long quotas have kept the
	// process from running.
	throttled bool
	withheld  time.Duration
}

// newProcess writes a box's settings file and creates the log file that all of the box's
// processes append to.
func newProcess(program, folder, name, settings string) (*process, error) {
	log := filepath.Join(folder, name+".log")
	out, err := os.OpenFile(log, os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	return &process{
		name: name, program: program, launcher: program, settings: path, content: settings, log: log, out: out,
		incarnation: &incarnation{}, onPlanned: func(syscall.Signal) {}, onKill: func() {},
	}, nil
}

// start starts the process unless it is running. Faults overlap, so two of them may restart the
// same box.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	return p.startNext()
}

// startBeside starts the next process after one that may still be running, unless another fault has done so: nobody
// would stop the process that it has started.
func (p *process) startBeside(last *incarnation) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnation != last {
		return nil
	}
	return p.startNext()
}

func (p *process) startNext() error {
	p.starts++
	launcher := p.launcher
	if p.earlierProgram != "" && p.starts%2 == 0 {
		launcher = p.earlierProgram
	}
	command := exec.Command(launcher, "--settings", p.settings) //nolint:noctx // Its end is a part of the test.
	// A build with the race detector sleeps for a second before it exits otherwise.
	command.Env = append(append(os.Environ(), "GORACE=atexit_sleep_ms=0"), p.environment...)
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = writer, p.out
	err = command.Start()
	_ = writer.Close()
	if err != nil {
		_ = reader.Close()
		return fmt.Errorf("start %s: %w", launcher, err)
	}
	p.earlier = slices.DeleteFunc(append(p.earlier, p.incarnation), func(i *incarnation) bool { return !i.running() })
	one := &incarnation{command: command, started: time.Now(), exited: make(chan struct{}), output: reader}
	p.incarnation = one
	go p.copyOutput(one)
	go func() {
		defer close(one.exited)
		// The state tells how it ended.
		_ = command.Wait()
		p.recordExit(one)
	}()
	return nil
}

// running reports whether the process is still running.
func (i *incarnation) running() bool {
	return i.command != nil && !isClosed(i.exited)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// current returns the most recently started process.
func (p *process) current() *incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// all returns the processes that may be running.
func (p *process) all() []*incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append(slices.Clone(p.earlier), p.incarnation)
}

// signal sends a signal to the most recently started process, by its process id. A box is paused and resumed with all
// its processes.
func (p *process) signal(s syscall.Signal) error {
	if s != syscall.SIGSTOP && s != syscall.SIGCONT {
		return p.signalTo(p.current(), s)
	}
	errs := []error{}
	for _, i := range p.all() {
		errs = append(errs, p.signalTo(i, s))
	}
	return errors.Join(errs...)
}

func (p *process) signalTo(i *incarnation, s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !i.running() {
		return nil
	}
	p.awaitHandler(i, s)
	if s == syscall.SIGTERM && i.asked.terminated.IsZero() {
		i.asked.waited, i.asked.ran = threadWaits(i.command.Process.Pid), processorTime(i.command.Process.Pid)
	}
	if !p.receives(i, s) {
		i.asked.early = append(i.asked.early, earlySignal{s, time.Now()})
	}
	// What comes before may take long on a busy machine.
	if s == syscall.SIGHUP || s == syscall.SIGTERM && i.asked.terminated.IsZero() {
		p.onPlanned(s)
	}
	if s == syscall.SIGKILL {
		p.onKill()
	}
	i.asked.record(s, time.Now())
	if err := i.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %v: %w", s, err)
	}
	return nil
}

// awaitStop waits until the most recently started process has exited, if it got SIGTERM.
func (p *process) awaitStop() error { return p.awaitStopOf(p.current()) }

// awaitStopOf waits until a process that got SIGTERM has exited. One that still runs after the grace period is recorded
// and killed.
func (p *process) awaitStopOf(i *incarnation) error {
	p.mu.Lock()
	asked := i.asked
	p.mu.Unlock()
	terminated, waited := asked.terminated, asked.waited
	if terminated.IsZero() || i.exitsInTime(asked) {
		return nil
	}
	if hasExited(i.command.Process.Pid) {
		// It is in time, however late its end is collected.
		<-i.exited
		return nil
	}
	p.mu.Lock()
	// Another fault may have killed the process, or paused it.
	overdue, paused := i.running(), i.asked.paused
	if overdue && !paused && !i.asked.killed {
		p.problems = append(p.problems, fmt.Sprintf("%s: process %d still ran %s after SIGTERM, with a grace of %d s; %s",
			p.name, i.command.Process.Pid, time.Since(terminated).Round(time.Millisecond), shutdownGraceS,
			describeThreads(i.command.Process.Pid, waited)))
		// Another fault may wait for the same process.
		i.asked.killed = true
	}
	p.mu.Unlock()
	if !overdue {
		return nil
	}
	if !paused {
		p.dumpGoroutines(i)
	}
	return p.killOne(i)
}

// dumpGoroutines makes a process that should have exited write its goroutines to the log file, and waits for its exit.
func (p *process) dumpGoroutines(i *incarnation) {
	p.mu.Lock()
	i.asked.dumped = true
	// It may have exited meanwhile.
	_ = i.command.Process.Signal(syscall.SIGQUIT)
	p.mu.Unlock()
	select {
	case <-i.exited:
	case <-time.After(stopSlack):
	}
}

// kill kills all processes that are running and waits for them to exit.
func (p *process) kill() error {
	errs := []error{}
	for _, i := range p.all() {
		errs = append(errs, p.killOne(i))
	}
	return errors.Join(errs...)
}

func (p *process) killOne(i *incarnation) error {
	if err := p.signalTo(i, syscall.SIGKILL); err != nil || i.command == nil {
		return err
	}
	<-i.exited
	return nil
}
