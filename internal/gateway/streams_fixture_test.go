package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/pkg/config"
)

// lastBeforePause is the event after which the streams of streamOf pause.
const lastBeforePause = 3

// streamOf returns a handler that writes five events, each with the software version, from the one after
// Last-Event-Id on. After the third event it calls then.
func streamOf(version string, then http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := after + 1; i <= 5; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, version)
			if i == lastBeforePause {
				_ = http.NewResponseController(w).Flush()
				then(w, r)
				return
			}
		}
	}
}

// pause waits until the caller disconnects.
func pause(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// versionsIn returns the software versions that wrote the events of a body.
func versionsIn(body string) []string {
	versions := []string{}
	for line := range strings.Lines(body) {
		if version, found := strings.CutPrefix(line, "data: "); found {
			versions = append(versions, strings.TrimSpace(version))
		}
	}
	return versions
}

// upstreamVersion starts an upstream that runs a software version, and registers it. The returned function replaces
// its handler, as a restart does.
func (f *fleet) upstreamVersion(id, domain, version string, handler http.HandlerFunc) (restart func(http.HandlerFunc)) {
	f.t.Helper()
	var current atomic.Pointer[http.HandlerFunc]
	current.Store(&handler)
	address := f.server(id, func(w http.ResponseWriter, r *http.Request) {
		w.Header()["X-Id"] = r.Header["X-Id"]
		(*current.Load())(w, r)
	})
	f.store.put(registry.Upstream{
		ID: id, Pool: "p", Address: address, FailureDomain: domain, SoftwareVersion: version, Slots: 64,
	})
	return func(next http.HandlerFunc) { current.Store(&next) }
}

// pausingUpstreams starts upstreams whose streams pause after the third event. The names tell the versions: "ua-v1"
// runs v1.
func (f *fleet) pausingUpstreams(ids ...string) {
	f.t.Helper()
	for _, id := range ids {
		_, version, _ := strings.Cut(id, "-")
		f.upstreamVersion(id, "d", version, streamOf(version, pause))
	}
}

// begun is a stream that a caller has begun to receive.
type begun struct{ id, version string }

// begin begins a stream, receives its first three events and disconnects.
func (r *running) begin(id string) begun {
	t := r.fleet.t
	t.Helper()
	response, err := r.send(context.Background(), call{method: http.MethodGet, path: "/resumable/", id: id, key: key})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	events := make([]byte, lastBeforePause*len("id: 1\ndata: v1\n\n"))
	_, err = io.ReadFull(response.Body, events)
	require.NoError(t, err)
	_ = response.Body.Close()
	versions := slices.Compact(versionsIn(string(events)))
	require.Len(t, versions, 1)
	return begun{id: id, version: versions[0]}
}

// beginWhole begins a stream and receives it until it ends, and reports whether it was whole.
func (r *running) beginWhole(id string) (s begun, whole bool) {
	t := r.fleet.t
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	response, err := r.send(ctx, call{method: http.MethodGet, path: "/resumable/", id: id, key: key})
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return begun{id: id, version: versionsIn(string(body))[0]}, err == nil
}

// beginEach begins several streams.
func (r *running) beginEach(name string, count int) []begun {
	all := []begun{}
	for i := range count {
		all = append(all, r.begin(name+strconv.Itoa(i)))
	}
	return all
}

// takeUp takes up a stream with a further request and returns the status and the versions of the events.
func (r *running) takeUp(s begun) (status int, versions []string) {
	status, versions, err := r.takeUpAfter(s, lastBeforePause)
	require.NoError(r.fleet.t, err)
	return status, versions
}

func (r *running) takeUpAfter(s begun, last int) (status int, versions []string, err error) {
	response, err := r.send(context.Background(), call{
		method: http.MethodGet, path: "/resumable/", id: s.id + "-again", key: key,
		header: http.Header{"Last-Event-Id": {strconv.Itoa(last)}, "X-Resumes": {s.id}},
	})
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, versionsIn(string(body)), err
}

// assertGoOn checks that each stream goes on at its version when it is taken up at a box.
func assertGoOn(t *testing.T, b *running, streams []begun) {
	t.Helper()
	for _, s := range streams {
		status, versions := b.takeUp(s)
		assert.Equal(t, http.StatusOK, status, "%s of %s", s.id, s.version)
		assert.Equal(t, []string{s.version, s.version}, versions, "%s of %s", s.id, s.version)
	}
}

// assertStreamsRefused checks that each stream is refused at once when it is taken up at a box.
func assertStreamsRefused(t *testing.T, b *running, streams []begun) {
	t.Helper()
	for _, s := range streams {
		start := time.Now()
		status, versions := b.takeUp(s)
		assert.Equal(t, http.StatusServiceUnavailable, status, "%s of %s", s.id, s.version)
		assert.Empty(t, versions)
		assert.LessOrEqual(t, time.Since(start), 50*time.Millisecond, "%s of %s", s.id, s.version)
	}
}

// ofVersion returns the streams that a version began.
func ofVersion(version string, streams []begun) []begun {
	return slices.DeleteFunc(slices.Clone(streams), func(s begun) bool { return s.version != version })
}

// withManyRetries gives a box a budget for each stream that breaks.
func withManyRetries(g *config.Gateway) { g.Budget.Slack = 100 * sampleStreams }

// sampleStreams is enough for streams of both versions, whichever upstreams are picked at random.
const sampleStreams = 12
