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
		{"within the operators' limit", 64 << 10, 60 << 10, http.StatusOK},
		{"above the operators' limit", 16 << 10, 17 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{"without a limit", 0, 60 << 10, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(f *fleet) {
				t := f.t
				limited := content(2)
				limited.Limits.MaxHeaderBytes = c.limit
				f.store.setState(t, limited)
				f.upstream("u1", answer("done"))
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

// TestStates has configurations come in quick succession, and grow by many routes.
func TestStates(t *testing.T) {
	t.Run("a storm of versions ends with the last on all boxes, and none goes back", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			boxes := f.boxes(3)
			pass(t, 2*time.Second)
			seen := map[*running]int64{}
			const versions = 40
			for version := range int64(versions) {
				f.store.setState(t, content(2+version))
				pass(t, 50*time.Millisecond)
				for _, b := range boxes {
					now := b.belief.State().Version()
					assert.GreaterOrEqual(t, now, seen[b])
					seen[b] = now
				}
			}
			pass(t, time.Second)
			for _, b := range boxes {
				assert.EqualValues(t, 1+versions, b.belief.State().Version())
			}
		})
	})
	t.Run("hundreds of routes reach a box that does not read the store", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", answer("done"))
			second := f.boxes(2)[1]
			pass(t, time.Second)
			f.store.setAway("box-2", true)
			grown := content(2)
			for i := range 600 {
				r := grown.Routes[0]
				r.Name, r.PathPrefix = fmt.Sprint("grown", i), fmt.Sprint("/grown/", i, "/")
				grown.Routes = append(grown.Routes, r)
			}
			f.store.setState(t, grown)
			pass(t, 2*time.Second)
			assertStatus(t, second, "/grown/0/x", http.StatusOK)
			assertStatus(t, second, "/grown/599/x", http.StatusOK)
			assertStatus(t, second, "/grown/600/x", http.StatusNotFound)
		})
	})
	t.Run("a fleet that starts while the store is slow says when to come back, then serves", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", answer("done"))
			f.store.setSlow(2 * clock.Second)
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
			pass(t, 3*time.Second)
			for _, b := range boxes {
				assertStatus(t, b, "/safe/", http.StatusOK)
				assert.True(t, b.Ready())
			}
		})
	})
}

// TestClocks has a box's clocks do what they do while it stands still, or when the
// time of day is set.
func TestClocks(t *testing.T) {
	t.Run("a box that stood still trusts no key before it has heard anew", func(t *testing.T) {
		bubble(t, func(f *fleet) {
			t := f.t
			f.upstream("u1", answer("done"))
			b := f.box(1)
			pass(t, time.Second)
			assertStatus(t, b, "/safe/", http.StatusOK)
			without := content(2)
			without.Organisations = []routing.Organisation{{Name: "other", Keys: []string{"other"}}}
			f.store.setAway("box-1", true)
			f.store.setState(t, without)
			// What a box that stood still sees: its steady clock is later at once.
			f.skipSteady(maxAgeMs)
			assertStatus(t, b, "/safe/", http.StatusServiceUnavailable)
			f.store.setAway("box-1", false)
			pass(t, time.Second)
			assertStatus(t, b, "/safe/", http.StatusUnauthorized)
		})
	})
	t.Run("steps of the time of day change nothing", func(t *testing.T) {
		for _, step := range []clock.Millis{-6 * clock.Second, 6 * clock.Second} {
			bubble(t, func(f *fleet) {
				t := f.t
				f.upstream("u1", answer("done"))
				second := f.boxes(2)[1]
				pass(t, time.Second)
				f.stepNow(step)
				pass(t, time.Second)
				assertStatus(t, second, "/safe/", http.StatusOK)
				f.store.setAway("box-1", true)
				f.store.setAway("box-2", true)
				pass(t, (maxAgeMs+1000)*time.Millisecond)
				assertStatus(t, second, "/safe/", http.StatusServiceUnavailable)
				assertStatus(t, second, "/public/", http.StatusOK)
			})
		}
	})
}

// TestBodiesHeld has a body arrive that does not fit into the part of the box's memory
// that bodies may take.
func TestBodiesHeld(t *testing.T) {
	bubble(t, func(f *fleet) {
		t := f.t
		var arrivals atomic.Int32
		f.upstream("u1", counted(&arrivals, answer("done")))
		b := f.box(1, func(g *config.Gateway) { g.Capacity.MemoryMb = 1 })
		pass(t, time.Second)
		// Only the head is sent: a refusal may close the connection on a body under way.
		conn, err := f.network.Host("caller").Dial(t.Context(), "tcp", b.settings.CallersAddress)
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "POST /unsafe/ HTTP/1.1\r\nHost: %s\r\nAuthorization: %s\r\nContent-Length: %d\r\n\r\n",
			host, key, b.heldBytes()+1)
		require.NoError(t, err)
		refused, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
		assert.NotEmpty(t, refused.Header.Get("Retry-After"))
		assert.Zero(t, arrivals.Load(), "nothing ran")
		require.NoError(t, conn.Close())
		response, err := b.send(t.Context(), call{
			method: http.MethodPost, path: "/unsafe/", id: "1", key: key, body: strings.Repeat("x", int(b.heldBytes())/2),
		})
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, response.StatusCode)
	})
}

// TestConnectionLimit has more callers connect than a box has files for.
func TestConnectionLimit(t *testing.T) {
	bubble(t, func(f *fleet) {
		t := f.t
		const most = 4
		release := make(chan struct{})
		f.upstream("u1", func(w http.ResponseWriter, _ *http.Request) {
			<-release
			_, _ = io.WriteString(w, "done")
		})
		b := f.box(1, capacityFor(most))
		pass(t, time.Second)
		answers := make(chan int, 2*most)
		for range 2 * most {
			go func() {
				status, _, err := b.get("/safe/")
				if err != nil {
					status = 0
				}
				answers <- status
			}()
		}
		pass(t, 100*time.Millisecond)
		assert.LessOrEqual(t, f.inFlightAt(b), most)
		close(release)
		for range 2 * most {
			assert.Equal(t, http.StatusOK, <-answers, "those that waited are served afterwards")
		}
	})
}
