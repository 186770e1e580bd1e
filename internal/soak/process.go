package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
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
	// limits is nil if the process inherits those of the run.
	limits   *limits
	settings string
	// content is what the settings file holds when it is whole.
	content string
	log     string
	// environment is added to that of the run.
	environment []string
	out         *os.File

	mu      sync.Mutex
	command *exec.Cmd
	started time.Time
	exited  chan struct{}
	// asked is what the most recently started process was asked for.
	asked askedEnd
	// exits are the ends of all processes, and problems what went wrong beside them.
	exits    []exit
	problems []string
	// onPlanned is called before a signal that is planned work is sent: SIGHUP, or the first SIGTERM of a process.
	// onKill is called before SIGKILL.
	onPlanned func(s syscall.Signal)
	onKill    func()
	// output is the reading side of the process's standard output, which is not read before stalledUntil. wrote is set
	// once the most recently started process has written to it.
	output       *os.File
	stalledUntil time.Time
	wrote        bool
	// threads is the largest number of threads that was counted.
	threads int
	// throttled is set while a quota of processor time is in force. withheld is for how long quotas have kept the most
	// recently started process from running.
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
		onPlanned: func(syscall.Signal) {}, onKill: func() {},
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
	command := exec.Command(p.launcher, "--settings", p.settings) //nolint:noctx // Its end is a part of the test.
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
		return fmt.Errorf("start %s: %w", p.program, err)
	}
	p.output, p.wrote = reader, false
	go p.copyOutput(reader)
	exited, started := make(chan struct{}), time.Now()
	p.command, p.started, p.exited, p.asked, p.withheld = command, started, exited, askedEnd{}, 0
	go func() {
		defer close(exited)
		// The state tells how it ended.
		_ = command.Wait()
		p.recordExit(command.ProcessState, started)
	}()
	return nil
}

// running reports whether the most recently started process is still running.
func (p *process) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the most recently started process, by its process id.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return nil
	}
	if s == syscall.SIGHUP || s == syscall.SIGTERM && p.asked.terminated.IsZero() {
		p.onPlanned(s)
	}
	if s == syscall.SIGKILL {
		p.onKill()
	}
	p.awaitHandler(s)
	if s == syscall.SIGTERM && p.asked.terminated.IsZero() {
		p.asked.waited = threadWaits(p.command.Process.Pid)
	}
	p.asked.record(s, time.Now())
	if !p.receives(s) {
		p.asked.early = append(p.asked.early, earlySignal{s, time.Now()})
	}
	if err := p.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %v: %w", s, err)
	}
	return nil
}

// awaitStop waits until a process that got SIGTERM has exited. One that still runs after the grace period is recorded
// and killed.
func (p *process) awaitStop() error {
	p.mu.Lock()
	asked, exited, command := p.asked, p.exited, p.command
	p.mu.Unlock()
	if asked.terminated.IsZero() {
		return nil
	}
	select {
	case <-exited:
		return nil
	case <-time.After(time.Until(asked.terminated.Add(shutdownGraceS*time.Second + stopSlack))):
	}
	if hasExited(command.Process.Pid) {
		// It is in time, however late its end is collected.
		<-exited
		return nil
	}
	p.mu.Lock()
	// Another fault may have killed and restarted the box, or paused the process.
	overdue := p.exited == exited && p.running()
	if overdue && !p.asked.paused && !p.asked.killed {
		p.problems = append(p.problems, fmt.Sprintf("%s: process %d still ran %s after SIGTERM, with a grace of %d s; %s",
			p.name, p.command.Process.Pid, time.Since(asked.terminated).Round(time.Millisecond), shutdownGraceS,
			describeThreads(p.command.Process.Pid, asked.waited)))
		// Another fault may wait for the same process.
		p.asked.killed = true
	}
	p.mu.Unlock()
	if overdue && !asked.paused {
		p.dumpGoroutines(exited)
	}
	if overdue {
		return p.kill()
	}
	return nil
}

// dumpGoroutines makes a process that should have exited write its goroutines to the log file, and waits for its exit.
func (p *process) dumpGoroutines(exited <-chan struct{}) {
	p.mu.Lock()
	p.asked.dumped = true
	// It may have exited meanwhile.
	_ = p.command.Process.Signal(syscall.SIGQUIT)
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(stopSlack):
	}
}

// kill kills the process and waits for it to exit.
func (p *process) kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	<-exited
	return nil
}
