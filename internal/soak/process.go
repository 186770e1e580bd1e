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

// process is one box as a process of its own.
type process struct {
	program  string
	settings string
	out      io.Writer

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	paused  bool
}

// newProcess keeps the log of a box, over all its lives, in a file.
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

// start starts the process unless it runs: faults overlap, so that two of them may
// want to start the same box again.
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
		// How it ended is in its log.
		_ = command.Wait()
		close(exited)
	}()
	p.command, p.exited, p.paused = command, exited, false
	return nil
}

// running reports whether the process that was started last has not ended.
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

// signal sends a signal to the process that was started, by its id.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = s == syscall.SIGSTOP || p.paused && s != syscall.SIGCONT
	if err := p.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %v: %w", s, err)
	}
	return nil
}

// wait waits for the end of the process and reports whether it came in time.
func (p *process) wait(span time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(span):
		return false
	}
}

// kill ends the process at once.
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
