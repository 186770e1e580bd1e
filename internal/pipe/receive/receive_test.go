package receive

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/routing"
)

// newRequest returns a request with a body of a length, or of an unknown one if it is negative.
func newRequest(t *testing.T, body io.Reader, length int64) *opaque.Request {
	t.Helper()
	state, err := routing.New(routing.Content{Version: 1})
	require.NoError(t, err)
	incoming := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", body)
	incoming.ContentLength = length
	return &opaque.Request{
		HTTP: incoming, Writer: exchange.NewWriter(httptest.NewRecorder()), State: state, DeadlineMs: clock.Second,
		Dialect: &opaque.Dialect{},
	}
}

func newPipe(maxBytes int64) *Pipe {
	return New(maxBytes, func() clock.Millis { return 0 }, context.Background())
}

// slowBody has sent some bytes, and reports when more are awaited.
type slowBody struct {
	sent    *bytes.Reader
	awaited chan struct{}
	more    chan struct{}
}

func newSlowBody(bytesSent int) *slowBody {
	return &slowBody{sent: bytes.NewReader(make([]byte, bytesSent)), awaited: make(chan struct{}), more: make(chan struct{})}
}

func (b *slowBody) Read(part []byte) (int, error) {
	if b.sent.Len() > 0 {
		return b.sent.Read(part)
	}
	close(b.awaited)
	<-b.more
	return 0, io.ErrUnexpectedEOF
}

func assertBoxFull(t *testing.T, err error) {
	t.Helper()
	var refusal *opaque.RefusalError
	require.ErrorAs(t, err, &refusal)
	assert.Equal(t, opaque.BoxFull, refusal.Cause)
}

// TestBodiesBeingRead guards against callers that hold more memory than the limit with bodies that they send slowly.
func TestBodiesBeingRead(t *testing.T) {
	for name, length := range map[string]int64{"of a declared length": firstBufferBytes, "of an unknown length": -1} {
		t.Run(name, func(t *testing.T) {
			p := newPipe(3 * firstBufferBytes)
			results := make(chan error)
			bodies := []*slowBody{}
			for range 3 {
				body := newSlowBody(10)
				bodies = append(bodies, body)
				r := newRequest(t, body, length)
				go func() { results <- p.Run(r) }()
				select {
				case <-body.awaited:
				case err := <-results:
					require.NoError(t, err)
				}
			}
			assert.EqualValues(t, 3*firstBufferBytes, p.bufferedBytes.Load())
			assertBoxFull(t, p.Run(newRequest(t, bytes.NewReader([]byte("x")), -1)))
			for _, body := range bodies {
				close(body.more)
				require.Error(t, <-results)
			}
			assert.Zero(t, p.bufferedBytes.Load(), "bodies that were not complete")
		})
	}
	t.Run("a long body of which little was sent takes little", func(t *testing.T) {
		p, body, result := newPipe(1<<30), newSlowBody(10), make(chan error)
		r := newRequest(t, body, 1<<20)
		go func() { result <- p.Run(r) }()
		<-body.awaited
		assert.EqualValues(t, firstBufferBytes, p.bufferedBytes.Load())
		close(body.more)
		require.Error(t, <-result)
	})
}

// TestBodyBuffers guards against bodies that are counted wrongly, so that the limit holds too late or for ever.
func TestBodyBuffers(t *testing.T) {
	for _, size := range []int{1, firstBufferBytes - 1, firstBufferBytes, firstBufferBytes + 1, 5 * firstBufferBytes} {
		for name, length := range map[string]int64{"declared": int64(size), "unknown": -1} {
			t.Run(name, func(t *testing.T) {
				data := bytes.Repeat([]byte("x"), size)
				p := newPipe(1 << 30)
				r := newRequest(t, bytes.NewReader(data), length)
				require.NoError(t, p.Run(r))
				assert.True(t, bytes.Equal(data, r.Body))
				assert.EqualValues(t, cap(r.Body), p.bufferedBytes.Load())
				p.Done(r)
				assert.Zero(t, p.bufferedBytes.Load())
			})
		}
	}
	t.Run("a body that grows beyond the limit is refused", func(t *testing.T) {
		p := newPipe(4 * firstBufferBytes)
		assertBoxFull(t, p.Run(newRequest(t, bytes.NewReader(make([]byte, 8*firstBufferBytes)), -1)))
		assert.Zero(t, p.bufferedBytes.Load())
	})
	t.Run("a request without a body takes nothing", func(t *testing.T) {
		p := newPipe(0)
		r := newRequest(t, http.NoBody, 0)
		require.NoError(t, p.Run(r))
		assert.Nil(t, r.Body)
		p.Done(r)
		assert.Zero(t, p.bufferedBytes.Load())
	})
	t.Run("a broken body takes nothing", func(t *testing.T) {
		p := newPipe(1 << 30)
		broken := io.MultiReader(bytes.NewReader(make([]byte, 3*firstBufferBytes)), errReader{})
		require.Error(t, p.Run(newRequest(t, broken, -1)))
		assert.Zero(t, p.bufferedBytes.Load())
	})
}

type errReader struct{}

var errTest = errors.New("broken")

func (errReader) Read([]byte) (int, error) { return 0, errTest }
