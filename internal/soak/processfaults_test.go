package soak

import (
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const writeLines = "\nwhile true; do echo 'a line of the box'; done\n"

// TestOutputReaders guards against faults of standard output that don't reach the process.
func TestOutputReaders(t *testing.T) {
	t.Run("a process can't write while its output stalls", func(t *testing.T) {
		p := startScript(t, writeLines)
		p.stallOutput(time.Hour)
		size := func() int64 {
			info, err := os.Stat(p.log)
			require.NoError(t, err)
			return info.Size()
		}
		last := size()
		require.Eventually(t, func() bool {
			before := last
			last = size()
			return last == before
		}, time.Minute, 10*linkPollInterval)
	})
	t.Run("a process whose output is closed gets SIGPIPE", func(t *testing.T) {
		p := startScript(t, writeLines)
		p.closeOutput()
		<-p.exited
		if found := p.findings(); assert.Len(t, found, 1) {
			assert.Contains(t, found[0], "broken pipe")
		}
	})
}

func TestSurroundings(t *testing.T) {
	p, err := newProcess("", t.TempDir(), "box", "box: one\n")
	require.NoError(t, err)
	b := &box{name: "box", ip: "127.0.201.1", process: p}
	content := func() string {
		data, err := os.ReadFile(p.settings)
		require.NoError(t, err)
		return string(data)
	}
	for choice, want := range []string{"", "box:"} {
		end, err := b.truncateSettings(choice)
		require.NoError(t, err)
		assert.Equal(t, want, content())
		require.NoError(t, end())
		assert.Equal(t, "box: one\n", content())
	}
	for choice, taken := range boxPorts() {
		end, err := b.takePort(choice)
		require.NoError(t, err)
		address := net.JoinHostPort(b.ip, strconv.Itoa(taken.port))
		if taken.network == "tcp" {
			_, err = net.Listen(taken.network, address)
		} else {
			_, err = net.ListenPacket(taken.network, address)
		}
		require.ErrorIs(t, err, syscall.EADDRINUSE)
		require.NoError(t, end())
	}
}
