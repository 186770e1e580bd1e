package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/pkg/config"
)

// writeEvents returns a handler that writes numbered events and then calls another handler.
func writeEvents(first, last int, then http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := first; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
		}
		then(w, r)
	}
}

// endStream ends the response normally.
func endStream(http.ResponseWriter, *http.Request) {}

// abortMidEvent closes the connection in the middle of an event.
func abortMidEvent(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "id: 99\nda")
	_ = http.NewResponseController(w).Flush()
	abortConnection(w, r)
}

const fiveEvents = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\n"

func TestStreams(t *testing.T) {
	t.Run("a resumable stream resumes elsewhere without gaps or duplicates", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			handler := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Last-Event-Id") == "3" {
					writeEvents(4, 5, endStream)(w, r)
					return
				}
				writeEvents(1, 3, abortMidEvent)(w, r)
			}
			f.upstream("u1", handler)
			f.upstream("u2", handler)
			status, body, err := f.box(1).get("/resumable/")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, fiveEvents, body)
		})
	})
	t.Run("a resumable stream that breaks before its first event restarts", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			var calls atomic.Int32
			handler := func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					writeEvents(1, 0, abortMidEvent)(w, r)
					return
				}
				writeEvents(1, 5, endStream)(w, r)
			}
			f.upstream("u1", handler)
			f.upstream("u2", handler)
			_, body, err := f.box(1).get("/resumable/")
			require.NoError(t, err)
			assert.Equal(t, fiveEvents, body)
		})
	})
	t.Run("a resumable stream whose network path drops all packets resumes elsewhere within 0.5 s", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			began := make(chan struct{})
			handler := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Last-Event-Id") == "3" {
					writeEvents(4, 5, endStream)(w, r)
					return
				}
				writeEvents(1, 3, func(http.ResponseWriter, *http.Request) {})(w, r)
				_ = http.NewResponseController(w).Flush()
				close(began)
				<-r.Context().Done()
			}
			f.upstreamIn("near", "d", handler)
			f.upstreamIn("far", "e", handler)
			b := f.box(1)
			f.box(2, func(g *config.Gateway) { g.Contacts = []string{b.settings.PeersAddress} })
			advance(t, time.Second)
			silentSince := make(chan time.Time, 1)
			go func() {
				<-began
				silentSince <- time.Now()
				f.network.SetBlackhole(func(from, to string) bool {
					return (from == "near" || from == "box-2") != (to == "near" || to == "box-2")
				})
			}()
			_, body, err := b.get("/resumable/")
			require.NoError(t, err)
			assert.Equal(t, fiveEvents, body)
			assert.Less(t, time.Since(<-silentSince), 500*time.Millisecond)
		})
	})
	t.Run("a resumable stream resumes elsewhere if its events stop", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			handler := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Last-Event-Id") == "3" {
					writeEvents(4, 5, endStream)(w, r)
					return
				}
				writeEvents(1, 3, func(w http.ResponseWriter, r *http.Request) {
					_ = http.NewResponseController(w).Flush()
					<-r.Context().Done()
				})(w, r)
			}
			f.upstream("u1", handler)
			f.upstream("u2", handler)
			b := f.box(1)
			began := time.Now()
			_, body, err := b.get("/resumable/")
			require.NoError(t, err)
			assert.Equal(t, fiveEvents, body)
			assert.Equal(t, 900*time.Millisecond, time.Since(began))
		})
	})
	t.Run("a broken stream that is not resumable fails visibly", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			var arrivals atomic.Int32
			f.upstream("u1", countRequests(&arrivals, writeEvents(1, 3, abortMidEvent)))
			f.upstream("u2", countRequests(&arrivals, writeEvents(1, 3, abortMidEvent)))
			_, _, err := f.box(1).get("/stream/")
			require.Error(t, err)
			assert.Equal(t, int32(1), arrivals.Load())
		})
	})
	t.Run("a complete stream arrives completely", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", writeEvents(1, 5, endStream))
			_, body, err := f.box(1).get("/stream/")
			require.NoError(t, err)
			assert.Equal(t, fiveEvents, body)
		})
	})
	t.Run("events are forwarded without delay", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", writeEvents(1, 1, func(w http.ResponseWriter, r *http.Request) {
				_ = http.NewResponseController(w).Flush()
				advance(f.t, time.Second)
				writeEvents(2, 5, endStream)(w, r)
			}))
			response, err := f.box(1).send(t.Context(), call{method: "GET", path: "/stream/", id: "1", key: key})
			require.NoError(t, err)
			began := time.Now()
			buffer := make([]byte, len("id: 1\ndata: 1\n\n"))
			_, err = io.ReadFull(response.Body, buffer)
			require.NoError(t, err)
			assert.Equal(t, began, time.Now())
			_, err = io.ReadAll(response.Body)
			require.NoError(t, err)
		})
	})
}
