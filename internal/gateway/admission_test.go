package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/quarantine"
	"dooryard.example/dooryard/internal/why"
	"dooryard.example/dooryard/pkg/config"
)

// admissionFleet is a fleet of one box with engines whose owners are fake.
type admissionFleet struct {
	*fleet
	log   *logBuffer
	box   *running
	names map[namekey.Key]string

	mu sync.Mutex
	// asks are all asks; started and released are the engines whose owners were told of a first event and of an end.
	asks                      []admission.Ask
	started, released, served []string
	// received are the engines that got a request, in this order.
	received []string
}

// onEngine is called by each engine that gets a request.
func (a *admissionFleet) onEngine(id string, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		a.received = append(a.received, id)
		a.mu.Unlock()
		handler(w, r)
	}
}

func (a *admissionFleet) tell(list *[]string, upstream namekey.Key) {
	a.mu.Lock()
	defer a.mu.Unlock()
	*list = append(*list, a.names[upstream])
}

func (a *admissionFleet) told(list *[]string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(*list)
}

func withAdmission(g *config.Gateway) { g.Admission.Enabled = true }

// runWithAdmission runs a test with engines in two failure domains. The function answers asks.
func runWithAdmission(
	t *testing.T, engines int, handler http.HandlerFunc,
	answer func(ctx context.Context, a *admissionFleet, ask admission.Ask) admission.Reply,
	test func(a *admissionFleet), change ...func(g *config.Gateway),
) {
	t.Helper()
	runWithFleet(t, func(f *fleet) {
		a := &admissionFleet{fleet: f, log: &logBuffer{}, names: map[namekey.Key]string{}}
		f.out = a.log
		for i := range engines {
			id := "u" + strconv.Itoa(i)
			a.names[namekey.Of(id)] = id
			f.upstreamIn(id, []string{"d", "e"}[i%2], a.onEngine(id, handler))
		}
		f.admit = func(ctx context.Context, _ string, ask admission.Ask) admission.Reply {
			a.mu.Lock()
			a.asks = append(a.asks, ask)
			a.mu.Unlock()
			reply := answer(ctx, a, ask)
			reply.Started = func() { a.tell(&a.started, ask.Upstream) }
			reply.Release = func(served bool) {
				a.tell(&a.released, ask.Upstream)
				if served {
					a.tell(&a.served, ask.Upstream)
				}
			}
			return reply
		}
		a.box = f.box(1, append([]func(g *config.Gateway){withAdmission}, change...)...)
		advance(f.t, time.Second)
		test(a)
	})
}

// Replies of owners.
var (
	grantedReply = admission.Reply{Answer: admission.Answer{Verdict: admission.Granted, StartInMs: 100}}
	deniedReply  = admission.Reply{Answer: admission.Answer{StartInMs: 9000, DrainMs: 400}}
	waitReply    = admission.Reply{Answer: admission.Answer{StartInMs: 300, DrainMs: 400}}
)

func reply(r admission.Reply) func(context.Context, *admissionFleet, admission.Ask) admission.Reply {
	return func(context.Context, *admissionFleet, admission.Ask) admission.Reply { return r }
}

// queueFor has a prompt wait for a duration, and then calls a function and grants. Later asks are granted at once.
func queueFor(
	span time.Duration, then func(a *admissionFleet, engine string),
) func(context.Context, *admissionFleet, admission.Ask) admission.Reply {
	waited := false
	return func(ctx context.Context, a *admissionFleet, ask admission.Ask) admission.Reply {
		switch {
		case waited:
			return grantedReply
		case !ask.MayQueue:
			return waitReply
		}
		select {
		case <-ctx.Done():
			return admission.Reply{}
		case <-time.After(span):
			waited = true
			then(a, a.names[ask.Upstream])
			return grantedReply
		}
	}
}

func nothing(*admissionFleet, string) {}

// prompt sends a prompt and reads the whole response.
func (a *admissionFleet) prompt(ctx context.Context, path string, header ...string) (*http.Response, string, error) {
	c := call{method: http.MethodPost, path: path, id: "1", key: key, body: "x", header: http.Header{
		"X-Prompt": {"session:1000,own:10"},
	}}
	for i := 0; i < len(header); i += 2 {
		c.header.Set(header[i], header[i+1])
	}
	response, err := a.box.send(ctx, c)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// lines returns the lines that explain the request.
func (a *admissionFleet) lines() []why.Line {
	advance(a.t, 100*time.Millisecond)
	return why.RequestLines(a.log.read(a.t), "1", 0)
}

// field returns a field of the only line with a message.
func (a *admissionFleet) field(message, name string) string {
	a.t.Helper()
	found := withMessage(a.lines(), message)
	require.Len(a.t, found, 1, message)
	return string(found[0].Fields[name])
}

// assertRefused checks that a request was refused with a cause before it reached an engine, and counts nowhere.
func (a *admissionFleet) assertRefused(status int, cause string) {
	a.t.Helper()
	assert.Empty(a.t, a.told(&a.received))
	assert.Empty(a.t, a.told(&a.started))
	assert.Zero(a.t, a.inFlightAt(a.box))
	assert.Equal(a.t, `"`+cause+`"`, a.field("request ended", "cause"))
	assert.Equal(a.t, "0", a.field("request ended", "attempts"))
	assert.Equal(a.t, strconv.Itoa(status), a.field("request ended", "status"))
}

// TestAdmissionRefusal guards against refusals that come late, are untrue, or tell callers to return in vain.
func TestAdmissionRefusal(t *testing.T) {
	t.Run("a prompt that no engine can serve is refused at once", func(t *testing.T) {
		runWithAdmission(t, 6, respondWith("done"), reply(deniedReply), func(a *admissionFleet) {
			t := a.t
			startMs := a.clock.Monotonic()
			response, body, err := a.prompt(t.Context(), "/sticky/")
			require.NoError(t, err)
			assert.LessOrEqual(t, a.clock.Monotonic()-startMs, clock.Millis(200))
			assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			assert.Contains(t, body, "upstreams_overloaded")
			span, err := time.ParseDuration(response.Header.Get("Retry-After"))
			require.NoError(t, err)
			assert.InDelta(t, 400, span.Milliseconds(), 100)
			assert.Len(t, a.asks, 4)
			a.assertRefused(http.StatusServiceUnavailable, "upstreams_overloaded")
			assert.Equal(t, `"denied"`, a.field("admission decided", "verdict"))
			assert.Contains(t, a.field("admission decided", "answers"), "denied start_ms=9000 drain_ms=400")
			assert.Equal(t, "1", a.box.metrics.all.Get("admission_denied").String())
		})
	})
	t.Run("a caller that could not be served when it returns is not told to", func(t *testing.T) {
		runWithAdmission(t, 2, respondWith("done"), reply(deniedReply), func(a *admissionFleet) {
			t := a.t
			response, _, err := a.prompt(t.Context(), "/sticky/", "X-Deadline", "750")
			require.NoError(t, err)
			assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			assert.Empty(t, response.Header.Get("Retry-After"), "some 400 ms and 500 ms to the first event")
			a.assertRefused(http.StatusServiceUnavailable, "upstreams_overloaded")
		})
	})
	t.Run("a prompt whose time is over while it waits is refused as not run", func(t *testing.T) {
		runWithAdmission(t, 2, respondWith("done"), queueFor(time.Hour, nothing), func(a *admissionFleet) {
			t := a.t
			startMs := a.clock.Monotonic()
			response, _, err := a.prompt(t.Context(), "/sticky/", "X-Deadline", "900")
			require.NoError(t, err)
			assert.EqualValues(t, 900-newLeadMs, a.clock.Monotonic()-startMs)
			assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			assert.Empty(t, response.Header.Get("Retry-After"))
			a.assertRefused(http.StatusServiceUnavailable, "upstreams_overloaded")
		})
	})
	t.Run("after an engine that could not be reached, the refusal names the load", func(t *testing.T) {
		first := true
		runWithAdmission(t, 3, respondWith("done"), func(_ context.Context, a *admissionFleet, ask admission.Ask) admission.Reply {
			if first {
				first = false
				engine := a.names[ask.Upstream]
				a.network.SetRefusal(func(_, to string) bool { return to == engine })
				return grantedReply
			}
			return deniedReply
		}, func(a *admissionFleet) {
			t := a.t
			response, body, err := a.prompt(t.Context(), "/sticky/")
			require.NoError(t, err)
			assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			assert.Contains(t, body, "upstreams_overloaded")
			assert.False(t, a.asks[1].Force, "nothing was sent")
			assert.Len(t, a.told(&a.released), 1)
		})
	})
}

// TestAdmissionWait guards against prompts that are sent while they should wait, that wait for nothing, or that are sent
// after the wait although they must not be.
func TestAdmissionWait(t *testing.T) {
	t.Run("a prompt that was granted after a wait is sent once", func(t *testing.T) {
		runWithAdmission(t, 4, respondWith("done"), queueFor(200*time.Millisecond, nothing), func(a *admissionFleet) {
			t := a.t
			_, body, err := a.prompt(t.Context(), "/sticky/")
			require.NoError(t, err)
			assert.Equal(t, "done", body)
			assert.Len(t, a.told(&a.received), 1)
			assert.Equal(t, a.received, a.told(&a.started))
			assert.Equal(t, a.received, a.told(&a.served))
			assert.Equal(t, "200", a.field("request ended", "waited_ms"))
			assert.Equal(t, "200", a.field("admission decided", "waited_ms"))
			assert.Equal(t, "0", a.field("request ended", "attempts"), "none failed")
			assert.Equal(t, "1", a.field("upstream picked", "attempt"))
			assert.Equal(t, "0", a.box.metrics.all.Get("admission_waiting").String())
			assert.Equal(t, "1", a.box.metrics.all.Get("admission_waited").String())
		})
	})
	t.Run("the wait ends when the caller leaves", func(t *testing.T) {
		var ended atomic.Int64
		runWithAdmission(t, 2, respondWith("done"), func(ctx context.Context, a *admissionFleet, ask admission.Ask) admission.Reply {
			if !ask.MayQueue {
				return waitReply
			}
			<-ctx.Done()
			ended.Store(int64(a.clock.Monotonic()))
			return admission.Reply{}
		}, func(a *admissionFleet) {
			t := a.t
			ctx, leave := context.WithTimeout(t.Context(), 250*time.Millisecond)
			defer leave()
			startMs := a.clock.Monotonic()
			_, _, err := a.prompt(ctx, "/sticky/")
			require.Error(t, err)
			synctest.Wait()
			assert.EqualValues(t, 250, ended.Load()-int64(startMs))
			a.assertRefused(http.StatusServiceUnavailable, "caller_gone")
			assert.Equal(t, `"abandoned"`, a.field("admission decided", "verdict"))
		})
	})
	for name, c := range map[string]struct {
		change func(a *admissionFleet, engine string)
		status int
		cause  string
	}{
		"evacuated": {change: func(a *admissionFleet, engine string) {
			a.store.setEvacuated(a.store.entry(engine).FailureDomain, true)
		}},
		"draining": {change: func(a *admissionFleet, engine string) {
			entry := a.store.entry(engine)
			entry.Draining = true
			a.store.put(entry)
		}},
		"gone": {change: func(a *admissionFleet, engine string) { a.store.remove(engine) }},
		"quarantined": {change: func(a *admissionFleet, _ string) {
			request := quarantine.Request{
				Method: http.MethodPost, Host: host, Target: "/sticky/", Organisation: "one", Body: []byte("x"),
			}
			for i := range 3 {
				a.box.quarantine.RecordCrash(request.Fingerprint(), namekey.Key(i))
			}
		}, status: http.StatusServiceUnavailable, cause: "quarantined"},
		"key revoked": {change: func(a *admissionFleet, _ string) {
			revoked := content(2)
			revoked.Organisations[0].Keys = []string{"other"}
			a.store.setState(a.t, revoked)
		}, status: http.StatusUnauthorized, cause: "unknown_key"},
		"routing state too old": {change: func(a *admissionFleet, _ string) {
			a.store.setUnavailable("box-1", true)
			advance(a.t, time.Second)
		}, status: http.StatusServiceUnavailable, cause: "stale_routing_state"},
	} {
		t.Run("what changes meanwhile counts: "+name, func(t *testing.T) {
			changed := ""
			answer := queueFor(100*time.Millisecond, func(a *admissionFleet, engine string) {
				changed = engine
				c.change(a, engine)
				// The box learns of the change before the grant.
				advance(a.t, time.Second)
			})
			runWithAdmission(t, 4, respondWith("done"), answer, func(a *admissionFleet) {
				t := a.t
				response, body, err := a.prompt(t.Context(), "/sticky/")
				require.NoError(t, err)
				assert.Equal(t, changed, a.told(&a.released)[0], "the permit is returned")
				assert.Equal(t, "0", a.field("request ended", "attempts"), "no attempt has failed")
				if c.cause != "" {
					assert.Contains(t, body, c.cause)
					assert.Equal(t, c.status, response.StatusCode)
					assert.Empty(t, a.told(&a.received))
					assert.Zero(t, a.inFlightAt(a.box))
					return
				}
				assert.Equal(t, http.StatusOK, response.StatusCode)
				require.Len(t, a.told(&a.received), 1)
				assert.NotEqual(t, changed, a.received[0])
			}, func(g *config.Gateway) { g.Freshness.MaxAgeMs = 1500 })
		})
	}
}

// TestAdmissionSignals guards against owners that learn of no start or end, or of one that says nothing of the prefill.
func TestAdmissionSignals(t *testing.T) {
	t.Run("a stream has started at its first event", func(t *testing.T) {
		var release chan struct{}
		runWithAdmission(t, 1, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			<-release
			_, _ = io.WriteString(w, "data: a\n\n")
			_ = http.NewResponseController(w).Flush()
			<-release
			_, _ = io.WriteString(w, "data: b\n\n")
		}, reply(grantedReply), func(a *admissionFleet) {
			t := a.t
			release = make(chan struct{})
			done := make(chan error, 1)
			go func() {
				_, _, err := a.prompt(t.Context(), "/sticky/")
				done <- err
			}()
			synctest.Wait()
			assert.Empty(t, a.told(&a.started), "its header tells nothing")
			release <- struct{}{}
			synctest.Wait()
			assert.Equal(t, []string{"u0"}, a.told(&a.started))
			assert.Empty(t, a.told(&a.released))
			release <- struct{}{}
			require.NoError(t, <-done)
			synctest.Wait()
			assert.Equal(t, []string{"u0"}, a.told(&a.started))
			assert.Equal(t, []string{"u0"}, a.told(&a.served))
		})
	})
	t.Run("a failure is no start, and the retry is sent whatever the load is", func(t *testing.T) {
		var failures atomic.Int32
		runWithAdmission(t, 3, func(w http.ResponseWriter, _ *http.Request) {
			if failures.Add(1) == 1 {
				w.WriteHeader(http.StatusInternalServerError)
				_, _ = io.WriteString(w, "failed")
				return
			}
			_, _ = io.WriteString(w, "done")
		}, func(context.Context, *admissionFleet, admission.Ask) admission.Reply {
			if failures.Load() > 0 {
				return deniedReply
			}
			return grantedReply
		}, func(a *admissionFleet) {
			t := a.t
			_, body, err := a.prompt(t.Context(), "/sticky/")
			require.NoError(t, err)
			assert.Equal(t, "done", body)
			synctest.Wait()
			require.Len(t, a.received, 2)
			require.Len(t, a.asks, 2)
			assert.True(t, a.asks[1].Force)
			assert.Equal(t, a.received[1:], a.told(&a.started))
			assert.Equal(t, a.received, a.told(&a.released))
			assert.Equal(t, a.received[1:], a.told(&a.served))
		})
	})
}

// TestAdmissionScope guards against admission of requests that it is not for, or where it is not enabled.
func TestAdmissionScope(t *testing.T) {
	none := func(t *testing.T, change func(g *config.Gateway), path string, header ...string) {
		t.Helper()
		runWithAdmission(t, 2, respondWith("done"), reply(deniedReply), func(a *admissionFleet) {
			t := a.t
			response, _, err := a.prompt(t.Context(), path, header...)
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, response.StatusCode)
			assert.Empty(t, a.asks)
			assert.Empty(t, withMessage(a.lines(), "admission decided"))
		}, change)
	}
	keep := func(*config.Gateway) {}
	t.Run("off", func(t *testing.T) { none(t, func(g *config.Gateway) { g.Admission.Enabled = false }, "/sticky/") })
	t.Run("a plain route", func(t *testing.T) { none(t, keep, "/safe/") })
	t.Run("without a prompt", func(t *testing.T) { none(t, keep, "/sticky/", "X-Prompt", "") })
	t.Run("a term of the platform enables it", func(t *testing.T) {
		b := &Box{features: func(terms []string) Features { return Features{Admission: slices.Contains(terms, "t")} }}
		for _, c := range []struct {
			settings config.Gateway
			want     bool
		}{
			{config.Gateway{}, false},
			{config.Gateway{PlatformTerms: []string{"u"}}, false},
			{config.Gateway{PlatformTerms: []string{"u", "t"}}, true},
			{config.Gateway{Admission: config.Admission{Enabled: true}}, true},
		} {
			b.settings.Store(&c.settings)
			assert.Equal(t, c.want, b.admissionEnabled())
		}
	})
	t.Run("without owners, all prompts are sent", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.upstream("u", respondWith("done"))
			t := f.t
			a := &admissionFleet{fleet: f, log: &logBuffer{}}
			f.out, f.admit = a.log, noOwner
			a.box = f.box(1, withAdmission)
			_, body, err := a.prompt(t.Context(), "/sticky/")
			require.NoError(t, err)
			assert.Equal(t, "done", body)
			assert.Equal(t, `"unknown"`, a.field("admission decided", "verdict"))
			assert.Contains(t, a.field("admission decided", "answers"), "owner_age_ms=-1")
		})
	})
}

// noOwner is an admitFunc without owners.
func noOwner(context.Context, string, admission.Ask) admission.Reply {
	return admission.Reply{Unknown: true, OwnerAgeMs: -1, Started: func() {}, Release: func(bool) {}}
}
