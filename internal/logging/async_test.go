package logging

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// blockedWriter blocks until it is unblocked.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.unblock
	return w.Buffer.Write(data)
}

func TestAsyncWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{unblock: make(chan struct{})}
		w := NewAsyncWriter(out)
		defer close(w.queue)
		const extra = 10
		// One write is taken from the queue and blocks.
		for range 1 + asyncCapacity + extra {
			_, err := w.Write([]byte("line\n"))
			require.NoError(t, err)
			synctest.Wait()
		}
		assert.EqualValues(t, extra, w.Dropped())
		start := time.Now()
		w.Flush(time.Second)
		assert.Equal(t, time.Second, time.Since(start))
		close(out.unblock)
		w.Flush(time.Second)
		assert.Equal(t, 1+asyncCapacity, bytes.Count(out.Bytes(), []byte("line\n")))
		assert.Contains(t, out.String(), `"lines":10`)
	})
}
