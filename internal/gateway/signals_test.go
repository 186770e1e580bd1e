package gateway

import (
	"bytes"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/why"
)

// requestBackoff returns a handler that refuses a request and asks for a backoff.
func requestBackoff(span string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerBackoffMs, span)
		respondNotRun(w, r)
	}
}

// logBuffer is an in-memory log.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(part []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.Write(part)
}

// String returns what was written so far.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.String()
}

// read returns the lines written so far.
func (l *logBuffer) read(t *testing.T) []why.Line {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	all, err := why.Read(nil, bytes.NewReader(l.data.Bytes()))
	require.NoError(t, err)
	return all
}

// withMessage returns the lines with a message.
func withMessage(all []why.Line, message string) []why.Line {
	found := []why.Line{}
	for _, line := range all {
		if line.Message == message {
			found = append(found, line)
		}
	}
	return found
}

func TestSignals(t *testing.T) {
	t.Run("a stream is not resumed at an upstream that is backing off", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			var backingOff atomic.Int32
			f.upstream("u1", countRequests(&backingOff, requestBackoff("5000")))
			b := f.box(1)
			advance(f.t, time.Second)
			_, _, err := b.get("/unsafe/")
			require.NoError(f.t, err)
			handler := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Last-Event-Id") == "3" {
					writeEvents(4, 5, endStream)(w, r)
					return
				}
				writeEvents(1, 3, abortMidEvent)(w, r)
			}
			f.upstream("u2", handler)
			f.upstream("u3", handler)
			advance(f.t, time.Second)
			for range 10 {
				_, body, err := b.get("/resumable/")
				require.NoError(f.t, err)
				assert.Equal(f.t, fiveEvents, body)
			}
			assert.EqualValues(f.t, 1, backingOff.Load())
		})
	})
	t.Run("an upstream that says it is slow is passed over by all boxes for a while", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			var arrivals atomic.Int32
			log := &logBuffer{}
			f.out = log
			f.upstream("u1", countRequests(&arrivals, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Load", "0")
				w.Header().Set(headerSlow, "300")
			}))
			f.upstream("u2", func(http.ResponseWriter, *http.Request) {})
			boxes := []*running{f.box(1), f.box(2)}
			advance(f.t, 3*time.Second)
			for range 20 {
				for _, b := range boxes {
					_, _, err := b.get("/unsafe/")
					require.NoError(f.t, err)
					advance(f.t, 5*time.Millisecond)
				}
			}
			assert.EqualValues(f.t, 1, arrivals.Load())
			advance(f.t, time.Second)
			lines := withMessage(log.read(f.t), "upstream slow")
			require.Len(f.t, lines, len(boxes))
			assert.JSONEq(f.t, "300", string(lines[0].Fields["percent"]))
			paces := ""
			for _, b := range boxes {
				paces += b.metrics.all.Get("upstream_paces").String()
			}
			assert.Regexp(f.t, `"passed_over":[1-9]`, paces)
		})
	})
	t.Run("an invalid backoff is ignored, counted and logged once", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			var arrivals atomic.Int32
			log := &logBuffer{}
			f.out = log
			f.upstream("u1", countRequests(&arrivals, requestBackoff("soon")))
			b := f.box(1)
			advance(f.t, time.Second)
			for range 5 {
				_, _, err := b.get("/unsafe/")
				require.NoError(f.t, err)
			}
			advance(f.t, time.Second)
			assert.EqualValues(f.t, 5, arrivals.Load())
			assert.Equal(f.t, "5", b.metrics.all.Get("inputs_ignored").String())
			assert.Len(f.t, withMessage(log.read(f.t), "input ignored"), 1)
		})
	})
	t.Run("log lines link a refused request to the backoff that caused the refusal", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			log := &logBuffer{}
			f.out = log
			f.upstream("u1", requestBackoff("60000"))
			b := f.box(1)
			advance(f.t, time.Second)
			_, _, err := b.get("/unsafe/")
			require.NoError(f.t, err)
			advance(f.t, 30*time.Second)
			response, err := b.send(f.t.Context(), call{method: http.MethodGet, path: "/unsafe/", id: "refused", key: key})
			require.NoError(f.t, err)
			require.NoError(f.t, response.Body.Close())
			assert.Equal(f.t, http.StatusServiceUnavailable, response.StatusCode)
			advance(f.t, time.Second)
			story := why.RequestLines(log.read(f.t), "refused", 0)
			require.Len(f.t, withMessage(story, "upstream asks for rest"), 1)
			backoff := withMessage(story, "upstream asks for rest")[0]
			assert.JSONEq(f.t, `"1"`, string(backoff.Fields["answer_to"]))
			assert.EqualValues(f.t, 60_000, backoff.BackoffMs)
			ended := withMessage(story, "request ended")
			require.Len(f.t, ended, 1)
			assert.JSONEq(f.t, `"upstreams_at_rest"`, string(ended[0].Fields["cause"]))
			assert.Contains(f.t, string(ended[0].Fields["error"]), "request 1")
			assert.Contains(f.t, b.metrics.all.Get("upstreams_at_rest").String(), `"p":1`)
			assert.Equal(f.t, "1", b.metrics.all.Get("upstream_rests_heard").String())
		})
	})
	t.Run("signals of another upstream at the same address do not apply to the picked one", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			var arrivals atomic.Int32
			f.upstream("u1", countRequests(&arrivals, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(headerBackoffMs, "5000")
				w.Header().Set(headerDraining, "1")
				w.WriteHeader(http.StatusMisdirectedRequest)
			}))
			b := f.box(1)
			advance(f.t, time.Second)
			for range 2 {
				_, _, err := b.get("/unsafe/")
				require.NoError(f.t, err)
				advance(f.t, 4*time.Second)
			}
			assert.EqualValues(f.t, 2, arrivals.Load())
		})
	})
	t.Run("after a backoff requested with 429 single requests probe the upstream", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			var arrivals atomic.Int32
			f.upstream("u1", func(w http.ResponseWriter, r *http.Request) {
				if arrivals.Add(1) > 1 {
					_ = f.clock.Sleep(r.Context(), 200)
					return
				}
				w.Header().Set(headerBackoffMs, "1000")
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusTooManyRequests)
			})
			b := f.box(1)
			advance(f.t, time.Second)
			_, _, err := b.get("/unsafe/")
			require.NoError(f.t, err)
			f.upstream("u2", respondWith("done"))
			advance(f.t, 2*time.Second)
			var sent sync.WaitGroup
			for range 8 {
				sent.Go(func() { _, _, _ = b.get("/unsafe/") })
			}
			sent.Wait()
			assert.LessOrEqual(f.t, arrivals.Load(), int32(2), "only one request probes it until it responds")
		})
	})
	t.Run("a running request completes at an upstream that starts draining", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.upstream("u1", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(headerDraining, "1")
				writeEvents(1, 3, func(w http.ResponseWriter, r *http.Request) {
					_ = http.NewResponseController(w).Flush()
					if f.clock.Sleep(r.Context(), 250) == nil {
						_, _ = w.Write([]byte("id: 4\ndata: 4\n\nid: 5\ndata: 5\n\n"))
					}
				})(w, r)
			})
			_, body, err := f.box(1).get("/stream/")
			require.NoError(f.t, err)
			assert.Equal(f.t, fiveEvents, body)
		})
	})
}
