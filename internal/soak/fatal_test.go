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

// fatalRuns returns a history in which a server crashed under a fatal request each second, and such a
// request was sent each second.
func fatalRuns(by standin.Fatal, crashes, sends int) *history {
	h := newHistory()
	h.recordKey("k", "t")
	began := time.Now()
	for i := range crashes {
		h.crashes[by] = append(h.crashes[by], began.Add(time.Duration(i)*time.Second))
	}
	for i := range sends {
		call := standin.Call{
			ID: fmt.Sprint("f", i), Kind: standin.Stream, Key: "k", DeadlineMs: 1000, HasFatalPart: by == standin.FatalPart,
		}
		if by == standin.FatalContent {
			call.Sends = standin.FatalBody
		}
		at := began.Add(time.Duration(i) * time.Second)
		h.recordOutcome(standin.Outcome{Call: call, Sent: at, Box: "b"})
		h.recordRun(standin.Run{RequestID: call.ID, Server: "s", Kind: standin.Stream, Tenant: "t", StartedAt: at})
	}
	return h
}

func TestCheckFatal(t *testing.T) {
	for by, limit := range fatalCrashLimits() {
		t.Run("finds requests that are sent without end, by "+string(by), func(t *testing.T) {
			assertFinds(t, fatalRuns(by, 20, 20), fmt.Sprintf("quarantine by %s after %d crashes", by, limit))
		})
		t.Run("accepts sends shortly after the last crash that is allowed, by "+string(by), func(t *testing.T) {
			assert.Empty(t, fatalRuns(by, limit+3, limit+3).check())
		})
		t.Run("does not apply to a disturbed box, by "+string(by), func(t *testing.T) {
			h := fatalRuns(by, 20, 20)
			h.disturbances.begin("b", time.Now())
			assert.Empty(t, h.check())
		})
	}
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
