package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// TestEvictedConnectionPassesNothingOn guards against a request that is sent to an upstream although its connection was
// closed in favour of another one.
func TestEvictedConnectionPassesNothingOn(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		served := atomic.Int64{}
		f.upstream("u1", func(w http.ResponseWriter, _ *http.Request) {
			served.Add(1)
			advance(t, time.Second)
			_, _ = io.WriteString(w, "done")
		})
		b := f.box(1, withConnectionLimit(1))
		kept := b.connect(b.settings.CallersAddress)
		text := requestText("/unsafe/", "Content-Length: 0\r\n")
		kept.write(text + text)
		waiting := b.connect(b.settings.CallersAddress)
		for range 2 {
			kept.assertServed()
		}
		_, err := kept.reader.ReadByte()
		require.Error(t, err, "the connection is closed in favour of the waiting one")
		waiting.write(text)
		waiting.assertServed()
		assert.EqualValues(t, 3, served.Load(), "requests that reached the upstream")
	})
}

// TestFullBoxAnnouncesClose guards against a caller whose next request is not read since its connection is closed in
// favour of another one.
func TestFullBoxAnnouncesClose(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		f.upstream("u1", func(http.ResponseWriter, *http.Request) { advance(t, time.Second) })
		b := f.box(1, withConnectionLimit(1))
		kept := b.connect(b.settings.CallersAddress)
		kept.write(requestText("/unsafe/", "Content-Length: 0\r\n"))
		assert.False(t, kept.response().Close, "no connection waits")
		kept.write(requestText("/unsafe/", "Content-Length: 0\r\n"))
		synctest.Wait()
		waiting := b.connect(b.settings.CallersAddress)
		assert.True(t, kept.response().Close, "another connection waits")
		waiting.write(requestText("/unsafe/", "Content-Length: 0\r\n"))
		assert.False(t, waiting.response().Close, "no connection waits")
	})
}

// TestNearlyFullBoxKeepsConnections guards against callers whose next request has no response since their connections are
// closed in favour of new ones.
func TestNearlyFullBoxKeepsConnections(t *testing.T) {
	const room = 16
	runWithFleet(t, func(f *fleet) {
		t := f.t
		f.upstream("u1", respondWith("done"))
		b := f.box(1, withConnectionLimit(room))
		kept := []*rawCaller{}
		for range 3 * room {
			caller := b.connect(b.settings.CallersAddress)
			caller.write(requestText("/unsafe/", "Content-Length: 0\r\n"))
			if !caller.response().Close {
				kept = append(kept, caller)
				continue
			}
			require.NoError(t, caller.conn.Close())
			synctest.Wait()
		}
		assert.GreaterOrEqual(t, len(kept), room/2)
		for _, caller := range kept {
			caller.write(requestText("/unsafe/", "Content-Length: 0\r\n"))
			caller.assertServed()
		}
	})
}

// TestStopAnswersPipelinedRequests guards against requests that wait behind a response which announces a close.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		f.upstream("u1", func(http.ResponseWriter, *http.Request) { advance(t, time.Second) })
		b := f.box(1)
		caller := b.connect(b.settings.CallersAddress)
		text := requestText("/unsafe/", "Content-Length: 0\r\n")
		caller.write(text + text + text)
		synctest.Wait()
		b.stop()
		for _, last := range []bool{false, false, true} {
			response := caller.response()
			assert.Equal(t, http.StatusOK, response.StatusCode)
			assert.Equal(t, last, response.Close)
		}
	})
}

// TestStopTellsEndlessPipelines guards against a caller that always sends more, hears nothing of a stop and is cut at its
// end.
func TestStopTellsEndlessPipelines(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		f.upstream("u1", func(http.ResponseWriter, *http.Request) { advance(t, time.Second/50) })
		b := f.box(1)
		caller := b.connect(b.settings.CallersAddress)
		// Each read of the server ends inside a request, and more waits.
		text := strings.Repeat(requestText("/unsafe/", "Content-Length: 0\r\n"), 100)
		go func() {
			for err := error(nil); err == nil; {
				_, err = io.WriteString(caller.conn, text)
			}
		}()
		synctest.Wait()
		b.stop()
		stopped := time.Now()
		response := caller.response()
		for ; !response.Close; response = caller.response() {
			assert.Equal(t, http.StatusOK, response.StatusCode)
		}
		assert.Equal(t, http.StatusOK, response.StatusCode, "the caller is told before its requests are refused")
		halfMs := shutdownGrace(b.Settings()) / 2
		// The requests of one read of the server, some 40, are answered before.
		assert.LessOrEqual(t, time.Since(stopped), (halfMs + clock.Second).Duration())
	})
}
