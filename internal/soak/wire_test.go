package soak

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/platform/standin"
)

// TestFindsWorkForCallersThatHaveLeft guards against servers that work on for nobody.
func TestFindsWorkForCallersThatHaveLeft(t *testing.T) {
	const ms = time.Millisecond
	start := time.Now()
	long := goneSpan + timingSlack + ms
	for _, c := range []struct {
		name                  string
		working, ended, found int
		change                func(h *history, o *standin.Outcome)
	}{
		{"more than a quarter", 4, 11, 1, nil},
		{"a quarter", 4, 12, 0, nil},
		{"as many as may be", maxGone, 0, 0, nil},
		{"work that ended by itself", 4, 0, 0, func(h *history, o *standin.Outcome) { h.works[o.ID][0].to = o.Left.Add(goneSpan) }},
		{"work that began late", 4, 100, 1, func(h *history, o *standin.Outcome) { h.works[o.ID][0].from = o.Left.Add(long) }},
		{"requests with an effect", 4, 0, 0, func(_ *history, o *standin.Outcome) { o.Kind = standin.Unsafe }},
		{"callers that stay", 4, 0, 0, func(_ *history, o *standin.Outcome) { o.Left = time.Time{} }},
		{"a stop of the box", 4, 0, 1, func(h *history, o *standin.Outcome) {
			h.disturbances[o.Box] = []*interval{{from: start, planned: true}}
		}},
		{"a paused box", 4, 0, 0, func(h *history, o *standin.Outcome) { h.disturbances[o.Box] = []*interval{{from: start}} }},
		{"a link that was disturbed", 4, 0, 0, func(h *history, o *standin.Outcome) {
			h.works[o.ID][0].linkDisturbed = func(_, _ time.Time) bool { return true }
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory()
			h.recordKey("k", "t")
			for i := range c.working + c.ended {
				o := standin.Outcome{
					Call: standin.Call{ID: strconv.Itoa(i), Kind: standin.Safe, Key: "k", DeadlineMs: 6000}, Box: "b",
					Sent: start, Written: start, Left: start, Ended: start,
				}
				w := &work{from: start, to: start.Add(2 * long), canceled: start.Add(long), linkDisturbed: never}
				h.works[o.ID] = []*work{w}
				if i >= c.working {
					w.canceled = start.Add(goneSpan)
				} else if c.change != nil {
					c.change(h, &o)
				}
				h.recordOutcome(o)
			}
			assert.Len(t, h.check(), c.found)
		})
	}
}

// TestRecordsCanceledWork guards against work that counts as ended although the box waits for its response.
func TestRecordsCanceledWork(t *testing.T) {
	h := newHistory()
	s := &server{link: &link{}, beginWork: h.beginWork}
	ctx, leave := context.WithCancel(t.Context())
	s.current = standin.NewServer("s", "v1", func(int) int { return 1 }, func(standin.Run) {
		assert.Zero(t, h.works["one"][0].canceled)
		leave()
		assert.Eventually(t, func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return !h.works["one"][0].canceled.IsZero()
		}, time.Minute, time.Millisecond)
	})
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/safe/", nil)
	r.Header.Set(standin.HeaderRequestID, "one")
	s.ServeHTTP(httptest.NewRecorder(), r)
	assert.False(t, h.works["one"][0].to.IsZero())
}

// TestRecordsWorkOfDirectServers guards against cuts that count as lost because the soak does not know that the server of
// a steady load was at work.
func TestRecordsWorkOfDirectServers(t *testing.T) {
	f, err := newFleet(Settings{Load: true, Folder: t.TempDir()})
	require.NoError(t, err)
	t.Cleanup(func() {
		for _, closeOne := range f.closers {
			closeOne()
		}
	})
	require.NoError(t, f.addServer(0))
	s := f.servers[0]
	s.down = true
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/stream/", nil)
	r.Header.Set(standin.HeaderRequestID, "one")
	assert.Panics(t, func() { s.ServeHTTP(httptest.NewRecorder(), r) }, "a crashed server breaks off")
	assert.Len(t, f.history.works["one"], 1)
}
