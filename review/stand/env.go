package main

import (
	"bufio"
	"context"
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

// errCannotRun means that the case could not be played.
var errCannotRun = errors.New("the case could not run")

const maxLineBytes = 1 << 20

// env holds what a case starts.
type env struct {
	ctx     context.Context
	trouble bool
	root    string
	dir     string
	start   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
	broken []string
	closed bool
}

func newEnv(ctx context.Context, recordPath string) (*env, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	trouble := os.Getenv("TROUBLE") != "0"
	return &env{ctx: ctx, trouble: trouble, root: root, dir: dir, start: time.Now(), record: record}, nil
}

// logf writes a line of the record.
func (e *env) logf(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(e.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = e.record.WriteString(line)
	fmt.Print(line)
}

// breaks records that the rule was broken.
func (e *env) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	e.logf("BROKEN: %s", text)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.broken = append(e.broken, text)
}

// close ends all processes that the case started. None can be started afterwards.
func (e *env) close() {
	e.mu.Lock()
	e.closed = true
	procs := e.procs
	e.mu.Unlock()
	for _, p := range procs {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	_ = os.RemoveAll(e.dir)
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// spawn starts a process. Each line of its output is passed to onLine, if that is not nil.
func (e *env) spawn(name string, onLine func(string), environ []string, args ...string) (*process, error) {
	// It is ended by close, which waits for it.
	cmd := exec.CommandContext(context.WithoutCancel(e.ctx), args[0], args[1:]...)
	cmd.Dir, cmd.Env = e.root, append(os.Environ(), environ...)
	log, err := os.OpenFile(filepath.Join(e.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	if err := e.startProcess(p); err != nil {
		return nil, err
	}
	go func() {
		copyLines(out, log, onLine)
		_ = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

func (e *env) startProcess(p *process) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return errCannotRun
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	e.procs = append(e.procs, p)
	return nil
}

func copyLines(from io.Reader, to io.Writer, onLine func(string)) {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		_, _ = io.WriteString(to, lines.Text()+"\n")
		if onLine != nil {
			onLine(lines.Text())
		}
	}
}
