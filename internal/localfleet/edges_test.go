package localfleet_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/load"
	"dooryard.example/dooryard/internal/localfleet"
	"dooryard.example/dooryard/internal/standin"
	"dooryard.example/dooryard/internal/testlib"
	"dooryard.example/dooryard/pkg/config"
)

func withEngines(count int) planOption {
	return func(p *localfleet.Config) { p.EnginesPerDomain = count }
}

func TestRetries(t *testing.T) {
	// attempts sends chats one after another and returns the mean number of attempts per request.
	attempts := func(tf *testFleet, chats int) float64 {
		sum := func() (attempts, requests int64) {
			for _, b := range tf.Boxes() {
				attempts += b.Metrics().Attempts.Value()
				requests += b.Metrics().Requests.Value()
			}
			return attempts, requests
		}
		attemptsBefore, requestsBefore := sum()
		for i := range chats {
			result := tf.chat(i%len(tf.Boxes()), fmt.Sprint(i), "a")
			assert.Equal(tf.t, load.Complete, result.Verdict, "%+v", result)
		}
		attemptsAfter, requestsAfter := sum()
		return float64(attemptsAfter-attemptsBefore) / float64(requestsAfter-requestsBefore)
	}
	t.Run("stay below the limit and all chats complete while half of the engines are down", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.wait(5000)
			for i, e := range tf.Engines() {
				if i%2 == 0 {
					e.Kill()
				}
			}
			perRequest := attempts(tf, 400)
			tf.t.Logf("%.3f attempts per request", perRequest)
			assert.Less(tf.t, perRequest, 1.2)
		}, withEngines(8))
	})
	t.Run("skip an engine that fails fast", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.wait(5000)
			tf.Engines()[0].SetFaults(func(f *standin.EngineFaults) { f.FailFast = true })
			assert.Less(tf.t, attempts(tf, 200), 1.1)
		}, withEngines(4))
	})
	t.Run("use another engine when one reports that the request was not run", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.Engines()[0].SetFaults(func(f *standin.EngineFaults) { f.RefuseNotRun = true })
			attempts(tf, 20)
		}, withEngines(2))
	})
}

func TestPausedClaimant(t *testing.T) {
	t.Run("that resumes after its claim has expired sends nothing", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.wait(3000)
			paused, server := tf.Boxes()[0].Name, tf.Services()[0].Name
			tf.network.SetDialDelay(func(from, to string) time.Duration {
				if from == paused && to == server {
					return (6 * clock.Second).Duration()
				}
				return 0
			})
			results := make(chan load.Result, 1)
			go func() { results <- tf.file(0, "k") }()
			// The key's claim window of 2 s passes, so that the second request wins the claim again.
			tf.wait(4000)
			assert.Equal(tf.t, load.Complete, tf.file(1, "k").Verdict)
			first := <-results
			assert.EqualValues(tf.t, "not-run", first.Outcome, "%+v", first)
			assert.Equal(tf.t, 1, tf.Ledger.Runs("k"))
		}, withSettings(func(s *config.Router) {
			s.Claim.WindowMs = 2000
			s.Retry.ConnectTimeoutMs = 10_000
		}))
	})
}

func TestTLSBetweenBoxes(t *testing.T) {
	dir := t.TempDir()
	files := config.TLS{CertificateFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key")}
	testlib.WriteCertificate(t, files, 1)
	files.CAFile = files.CertificateFile
	t.Run("carries claims and requests that are forwarded to another failure domain", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.wait(10_000)
			for i := range 10 {
				key := fmt.Sprint("k", i)
				assert.Equal(tf.t, load.Complete, tf.file(i%4, key).Verdict)
				assert.Equal(tf.t, 1, tf.Ledger.Runs(key))
			}
			for _, e := range tf.Engines() {
				if e.Domain == "south" {
					e.Kill()
				}
			}
			completed := 0
			for i := range 10 {
				completed += boolInt(tf.chat(3, fmt.Sprint(i), "a").Verdict == load.Complete)
			}
			assert.Positive(tf.t, completed)
		}, withDomains("north", "south"), withSettings(func(s *config.Router) { s.Peers.TLS = files }))
	})
}

func TestTraces(t *testing.T) {
	t.Run("propagate the caller's trace context to the engine", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			const traceID = "0af7651916cd43dd8448eb211c80319c"
			result := tf.chat(0, "s", "a", func(r *load.ChatRequest) {
				r.Headers = map[string]string{"Traceparent": "00-" + traceID + "-b7ad6b7169203331-01"}
			})
			require.Equal(tf.t, load.Complete, result.Verdict)
			seen := ""
			for _, e := range tf.Engines() {
				seen += e.LastTraceparent()
			}
			assert.Contains(tf.t, seen, traceID)
		}, withSettings(func(s *config.Router) { s.Traces = config.Traces{Exporter: "stdout", SamplePercent: 100} }))
	})
}

func TestSlowCallers(t *testing.T) {
	t.Run("that don't send their body in time get 408 and don't delay other callers", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			reader, writer := io.Pipe()
			defer func() { _ = writer.Close() }()
			go func() { _, _ = writer.Write([]byte(`{"model":`)) }()
			request, err := http.NewRequestWithContext(tf.t.Context(), http.MethodPost,
				tf.url(0)+"/v1/chat/completions", reader)
			require.NoError(tf.t, err)
			request.Header.Set("Authorization", "Bearer "+localfleet.CallerKey("choir"))
			status := make(chan int, 1)
			go func() {
				response, err := tf.Client().Do(request)
				if err != nil {
					status <- 0
					return
				}
				_ = response.Body.Close()
				status <- response.StatusCode
			}()
			assert.Equal(tf.t, load.Complete, tf.chat(0, "s", "a").Verdict)
			assert.Equal(tf.t, http.StatusRequestTimeout, <-status)
		}, withSettings(func(s *config.Router) { s.Request.BodyTimeoutMs = 2000 }))
	})
	t.Run("that don't read their stream are disconnected, which stops the request at the engine", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			conn, err := tf.network.Host(localfleet.HostCallers).Dial(tf.t.Context(), "tcp", tf.Boxes()[0].Addresses().Callers)
			require.NoError(tf.t, err)
			defer func() { _ = conn.Close() }()
			body := `{"model":"planner","stream":true,"max_tokens":5000,"messages":[{"role":"user","content":"a"}]}`
			_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"+
				"Content-Length: %d\r\n\r\n%s", localfleet.CallerKey("choir"), len(body), body)
			require.NoError(tf.t, err)
			tf.wait(10_000)
			running := 0
			for _, e := range tf.Engines() {
				running += e.Counts().Running
			}
			assert.Zero(tf.t, running)
		}, withSettings(func(s *config.Router) { s.Request.WriteTimeoutMs = 2000 }))
	})
	t.Run("with an overlong session or body get 400 or 413", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			result := tf.chat(0, strings.Repeat("s", 600), "a")
			assert.Equal(tf.t, http.StatusBadRequest, result.Status)
			result = tf.chat(0, "s", "a", func(r *load.ChatRequest) {
				r.Chat.Messages[0].Content = strings.Repeat("x", 5000)
			})
			assert.Equal(tf.t, http.StatusRequestEntityTooLarge, result.Status)
		}, withSettings(func(s *config.Router) { s.Request.MaxBodyBytes = 4000 }))
	})
}

func TestDeadlines(t *testing.T) {
	t.Run("end a request with 504 exactly when its response still arrives before they expire", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			start := clock.New().Now()
			result := tf.chat(0, "s", "a", func(r *load.ChatRequest) {
				r.DeadlineMs = 500
				r.Chat.Stream = false
				r.Chat.MaxTokens = 1000
			})
			assert.Equal(tf.t, http.StatusGatewayTimeout, result.Status)
			assert.Equal(tf.t, 500-newLeadMs, clock.New().Now()-start)
		})
	})
	t.Run("limit the time in the queue when all slots are taken", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			for i := range 4 {
				go tf.chat(i%2, fmt.Sprint(i), "a", func(r *load.ChatRequest) { r.Chat.MaxTokens = 10_000 })
			}
			synctest.Wait()
			tf.wait(2000)
			result := tf.chat(0, "late", "a", func(r *load.ChatRequest) { r.DeadlineMs = 1000 })
			assert.Equal(tf.t, http.StatusServiceUnavailable, result.Status)
			assert.EqualValues(tf.t, "not-run", result.Outcome)
			assert.NotEmpty(tf.t, result.RetryAfter)
		}, func(p *localfleet.Config) { p.Performance.Slots = 2 })
	})
}

// call sends a call to the plain service with the path and query as they are.
func (tf *testFleet) call(method, target, idempotencyKey string) *http.Response {
	tf.t.Helper()
	request, err := http.NewRequestWithContext(tf.t.Context(), method, tf.url(0), nil)
	require.NoError(tf.t, err)
	request.URL.Opaque = "/services/" + localfleet.ServiceName + target
	request.Header.Set("Authorization", "Bearer "+localfleet.CallerKey("choir"))
	request.Header.Set(exchange.HeaderIdempotencyKey, idempotencyKey)
	response, err := tf.Client().Do(request)
	require.NoError(tf.t, err)
	tf.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// TestPaths guards against a service call that runs with another path than the caller's.
func TestPaths(t *testing.T) {
	test := func(path string, server int) {
		t.Run(fmt.Sprint(path, " at server ", server), func(t *testing.T) {
			run(t, func(tf *testFleet) {
				tf.wait(5000)
				box := tf.Boxes()[0].Name
				tf.network.SetRefusal(func(from, to string) bool { return from == box && to == tf.Services()[1-server].Name })
				var reply standin.ServiceReply
				require.NoError(tf.t, json.NewDecoder(tf.call(http.MethodGet, path, "").Body).Decode(&reply))
				assert.Equal(tf.t, tf.Services()[server].Name, reply.Server)
				assert.Equal(tf.t, path, strings.TrimPrefix(reply.Target, "http://"+tf.Services()[server].Address))
			}, withDomains("north", "south"))
		})
	}
	for _, path := range []string{
		"/a%2Fb", "/a%2fb?x=%2F", "/%61!%21", "/a//b", "//a", "/a/../b", "/%2e%2e/./b", "/a%2Fé", "//a%2Fé#", "/?", "/a#b?c#d",
	} {
		test(path, 0)
		test(path, 1)
	}
	t.Run("an invalid escape gets 400", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			assert.Equal(tf.t, http.StatusBadRequest, tf.call(http.MethodGet, "/a%2", "").StatusCode)
		})
	})
}

// TestReusedKeys guards against a call that gets the answer of another call with the same key and does not run.
func TestReusedKeys(t *testing.T) {
	for _, target := range []string{"/a%2Fb", "/a/b?x=1", "/a/./b"} {
		t.Run(target, func(t *testing.T) {
			run(t, func(tf *testFleet) {
				assert.Equal(tf.t, http.StatusOK, tf.call(http.MethodPost, "/a/b", "k").StatusCode)
				assert.Equal(tf.t, http.StatusUnprocessableEntity, tf.call(http.MethodPost, target, "k").StatusCode)
				assert.Equal(tf.t, http.StatusOK, tf.call(http.MethodPost, "/a/b", "k").StatusCode)
				assert.Equal(tf.t, 1, tf.Ledger.Runs("k"))
			})
		})
	}
}

// TestStarts guards against sound keys that a box refuses for good until it has read the table.
func TestStarts(t *testing.T) {
	start := func(tf *testFleet, faults func(f *standin.LogFaults)) {
		tf.Platform.Log.SetFaults(faults)
		_, err := tf.StartBox("north", "north-box-0")
		require.NoError(tf.t, err)
	}
	t.Run("hold requests until the table is read", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			start(tf, func(f *standin.LogFaults) { f.DelayMs = 300 })
			result := tf.chat(0, "s", "a")
			assert.Equal(tf.t, load.Complete, result.Verdict, "%+v", result)
		}, withBoxes(0))
	})
	t.Run("refuse requests for now while the table can't be read", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			start(tf, func(f *standin.LogFaults) { f.Down = true })
			result := tf.chat(0, "s", "a")
			assert.Equal(tf.t, http.StatusServiceUnavailable, result.Status, "%+v", result)
			assert.Equal(tf.t, exchange.NotRun, result.Outcome)
			assert.NotEmpty(tf.t, result.RetryAfter)
			request, err := http.NewRequestWithContext(tf.t.Context(), http.MethodGet, tf.url(0)+"/v1/models", nil)
			require.NoError(tf.t, err)
			request.Header.Set("Authorization", "Bearer "+localfleet.CallerKey("choir"))
			response, err := tf.Client().Do(request)
			require.NoError(tf.t, err)
			require.NoError(tf.t, response.Body.Close())
			assert.Equal(tf.t, http.StatusServiceUnavailable, response.StatusCode)
		}, withBoxes(0))
	})
}
