package soak

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/platform/standin"
)

// TestFindsEndsOfResponses guards against a play of ends that reports nothing.
func TestFindsEndsOfResponses(t *testing.T) {
	whole := content("one", standin.Stream, 0)
	start := time.Now()
	lost := func(o *standin.Outcome, _ *endRun) { *o = standin.Outcome{Call: o.Call, Sent: start, Ended: start} }
	const complete, order = "a complete response is the whole one", "pieces of one response in order"
	for _, c := range []struct {
		name   string
		change func(o *standin.Outcome, run *endRun)
		finds  string
	}{
		{"a whole response", func(*standin.Outcome, *endRun) {}, ""},
		{"a decoded one of a server that is not to send chunks", func(_ *standin.Outcome, run *endRun) {
			run.garbled = garbledVersion
		}, ""},
		{"a part that breaks off", func(o *standin.Outcome, run *endRun) {
			o.Answer, o.Complete, run.finished = whole[0], false, time.Time{}
		}, ""},
		{"a part as a whole", func(o *standin.Outcome, _ *endRun) { o.Answer = whole[0] }, complete},
		{"nothing as a whole", func(o *standin.Outcome, _ *endRun) { o.Answer = "" }, complete},
		{"a missing piece", func(o *standin.Outcome, _ *endRun) {
			o.Answer, o.Complete = whole[0]+whole[2], false
		}, order},
		{"a doubled piece", func(o *standin.Outcome, _ *endRun) {
			o.Answer, o.Complete = whole[0]+whole[0], false
		}, order},
		{"parts of two pieces", func(o *standin.Outcome, _ *endRun) {
			o.Answer, o.Complete = whole[0][:4]+whole[0], false
		}, order},
		{"a garbled head", func(_ *standin.Outcome, run *endRun) {
			run.garbled = garbledBlank
		}, "no response with a garbled head"},
		{"no seal", func(o *standin.Outcome, _ *endRun) { o.Seal = "" }, "the seal of a server"},
		{"another seal", func(o *standin.Outcome, _ *endRun) { o.Seal = "s" }, "the response to its own request"},
		{"a response to another request", func(o *standin.Outcome, _ *endRun) {
			o.Echo = "two"
		}, "the response to its own request"},
		{"another status", func(_ *standin.Outcome, run *endRun) {
			run.status = http.StatusNotFound
		}, "the status of the server"},
		{"status 000", func(o *standin.Outcome, run *endRun) {
			o.Status, run.status = 0, 0
		}, "bytes that are a response"},
		{"what is no response", func(o *standin.Outcome, _ *endRun) {
			*o = standin.Outcome{Call: o.Call, Err: "malformed HTTP response"}
		}, "bytes that are a response"},
		{"a whole response that does not arrive", lost, "a whole response is delivered"},
		{"one of a server that did not write it whole", func(o *standin.Outcome, run *endRun) {
			lost(o, run)
			run.finished = time.Time{}
		}, ""},
		{"one that only the end of its connection shows", func(o *standin.Outcome, run *endRun) {
			lost(o, run)
			run.framing = byConnection
		}, ""},
		{"one of a server that ended right after it", func(o *standin.Outcome, run *endRun) {
			lost(o, run)
			run.life.ended, run.life.endedAt = endCrashReset, run.finished.Add(soundSpan)
		}, ""},
		{"one shortly before the time of the route", func(o *standin.Outcome, run *endRun) {
			lost(o, run)
			run.finished = start.Add(standin.RouteTimeoutMs*time.Millisecond - soundSpan)
		}, ""},
		{"one of a box that was killed", func(o *standin.Outcome, run *endRun) {
			lost(o, run)
			o.Box = "killed"
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEndings()
			run := &endRun{ending: ending{status: http.StatusOK}, server: "server-1", life: &endLife{}, finished: start}
			seal, _ := e.begin("one", run)
			o := standin.Outcome{
				Call: standin.Call{ID: "one", Kind: standin.Stream, DeadlineMs: keptDeadlineMs}, Status: http.StatusOK, Complete: true,
				Answer: strings.Join(whole, ""), Seal: seal, Echo: "one", Sent: start, Ended: start,
			}
			c.change(&o, run)
			e.record(o)
			found := e.check(disturbances{"killed": {{from: start.Add(-undisturbedSpan)}}})
			if c.finds == "" {
				assert.Empty(t, found)
				return
			}
			require.Len(t, found, 1)
			assert.Equal(t, c.finds, found[0].Guarantee)
		})
	}
}

// endedServer returns a server whose connection has carried a whole request, and that connection.
func endedServer(t *testing.T, request string) (*endServer, net.Conn) {
	t.Helper()
	f := &fleet{
		settings: Settings{Seed: 1, Servers: 1}, store: standin.NewStore(), endings: newEndings(),
		random: rand.New(rand.NewPCG(1, 1)),
	}
	require.NoError(t, f.addEndServers())
	t.Cleanup(func() {
		f.background.Wait()
		f.closers[0]()
	})
	conn, err := net.Dial("tcp", f.endServers[0].address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, request)
	require.NoError(t, err)
	return f.endServers[0], conn
}

// TestServersEndAsProcesses guards against crashes of servers that boxes can tell from those of processes.
func TestServersEndAsProcesses(t *testing.T) {
	for kind, want := range map[endKind]error{endCrash: io.EOF, endCrashReset: syscall.ECONNRESET, endDrained: io.EOF} {
		t.Run(string(kind), func(t *testing.T) {
			s, conn := endedServer(t, "GET /health HTTP/1.1\r\nHost: a\r\n\r\n")
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			last := s.life()
			s.end(last, kind)
			_, err = reader.ReadByte()
			require.ErrorIs(t, err, want)
			assert.Eventually(t, func() bool { return s.life() != last }, time.Minute, time.Millisecond)
			assert.NotEqual(t, last.id, s.life().id)
			assert.Equal(t, last.listener.Addr().String(), s.life().listener.Addr().String())
		})
	}
}

// TestFindsOtherBytesAtServers guards against bytes in the place of a request, or of its body, that nobody reports.
func TestFindsOtherBytesAtServers(t *testing.T) {
	const head = "POST /safe/ HTTP/1.1\r\nHost: a\r\n" + standin.HeaderRequestID + ": "
	for name, request := range map[string]string{
		"a body":    head + "o\r\nContent-Length: 3\r\n\r\noxy",
		"a chunk":   head + "o\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
		"a request": "x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s, conn := endedServer(t, request)
			// The response doesn't matter.
			_, _ = io.Copy(io.Discard, conn)
			assert.Eventually(t, func() bool { return len(s.fleet.endings.check(nil)) == 1 }, time.Minute, time.Millisecond)
		})
	}
}
