package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

func TestMain(m *testing.M) {
	RunLimited()
	os.Exit(m.Run())
}

// underLimits runs a program under limits and returns what it writes to its standard output.
func underLimits(t *testing.T, l limits, arguments ...string) string {
	t.Helper()
	var err error
	l.Program, err = exec.LookPath(arguments[0])
	require.NoError(t, err)
	l.Arguments = arguments
	content, err := json.Marshal(l)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "limits.json")
	require.NoError(t, os.WriteFile(path, content, 0o600))
	command := exec.CommandContext(t.Context(), os.Args[0])
	command.Env = append(os.Environ(), limitsVariable+"="+path)
	// The program may fail, as one that can't have a further thread.
	written, _ := command.Output()
	return strings.TrimSpace(string(written))
}

// TestLimitsReachTheProcess guards against plays under limits that nothing has.
func TestLimitsReachTheProcess(t *testing.T) {
	for _, c := range []struct {
		name, script, want string
		limits             limits
	}{
		{
			"resource limits", "ulimit -n; ulimit -s", "64\n256",
			limits{Limits: map[int]uint64{unix.RLIMIT_NOFILE: 64, unix.RLIMIT_STACK: smallStack}},
		},
		{"no environment", "tr -cd = </proc/$$/environ; echo end", "end", limits{NoEnvironment: true}},
		{"a folder that is gone", "readlink /proc/$$/cwd | grep -c deleted", "1", limits{NoFolder: true}},
		{"streams", "echo seen", "seen", limits{}},
		{"no streams", "echo seen", "", limits{NoStreams: true}},
		{"one processor", "nproc", "1", limits{OneProcessor: true, Draw: 3}},
		{"a lower priority", "nice", "10", limits{Nice: lowerNice}},
		{"files for the user only", "umask", "0077", limits{Mask: closedMask}},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, underLimits(t, c.limits, "sh", "-c", c.script)) })
	}
	t.Run("signals", func(t *testing.T) {
		l := limits{Ignored: []syscall.Signal{syscall.SIGHUP}, Blocked: []syscall.Signal{syscall.SIGTERM}}
		assert.Equal(t, "SigBlk:\t0000000000004000\nSigIgn:\t0000000000000001",
			underLimits(t, l, "grep", "-E", "SigBlk|SigIgn", "/proc/self/status"))
	})
}

// TestLimitOfThreadsCountsThoseOfTheUser guards against plays in which threads have no limit, or the launcher's count.
func TestLimitOfThreadsCountsThoseOfTheUser(t *testing.T) {
	if os.Geteuid() != 0 {
		t.Skip("only root can change the user")
	}
	user := firstUser + userCount + os.Getpid()%userCount
	for most, want := range map[int]string{1: "Uid: %d", 2: "Uid: %d\nforked"} {
		l := limits{User: user, Limits: map[int]uint64{unix.RLIMIT_NPROC: uint64(most)}}
		assert.Equal(t, fmt.Sprintf(want, user), underLimits(t, l, "sh", "-c",
			"while read -r name id others; do [ $name != Uid: ] || echo $name $id; done </proc/self/status; (echo forked)"))
	}
}

// TestFindsMoreThreadsThanSettingsAllow guards against boxes whose threads follow the machine where no limit ends them.
func TestFindsMoreThreadsThanSettingsAllow(t *testing.T) {
	p := startScript(t, "echo"+waitForSignal)
	p.limits = &limits{}
	t.Run("those of the launcher do not count", func(t *testing.T) {
		p.sampleThreads()
		assert.Empty(t, p.findings())
	})
	t.Run("those of the program do", func(t *testing.T) {
		var err error
		p.program, err = filepath.EvalSymlinks("/bin/sh")
		require.NoError(t, err)
		p.sampleThreads()
		assert.Equal(t, []string{"box: 1 threads, of which its settings allow 0"}, p.findings())
	})
}

// TestLimitsFollowFromTheSeed guards against findings that can't be played again.
func TestLimitsFollowFromTheSeed(t *testing.T) {
	draw := func(seed uint64, user int) limits {
		return drawLimits(rand.New(rand.NewPCG(seed, 1)), user, 6, maxThreads(1))
	}
	first := draw(7, firstUser)
	assert.Equal(t, first, draw(7, firstUser))
	assert.NotEqual(t, first, draw(8, firstUser))
	assert.EqualValues(t, 60, first.Limits[unix.RLIMIT_NPROC])
	assert.NotContains(t, draw(7, 0).Limits, unix.RLIMIT_NPROC, "other processes of the user count towards it")
}
