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

// fatalRuns is a ledger of servers that ended under the fatal request each second, and of
// sends that follow.
func fatalRuns(ends, sends int) *ledger {
	l := newLedger()
	l.noteKey("k", "t")
	began := time.Now()
	for i := range ends {
		l.ends = append(l.ends, began.Add(time.Duration(i)*time.Second))
	}
	for i := range sends {
		id := fmt.Sprint("f", i)
		at := began.Add(time.Duration(i) * time.Second)
		l.noteOutcome(standin.Outcome{
			Call: standin.Call{ID: id, Kind: standin.Stream, Key: "k", DeadlineMs: 1000, Sends: standin.FatalBody}, Sent: at, Box: "b",
		})
		l.noteRun(standin.Run{RequestID: id, Server: "s", Kind: standin.Stream, Tenant: "t", Began: at})
	}
	return l
}

func TestCheckFatal(t *testing.T) {
	t.Run("finds a request that is sent on for ever", func(t *testing.T) {
		assertFinds(t, fatalRuns(20, 20), "held back after three ends")
	})
	t.Run("lets what is sent soon after the third end go", func(t *testing.T) {
		assert.Empty(t, fatalRuns(6, 6).check())
	})
	t.Run("does not hold a box to it that was disturbed", func(t *testing.T) {
		l := fatalRuns(20, 20)
		l.touch.begin("b", time.Now())
		assert.Empty(t, l.check())
	})
}

func TestCheckForeign(t *testing.T) {
	l, o, run := sound(standin.Safe)
	l.timed = true
	l.noteUnnamed("s")
	run.Began = time.Now().Add(5 * time.Second)
	l.noteRun(*run)
	l.noteOutcome(*o)
	assertFinds(t, l, "no new work by another writer's entry")
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
	require.Error(t, err, "what is open is reset")
	_, err = net.Dial("tcp", l.address())
	require.Error(t, err, "what comes is refused")
	l.set(linkWell)
	conn, err = net.Dial("tcp", l.address())
	require.NoError(t, err)
	assertEchoes(t, conn)
}
