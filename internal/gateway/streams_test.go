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

// events writes numbered events and then does something else.
func events(first, last int, then http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := first; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
		}
		then(w, r)
	}
}

func ends(http.ResponseWriter, *http.Request) {}

// torn breaks off within an event.
func torn(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "id: 99\nda")
	_ = http.NewResponseController(w).Flush()
	broken(w, r)
}

const fiveEvents = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\n"

func TestStreams(t *testing.T) {
	t.Run("a resumable stream goes on elsewhere without a gap or a double", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			handler := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Last-Event-Id") == "3" {
					events(4, 5, ends)(w, r)
					return
				}
				events(1, 3, torn)(w, r)
			}
			f.upstream("u1", handler)
			f.upstream("u2", handler)
			status, body, err := f.box(1).get("/resumable/")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, fiveEvents, body)
		})
	})
	t.Run("a resumable stream that broke before its first event begins again", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			var calls atomic.Int32
			handler := func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					events(1, 0, torn)(w, r)
					return
				}
				events(1, 5, ends)(w, r)
			}
			f.upstream("u1", handler)
			f.upstream("u2", handler)
			_, body, err := f.box(1).get("/resumable/")
			require.NoError(t, err)
			assert.Equal(t, fiveEvents, body)
		})
	})
	t.Run("a resumable stream behind a way that falls silent goes on elsewhere within 0.5 s", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			began := make(chan struct{})
			handler := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Last-Event-Id") == "3" {
					events(4, 5, ends)(w, r)
					return
				}
				events(1, 3, func(http.ResponseWriter, *http.Request) {})(w, r)
				_ = http.NewResponseController(w).Flush()
				close(began)
				<-r.Context().Done()
			}
			f.upstreamIn("near", "d", handler)
			f.upstreamIn("far", "e", handler)
			b := f.box(1)
			f.box(2, func(g *config.Gateway) { g.Contacts = []string{b.settings.PeersAddress} })
			pass(t, time.Second)
			silentSince := make(chan time.Time, 1)
			go func() {
				<-began
				silentSince <- time.Now()
				f.network.SetSilent(func(from, to string) bool {
					return (from == "near" || from == "box-2") != (to == "near" || to == "box-2")
				})
			}()
			_, body, err := b.get("/resumable/")
			require.NoError(t, err)
			assert.Equal(t, fiveEvents, body)
			assert.Less(t, time.Since(<-silentSince), 500*time.Millisecond)
		})
	})
	t.Run("a resumable stream goes on elsewhere when its events stop coming", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			handler := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Last-Event-Id") == "3" {
					events(4, 5, ends)(w, r)
					return
				}
				events(1, 3, func(w http.ResponseWriter, r *http.Request) {
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
	t.Run("a stream that may not be resumed breaks visibly", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			var arrivals atomic.Int32
			f.upstream("u1", counted(&arrivals, events(1, 3, torn)))
			f.upstream("u2", counted(&arrivals, events(1, 3, torn)))
			_, _, err := f.box(1).get("/stream/")
			require.Error(t, err)
			assert.Equal(t, int32(1), arrivals.Load())
		})
	})
	t.Run("a whole stream comes whole", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", events(1, 5, ends))
			_, body, err := f.box(1).get("/stream/")
			require.NoError(t, err)
			assert.Equal(t, fiveEvents, body)
		})
	})
	t.Run("events come as soon as they are made", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", events(1, 1, func(w http.ResponseWriter, r *http.Request) {
				_ = http.NewResponseController(w).Flush()
				pass(f.t, time.Second)
				events(2, 5, ends)(w, r)
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
