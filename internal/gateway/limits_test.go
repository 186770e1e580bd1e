package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/pkg/config"
)

func TestHeaderLimit(t *testing.T) {
	for _, c := range []struct {
		name   string
		limit  int
		header int
		status int
	}{
		{"below the operators' limit", 64 << 10, 60 << 10, http.StatusOK},
		{"above the operators' limit", 16 << 10, 17 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{"without a limit", 0, 60 << 10, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t := f.t
				limited := content(2)
				limited.Limits.MaxHeaderBytes = c.limit
				f.store.setState(t, limited)
				f.upstream("u1", respondWith("done"))
				response, err := f.box(1).send(t.Context(), call{
					method: http.MethodGet, path: "/safe/", id: "1", key: key,
					header: http.Header{"X-Long": {strings.Repeat("x", c.header)}},
				})
				require.NoError(t, err)
				assert.Equal(t, c.status, response.StatusCode)
			})
		})
	}
}

func TestUnfinishedHeadersFitIntoTheMemory(t *testing.T) {
	for _, c := range []config.Capacity{{MemoryMb: 284, OpenFiles: 4100}, {MemoryMb: 1024, OpenFiles: 4100}, {}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			settings := defaults(config.Gateway{Capacity: c})
			b := &Box{}
			b.settings.Store(&settings)
			connections := int64(settings.Capacity.OpenFiles-reservedFiles) / connectionsDivisor
			assert.Less(t, connections*int64(b.newServer(nil).MaxHeaderBytes), settings.Capacity.MemoryMb*mebibyte)
		})
	}
}

// TestStates applies configurations in quick succession and with many routes.
func TestStates(t *testing.T) {
	t.Run("after many quick versions all boxes have the last one, and no version decreases", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			boxes := f.boxes(3)
			advance(t, 2*time.Second)
			seen := map[*running]int64{}
			const versions = 40
			for version := range int64(versions) {
				f.store.setState(t, content(2+version))
				advance(t, 50*time.Millisecond)
				for _, b := range boxes {
					now := b.routingState.State().Version()
					assert.GreaterOrEqual(t, now, seen[b])
					seen[b] = now
				}
			}
			advance(t, time.Second)
			for _, b := range boxes {
				assert.EqualValues(t, 1+versions, b.routingState.State().Version())
			}
		})
	})
	t.Run("hundreds of routes reach a box that does not read the store", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			second := f.boxes(2)[1]
			advance(t, time.Second)
			f.store.setUnavailable("box-2", true)
			grown := content(2)
			for i := range 600 {
				r := grown.Routes[0]
				r.Name, r.PathPrefix = fmt.Sprint("grown", i), fmt.Sprint("/grown/", i, "/")
				grown.Routes = append(grown.Routes, r)
			}
			f.store.setState(t, grown)
			advance(t, 2*time.Second)
			assertStatus(t, second, "/grown/0/x", http.StatusOK)
			assertStatus(t, second, "/grown/599/x", http.StatusOK)
			assertStatus(t, second, "/grown/600/x", http.StatusNotFound)
		})
	})
	t.Run("a fleet that starts with a slow store first refuses with Retry-After and then serves", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			f.store.setReadDelay(2 * clock.Second)
			boxes := f.boxes(2)
			for _, b := range boxes {
				response, err := b.send(t.Context(), call{method: http.MethodGet, path: "/safe/", id: "1", key: key})
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
				assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				assert.NotEmpty(t, response.Header.Get("Retry-After"))
				assert.False(t, b.Ready())
			}
			advance(t, 3*time.Second)
			for _, b := range boxes {
				assertStatus(t, b, "/safe/", http.StatusOK)
				assert.True(t, b.Ready())
			}
		})
	})
}

// TestClocks changes a box's clocks as a pause of the process and a step of the wall clock do.
func TestClocks(t *testing.T) {
	t.Run("a box that was paused trusts no key before it has refreshed its state", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", respondWith("done"))
			b := f.box(1)
			advance(t, time.Second)
			assertStatus(t, b, "/safe/", http.StatusOK)
			revoked := content(2)
			revoked.Organisations = []routing.Organisation{{Name: "other", Keys: []string{"other"}}}
			f.store.setUnavailable("box-1", true)
			f.store.setState(t, revoked)
			// A box that was paused sees its monotonic clock jump forward.
			f.advanceMonotonic(maxAgeMs)
			assertStatus(t, b, "/safe/", http.StatusServiceUnavailable)
			f.store.setUnavailable("box-1", false)
			advance(t, time.Second)
			assertStatus(t, b, "/safe/", http.StatusUnauthorized)
		})
	})
	t.Run("steps of the wall clock have no effect", func(t *testing.T) {
		for _, step := range []clock.Millis{-6 * clock.Second, 6 * clock.Second} {
			runWithFleet(t, func(f *fleet) {
				t := f.t
				f.upstream("u1", respondWith("done"))
				second := f.boxes(2)[1]
				advance(t, time.Second)
				f.stepWallClock(step)
				advance(t, time.Second)
				assertStatus(t, second, "/safe/", http.StatusOK)
				f.store.setUnavailable("box-1", true)
				f.store.setUnavailable("box-2", true)
				advance(t, (maxAgeMs+1000)*time.Millisecond)
				assertStatus(t, second, "/safe/", http.StatusServiceUnavailable)
				assertStatus(t, second, "/public/", http.StatusOK)
			})
		}
	})
}

// TestBodyMemoryLimit sends a body that exceeds the memory for buffered request bodies.
func TestBodyMemoryLimit(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		var arrivals atomic.Int32
		f.upstream("u1", countRequests(&arrivals, respondWith("done")))
		b := f.box(1, func(g *config.Gateway) { g.Capacity.MemoryMb = 1 })
		advance(t, time.Second)
		// Only the headers are sent, since a refusal may close the connection while a body is in flight.
		conn, err := f.network.Host("caller").Dial(t.Context(), "tcp", b.settings.CallersAddress)
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "POST /unsafe/ HTTP/1.1\r\nHost: %s\r\nAuthorization: %s\r\nContent-Length: %d\r\n\r\n",
			host, key, b.bodyMemory()+1)
		require.NoError(t, err)
		refused, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
		assert.NotEmpty(t, refused.Header.Get("Retry-After"))
		assert.Zero(t, arrivals.Load(), "nothing ran")
		require.NoError(t, conn.Close())
		response, err := b.send(t.Context(), call{
			method: http.MethodPost, path: "/unsafe/", id: "1", key: key, body: strings.Repeat("x", int(b.bodyMemory())/2),
		})
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, response.StatusCode)
	})
}

// TestConnectionLimit opens more connections than the open files of a box allow.
func TestConnectionLimit(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		t := f.t
		const limit = 4
		release := make(chan struct{})
		f.upstream("u1", func(w http.ResponseWriter, _ *http.Request) {
			<-release
			_, _ = io.WriteString(w, "done")
		})
		b := f.box(1, withConnectionLimit(limit))
		advance(t, time.Second)
		answers := make(chan int, 2*limit)
		for range 2 * limit {
			go func() {
				status, _, err := b.get("/safe/")
				if err != nil {
					status = 0
				}
				answers <- status
			}()
		}
		advance(t, 100*time.Millisecond)
		assert.LessOrEqual(t, f.inFlightAt(b), limit)
		close(release)
		for range 2 * limit {
			assert.Equal(t, http.StatusOK, <-answers, "waiting requests are served afterwards")
		}
	})
}
