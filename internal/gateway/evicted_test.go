package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
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
		kept.assertServed()
		_, err := kept.reader.ReadByte()
		require.Error(t, err, "the connection is closed in favour of the waiting one")
		waiting.write(text)
		waiting.assertServed()
		assert.EqualValues(t, 2, served.Load(), "requests that reached the upstream")
	})
}
