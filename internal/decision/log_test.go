package decision

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/logging"
)

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(data []byte) (int, error) {
	<-s.unblock
	return s.Buffer.Write(data)
}

func newLog(t *testing.T, out *blockedWriter, settings Settings) *Log {
	t.Helper()
	logger, err := logging.New(out, "")
	require.NoError(t, err)
	return New(settings, clock.New(), logger.Core())
}

// lines returns the messages of the log lines in order.
func lines(t *testing.T, out *bytes.Buffer) []string {
	t.Helper()
	messages := []string{}
	decoder := json.NewDecoder(out)
	for decoder.More() {
		var line struct {
			Msg string `json:"msg"`
		}
		require.NoError(t, decoder.Decode(&line))
		messages = append(messages, line.Msg)
	}
	return messages
}

func TestRecord(t *testing.T) {
	t.Run("never blocks on a blocked output", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			out := &blockedWriter{unblock: make(chan struct{})}
			l := newLog(t, out, Settings{MaxLinesPerSecond: 1000, QueueCapacity: 4})
			ctx, cancel := context.WithCancel(t.Context())
			go l.Run(ctx)
			for range 100 {
				l.Record(RequestEnded{Request: "r"})
			}
			l.Record(RequestEnded{Request: "bad", Cause: "no_route"})
			synctest.Wait()
			assert.Positive(t, l.DroppedLines())
			close(out.unblock)
			synctest.Wait()
			cancel()
			synctest.Wait()
			assert.Contains(t, out.String(), `"bad"`, "important events must not be crowded out by routine ones")
		})
	})
	t.Run("enforces the line rate limit and reports dropped lines", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			out := &blockedWriter{unblock: make(chan struct{})}
			close(out.unblock)
			l := newLog(t, out, Settings{MaxLinesPerSecond: 10, QueueCapacity: 100})
			ctx, cancel := context.WithCancel(t.Context())
			go l.Run(ctx)
			for range 20 {
				l.Record(RequestEnded{Request: "good"})
				l.Record(RequestEnded{Request: "bad", Cause: "no_route"})
			}
			synctest.Wait()
			assert.Equal(t, 10, bytes.Count(out.Bytes(), []byte("request ended")))
			assert.Equal(t, 5, bytes.Count(out.Bytes(), []byte(`"bad"`)))
			require.NoError(t, clock.New().Sleep(ctx, clock.Second))
			l.Record(Process{What: "stopping"})
			synctest.Wait()
			cancel()
			synctest.Wait()
			messages := lines(t, &out.Buffer)
			assert.Equal(t, []string{"lines dropped", "stopping"}, messages[len(messages)-2:])
		})
	})
}

func TestStopIsNotCrowdedOutByRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{unblock: make(chan struct{})}
		l := newLog(t, out, Settings{MaxLinesPerSecond: 10, QueueCapacity: 100})
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		stages := []string{"stopping", "listeners close", "requests cut", "stopped"}
		for _, stage := range stages {
			for range 100 {
				l.Record(RequestEnded{Request: "bad", Cause: "no_route"})
			}
			l.Record(Stop{Stage: stage})
		}
		for range 100 {
			l.Record(Process{What: "signal received"})
		}
		close(out.unblock)
		synctest.Wait()
		cancel()
		synctest.Wait()
		messages := lines(t, &out.Buffer)
		assert.Subset(t, messages, stages)
		limited := slices.DeleteFunc(messages, func(message string) bool { return message == "lines dropped" })
		assert.LessOrEqual(t, len(limited), 5+maxProcessLinesPerSecond, "the lines stay limited")
	})
}

// failingWriter is an output whose reader has gone until it is restored.
type failingWriter struct {
	restored bool
	bytes.Buffer
}

func (w *failingWriter) Write(data []byte) (int, error) {
	if !w.restored {
		return 0, syscall.EPIPE
	}
	return w.Buffer.Write(data)
}

func TestRunEndsWithBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{unblock: make(chan struct{})}
		defer close(out.unblock)
		l := newLog(t, out, Settings{MaxLinesPerSecond: 1000, QueueCapacity: 4})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			l.Run(ctx)
			close(ended)
		}()
		l.Record(Process{What: "stopping"})
		synctest.Wait()
		cancel()
		select {
		case <-ended:
		case <-time.After(time.Second):
			require.Fail(t, "Run waits for a reader of its output")
		}
	})
}

func TestLinesThatCanNotBeWrittenAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &failingWriter{}
		logger, err := logging.New(out, "")
		require.NoError(t, err)
		l := New(Settings{MaxLinesPerSecond: 1000, QueueCapacity: 4}, clock.New(), logger.Core())
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		for range 3 {
			l.Record(Process{What: "lost"})
			time.Sleep(2 * time.Second)
		}
		assert.Equal(t, int64(3), l.DroppedLines())
		out.restored = true
		l.Record(Process{What: "written"})
		synctest.Wait()
		cancel()
		synctest.Wait()
		assert.Equal(t, []string{"lines dropped", "written"}, lines(t, &out.Buffer))
	})
}
