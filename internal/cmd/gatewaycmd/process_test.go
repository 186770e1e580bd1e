package gatewaycmd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/cmd/daemon"
	"dooryard.example/dooryard/internal/cmd/signals"
	"dooryard.example/dooryard/internal/cmd/threads"
	"dooryard.example/dooryard/internal/cmd/threads/start"
	"dooryard.example/dooryard/internal/gateway"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/pkg/config"
)

const (
	// envProcess makes the test binary run as dooryard-gateway.
	envProcess  = "DOORYARD_TEST_PROCESS"
	envSettings = "DOORYARD_TEST_SETTINGS"
	// envPanic makes a part of the box panic at each start, or a goroutine that nothing guards.
	envPanic       = "DOORYARD_TEST_PANIC"
	panicOfPart    = "part"
	panicOfProcess = "process"
	// eventTimeout is much longer than any event takes.
	eventTimeout = 60 * time.Second
)

func TestMain(m *testing.M) {
	if text := os.Getenv(envLimit); text != "" {
		if err := limitProcess(text); err != nil {
			panic(err)
		}
		return
	}
	if os.Getenv(envProcess) == "" {
		signal.Reset()
		runtime.GOMAXPROCS(start.MachineProcessors)
		os.Exit(m.Run())
	}
	daemon.Main(signals.Received, func(p *daemon.Process) *cli.Command {
		p.UseProcessors, p.ThreadsNearLimit = threads.Use, threads.NearLimit
		return New(p, gateway.Adapter{
			EnvSettings: envSettings, ReadinessPath: "/ready", Dialect: &opaque.Dialect{},
			Source: func(clock.Clock, func() config.Gateway) gateway.Source {
				return gateway.Source{Run: func(ctx context.Context, _ gateway.Sink) {
					panicIfAsked()
					takeThreadsIfAsked()
					<-ctx.Done()
				}}
			},
		})
	})
}

// panicIfAsked panics as the environment asks.
func panicIfAsked() {
	switch os.Getenv(envPanic) {
	case panicOfPart:
		panic("broken store")
	case panicOfProcess:
		go panic("broken process")
	}
}

// addresses are free ports of one box. The last one follows that for peers.
type addresses struct{ callers, readiness, metrics, peers, nextPeers string }

// firstPort is below the ports that the kernel assigns to connections and to listeners on port 0.
const firstPort = 21000

var nextPort atomic.Int64

// freeAddresses returns ports that nothing else takes: on a loopback address of this test binary, and given out once.
func freeAddresses(t *testing.T) addresses {
	t.Helper()
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 64|pid>>16&63, pid>>8&255, pid&255)
	free := func() string {
		address := net.JoinHostPort(host, strconv.FormatInt(firstPort+nextPort.Add(1), 10))
		l, err := net.Listen("tcp", address)
		require.NoError(t, err)
		require.NoError(t, l.Close())
		return address
	}
	return addresses{free(), free(), free(), free(), free()}
}

func (a addresses) settings() string {
	return fmt.Sprintf(`box: a-1
failure_domain: a
callers_address: %s
readiness_address: %s
peers_address: %s
metrics_address: %s
store: {address: "127.0.0.1:4"}
freshness: {max_age_ms: 5000}
shutdown: {grace_s: 4}
`, a.callers, a.readiness, a.peers, a.metrics)
}

// process is a running box.
type process struct {
	t        *testing.T
	command  *exec.Cmd
	at       addresses
	settings string
	stderr   syncBuffer
	done     chan struct{}

	mu    sync.Mutex
	lines []string
	added chan struct{}
}

// syncBuffer is a buffer that may be read while it is written.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func newProcess(t *testing.T, at addresses) *process {
	t.Helper()
	settings := at.settings()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	p := &process{t: t, at: at, settings: path, done: make(chan struct{}), added: make(chan struct{}, 1)}
	p.command = exec.CommandContext(context.WithoutCancel(t.Context()), os.Args[0])
	p.command.Env = append(os.Environ(), envProcess+"=1", envSettings+"="+path)
	p.command.Stderr = &p.stderr
	return p
}

// withGrace sets the grace period of a stop.
func (p *process) withGrace(grace time.Duration) *process {
	p.t.Helper()
	settings := strings.Replace(p.at.settings(), "grace_s: 4", fmt.Sprintf("grace_s: %d", int(grace.Seconds())), 1)
	require.NoError(p.t, os.WriteFile(p.settings, []byte(settings), 0o600))
	return p
}

// addSettings adds a line to the settings file.
func (p *process) addSettings(line string) {
	p.t.Helper()
	require.NoError(p.t, os.WriteFile(p.settings, []byte(p.at.settings()+line+"\n"), 0o600))
}

// start starts the process. Its lines are read until it ends unless it has another output.
func (p *process) start() *process {
	p.t.Helper()
	read := func() {}
	if p.command.Stdout == nil {
		out, err := p.command.StdoutPipe()
		require.NoError(p.t, err)
		read = func() {
			for lines := bufio.NewScanner(out); lines.Scan(); {
				p.add(lines.Text())
			}
		}
	}
	require.NoError(p.t, p.command.Start())
	go func() {
		defer close(p.done)
		read()
		_ = p.command.Wait()
	}()
	p.t.Cleanup(p.end)
	return p
}

// end kills the process.
func (p *process) end() {
	// It may have ended already.
	_ = p.command.Process.Kill()
	<-p.done
}

func (p *process) add(line string) {
	p.mu.Lock()
	p.lines = append(p.lines, line)
	p.mu.Unlock()
	select {
	case p.added <- struct{}{}:
	default:
	}
}

// log returns the lines that were read so far.
func (p *process) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// awaitLine waits for a line with a message and a text.
func (p *process) awaitLine(message, text string) {
	p.t.Helper()
	deadline := time.After(eventTimeout)
	for {
		if p.hasLine(message, text) {
			return
		}
		select {
		case <-p.added:
		case <-p.done:
			require.True(p.t, p.hasLine(message, text), "ended (%v) without %q %q:\n%s\n%s",
				p.command.ProcessState, message, text, p.log(), p.stderr.String())
			return
		case <-deadline:
			require.Fail(p.t, "no line", "%q %q in:\n%s", message, text, p.log())
		}
	}
}

func (p *process) hasLine(message, text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines {
		var parsed struct {
			Msg string `json:"msg"`
		}
		if json.Unmarshal([]byte(line), &parsed) == nil && parsed.Msg == message && strings.Contains(line, text) {
			return true
		}
	}
	return false
}

// awaitCallers waits until the process accepts connections from callers.
func (p *process) awaitCallers() {
	p.t.Helper()
	require.Eventually(p.t, func() bool {
		conn, err := net.Dial("tcp", p.at.callers)
		if err != nil {
			return false
		}
		return conn.Close() == nil
	}, eventTimeout, 10*time.Millisecond)
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.command.Process.Signal(s))
}

// awaitEnd waits for the end of the process and returns its exit status, or -1 if a signal ended it.
func (p *process) awaitEnd() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(eventTimeout):
		require.Fail(p.t, "the process did not end", p.log())
	}
	return p.command.ProcessState.ExitCode()
}

func TestSignalsDoNotEndTheProcess(t *testing.T) {
	t.Run("a hangup before the settings are read", func(t *testing.T) {
		p := newProcess(t, freeAddresses(t))
		fifo := filepath.Join(t.TempDir(), "settings.fifo")
		require.NoError(t, syscall.Mkfifo(fifo, 0o600))
		p.command.Env = append(p.command.Env, envSettings+"="+fifo)
		p.start()
		// Opening the file succeeds once the process opens it to read its settings.
		file, err := os.OpenFile(fifo, os.O_WRONLY, 0)
		require.NoError(t, err)
		p.signal(syscall.SIGHUP)
		content, err := os.ReadFile(p.settings)
		require.NoError(t, err)
		_, err = file.Write(content)
		require.NoError(t, err)
		require.NoError(t, file.Close())
		p.awaitLine("signal received", "hangup")
		p.awaitLine("started", "")
	})
	t.Run("a second termination signal and a hangup while it stops", func(t *testing.T) {
		p := newProcess(t, freeAddresses(t)).withGrace(eventTimeout).start()
		p.awaitLine("started", "")
		// A request whose headers are incomplete prolongs the stop, so that the signals arrive during it.
		request, err := net.Dial("tcp", p.at.callers)
		require.NoError(t, err)
		_, err = request.Write([]byte("POST / HTTP/1.1\r\n"))
		require.NoError(t, err)
		p.signal(syscall.SIGTERM)
		p.awaitLine("signal received", "stop: terminated")
		p.signal(syscall.SIGTERM)
		p.awaitLine("signal received", "ignored while stopping: terminated")
		p.signal(syscall.SIGHUP)
		p.awaitLine("signal received", "ignored while stopping: hangup")
		require.NoError(t, request.Close())
		assert.Zero(t, p.awaitEnd(), p.stderr.String())
		p.awaitLine("stopped", "")
	})
	t.Run("a line that is written when the reader of standard output has gone", func(t *testing.T) {
		p := newProcess(t, freeAddresses(t))
		out, in, err := os.Pipe()
		require.NoError(t, err)
		p.command.Stdout = in
		p.start()
		require.NoError(t, in.Close())
		_, err = bufio.NewReader(out).ReadString('\n')
		require.NoError(t, err)
		require.NoError(t, out.Close())
		p.signal(syscall.SIGTERM)
		assert.Zero(t, p.awaitEnd(), p.stderr.String())
	})
}

func TestLaterInterruptEndsTheProcess(t *testing.T) {
	p := newProcess(t, freeAddresses(t)).withGrace(eventTimeout).start()
	p.awaitLine("started", "")
	// A request whose headers are incomplete prolongs the stop.
	request, err := net.Dial("tcp", p.at.callers)
	require.NoError(t, err)
	t.Cleanup(func() { _ = request.Close() })
	_, err = request.Write([]byte("POST / HTTP/1.1\r\n"))
	require.NoError(t, err)
	p.signal(os.Interrupt)
	p.awaitLine("signal received", "stop: interrupt")
	p.signal(os.Interrupt)
	p.awaitLine("signal received", "ignored while stopping: interrupt")
	require.Eventually(t, func() bool { return p.command.Process.Signal(os.Interrupt) != nil }, eventTimeout, 10*time.Millisecond)
	assert.Equal(t, -1, p.awaitEnd())
}

func TestStopWithUnreadOutput(t *testing.T) {
	// The stop must end within the grace period; a second more is for a busy machine.
	const grace, extra = 10 * time.Second, time.Second
	p := newProcess(t, freeAddresses(t)).withGrace(grace)
	out, in, err := os.Pipe()
	require.NoError(t, err)
	defer func() { require.NoError(t, out.Close()) }()
	fillPipe(t, in)
	p.command.Stdout = in
	p.start()
	require.NoError(t, in.Close())
	p.awaitCallers()
	p.signal(syscall.SIGTERM)
	signaled := time.Now()
	assert.Zero(t, p.awaitEnd(), p.stderr.String())
	assert.Less(t, time.Since(signaled), grace+extra)
}

func TestFailedStartWithUnreadErrorsEnds(t *testing.T) {
	p := newProcess(t, freeAddresses(t))
	require.NoError(t, os.WriteFile(p.settings, []byte("box: [\n"), 0o600))
	out, in, err := os.Pipe()
	require.NoError(t, err)
	defer func() { require.NoError(t, out.Close()) }()
	fillPipe(t, in)
	p.command.Stderr = in
	p.start()
	require.NoError(t, in.Close())
	assert.Equal(t, 2, p.awaitEnd())
}

// fillPipe writes to a pipe until it is full.
func fillPipe(t *testing.T, in *os.File) {
	t.Helper()
	raw, err := in.SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Write(func(fd uintptr) bool {
		for {
			if _, err := syscall.Write(int(fd), make([]byte, 4096)); err != nil {
				return true
			}
		}
	}))
}
