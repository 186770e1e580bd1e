package gatewaycmd

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	// envLimit makes the test binary set a limit of a process.
	envLimit = "DOORYARD_TEST_LIMIT"
	// envTakeThreads makes a box need more threads than it has reserved, once its user may have no more.
	envTakeThreads = "DOORYARD_TEST_TAKE_THREADS"
	takenThreads   = 32
	// manyProcessors is more than any machine of the tests has.
	manyProcessors = 128
	// lowLimit makes a shell set a limit of the user's threads that is meant for a few processes.
	lowLimit = "ulimit -S -u 200 2>/dev/null || ulimit -S -p 200; "
	// otherUser has no processes. The limit does not bind root.
	otherUser = 61_300
	// capDacOverride lets otherUser read the files of a test.
	capDacOverride = 1
)

// withProcessors sets the processors of the settings file.
func (p *process) withProcessors(count int) *process {
	p.t.Helper()
	settings := fmt.Sprintf("%scapacity: {processors: %d}\n", p.at.settings(), count)
	require.NoError(p.t, os.WriteFile(p.settings, []byte(settings), 0o600))
	return p
}

// asUser makes a command run this binary without the rights of root. The first limit of the user's threads is the
// binary's own.
func asUser(t *testing.T, command *exec.Cmd, limit string) {
	t.Helper()
	binary, err := os.Executable()
	require.NoError(t, err)
	command.Path = "/bin/sh"
	command.Args = []string{"sh", "-c", limit + `exec "$0"`, binary}
	if os.Getuid() == 0 {
		command.SysProcAttr = &syscall.SysProcAttr{
			Credential: &syscall.Credential{Uid: otherUser, Gid: otherUser}, AmbientCaps: []uintptr{capDacOverride},
		}
	}
}

// onManyProcessors makes the process start as on a large machine.
func (p *process) onManyProcessors() *process {
	p.command.Env = append(p.command.Env, fmt.Sprintf("GOMAXPROCS=%d", manyProcessors))
	asUser(p.t, p.command, "")
	return p
}

// limitThreads sets how many threads the user of the process may have for it to get another one.
func (p *process) limitThreads(limit uint64) {
	p.t.Helper()
	command := exec.CommandContext(p.t.Context(), "")
	command.Env = append(os.Environ(), fmt.Sprintf("%s=%d %d", envLimit, p.command.Process.Pid, limit))
	asUser(p.t, command, "")
	out, err := command.CombinedOutput()
	require.NoError(p.t, err, string(out))
}

// limitProcess sets the limit of another process, both as in the text.
func limitProcess(text string) error {
	pid, limit, old := 0, uint64(0), unix.Rlimit{}
	if _, err := fmt.Sscan(text, &pid, &limit); err != nil {
		return err
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NPROC, nil, &old); err != nil {
		return err
	}
	return unix.Prlimit(pid, unix.RLIMIT_NPROC, &unix.Rlimit{Cur: min(limit, old.Max), Max: old.Max}, nil)
}

// takeThreadsIfAsked needs many threads at once as soon as the limit is that of limitThreads(1).
func takeThreadsIfAsked() {
	if os.Getenv(envTakeThreads) == "" {
		return
	}
	for limit := (unix.Rlimit{}); limit.Cur != 1; time.Sleep(time.Millisecond) {
		_ = unix.Getrlimit(unix.RLIMIT_NPROC, &limit)
	}
	for range takenThreads {
		go func() {
			runtime.LockOSThread()
			select {}
		}()
	}
}

// threads returns the number of threads of the process.
func (p *process) threads() int {
	list, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", p.command.Process.Pid))
	require.NoError(p.t, err)
	return len(list)
}

// load sends requests on many connections at once.
func (p *process) load() {
	const clients, requests = 64, 40
	done := sync.WaitGroup{}
	for range clients {
		done.Go(func() {
			for range requests {
				if !p.request() {
					return
				}
			}
		})
	}
	done.Wait()
}

// request sends a request on a connection of its own. It reports whether it was answered.
func (p *process) request() bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.at.callers)
	return assert.NoError(p.t, err) && assert.NoError(p.t, response.Body.Close())
}

func TestThreadsOfABoxDoNotFollowTheMachine(t *testing.T) {
	for _, c := range []struct {
		name             string
		processors, most int
		limit            string
	}{
		{"processors 1", 1, 13, ""},
		{"processors 8", 8, 20, ""},
		{"processors 1 under a low limit", 1, 9, lowLimit},
		{"processors 8 under a low limit", 8, 16, lowLimit},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t, freeAddresses(t)).withProcessors(c.processors).onManyProcessors()
			asUser(t, p.command, c.limit)
			p.start()
			p.awaitLine("started", "")
			p.load()
			assert.LessOrEqual(t, p.threads(), c.most)
		})
	}
}

// mappings returns how many writable mappings of the process have a size in KB, up to a page more or less.
func (p *process) mappings(sizeKB uint64) int {
	maps, err := os.ReadFile(fmt.Sprintf("/proc/%d/maps", p.command.Process.Pid))
	require.NoError(p.t, err)
	count, pageKB := 0, uint64(os.Getpagesize()/1024)
	for line := range strings.Lines(string(maps)) {
		var from, to uint64
		var rights string
		_, err := fmt.Sscanf(line, "%x-%x %s", &from, &to, &rights)
		require.NoError(p.t, err)
		if kb := (to - from) / 1024; rights == "rw-p" && kb >= sizeKB-pageKB && kb <= sizeKB+pageKB {
			count++
		}
	}
	return count
}

// TestStacksOfThreadsAreSmall guards against a box that ends since it can't create a thread where what it may use is
// limited (ulimit -d, ulimit -v), because each stack takes as much as the stack limit, 8 MB by default.
func TestStacksOfThreadsAreSmall(t *testing.T) {
	const unusualStackKB = 7772
	p := newProcess(t, freeAddresses(t)).withProcessors(8)
	asUser(t, p.command, fmt.Sprintf("ulimit -s %d; ", unusualStackKB))
	p.start()
	p.awaitLine("started", "")
	p.load()
	assert.Zero(t, p.mappings(unusualStackKB))
}

func TestBoxWhoseUserCanHaveNoMoreThreadsServesAndStops(t *testing.T) {
	p := newProcess(t, freeAddresses(t)).withProcessors(2).onManyProcessors().start()
	p.awaitLine("started", "")
	p.limitThreads(1)
	p.load()
	// A hangup applies the changed settings.
	p.withProcessors(7)
	p.signal(syscall.SIGHUP)
	p.awaitLine("threads missing", "14 instead of 15, limit of the user's threads 1, 6 instead of 7 processors are used")
	p.load()
	p.limitThreads(unix.RLIM_INFINITY)
	p.awaitLine("threads reserved", "")
	p.limitThreads(1)
	p.load()
	p.signal(syscall.SIGTERM)
	assert.Zero(t, p.awaitEnd(), p.stderr.String())
}
