package soak

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/platform/standin"
)

// fatalRuns returns a history in which a server crashed under the fatal request each second, and
// the request was sent each second.
func fatalRuns(crashes, sends int) *history {
	h := newHistory()
	h.recordKey("k", "t")
	began := time.Now()
	for i := range crashes {
		h.crashes = append(h.crashes, began.Add(time.Duration(i)*time.Second))
	}
	for i := range sends {
		id := fmt.Sprint("f", i)
		at := began.Add(time.Duration(i) * time.Second)
		h.recordOutcome(standin.Outcome{
			Call: standin.Call{ID: id, Kind: standin.Stream, Key: "k", DeadlineMs: 1000, Sends: standin.FatalBody}, Sent: at, Box: "b",
		})
		h.recordRun(standin.Run{RequestID: id, Server: "s", Kind: standin.Stream, Tenant: "t", StartedAt: at})
	}
	return h
}

func TestCheckFatal(t *testing.T) {
	t.Run("finds a request that is sent without end", func(t *testing.T) {
		assertFinds(t, fatalRuns(20, 20), "quarantine after three crashes")
	})
	t.Run("accepts sends shortly after the third crash", func(t *testing.T) {
		assert.Empty(t, fatalRuns(6, 6).check())
	})
	t.Run("does not apply to a disturbed box", func(t *testing.T) {
		h := fatalRuns(20, 20)
		h.disturbances.begin("b", time.Now())
		assert.Empty(t, h.check())
	})
}

func TestCheckForeign(t *testing.T) {
	h, o, run := successfulRequest(standin.Safe)
	h.timed = true
	h.recordReplacement("s")
	run.StartedAt = time.Now().Add(5 * time.Second)
	h.recordRun(*run)
	h.recordOutcome(*o)
	assertFinds(t, h, "no new work after entry replacement")
}

func TestRefusedLink(t *testing.T) {
	target := echo(t)
	l, err := newLink("127.0.0.1", func() string { return target.Addr().String() })
	require.NoError(t, err)
	defer l.close()
	conn, err := net.Dial("tcp", l.address())
	require.NoError(t, err)
	assertEchoes(t, conn)
	l.set(linkRefused)
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err, "open connections are reset")
	_, err = net.Dial("tcp", l.address())
	require.Error(t, err, "new connections are refused")
	l.set(linkHealthy)
	conn, err = net.Dial("tcp", l.address())
	require.NoError(t, err)
	assertEchoes(t, conn)
}
