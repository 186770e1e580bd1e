package soak

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process runs a box as a separate process.
type process struct {
	program  string
	settings string
	out      io.Writer

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	paused  bool
}

// newProcess writes a box's settings file and creates the log file that all of the box's
// processes append to.
func newProcess(program, folder, name, settings string) (*process, error) {
	out, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	return &process{program: program, settings: path, out: out}, nil
}

// start starts the process unless it is running. Faults overlap, so two of them may restart the
// same box.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	command := exec.Command(p.program, "--settings", p.settings) //nolint:noctx // Its end is a part of the test.
	command.Stdout, command.Stderr = p.out, p.out
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.program, err)
	}
	exited := make(chan struct{})
	go func() {
		// The process log shows how it ended.
		_ = command.Wait()
		close(exited)
	}()
	p.command, p.exited, p.paused = command, exited, false
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
	p.paused = s == syscall.SIGSTOP || p.paused && s != syscall.SIGCONT
	if err := p.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %v: %w", s, err)
	}
	return nil
}

// wait waits for the process to exit and reports whether it did so before the timeout.
func (p *process) wait(timeout time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
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
