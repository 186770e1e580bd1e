package localfleet_test

import (
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
	"dooryard.example/dooryard/internal/load"
	"dooryard.example/dooryard/internal/localfleet"
	"dooryard.example/dooryard/internal/standin"
	"dooryard.example/dooryard/internal/testlib"
	"dooryard.example/dooryard/pkg/config"
)

func withEngines(count int) planOption {
	return func(p *localfleet.Plan) { p.EnginesPerDomain = count }
}

func TestRetries(t *testing.T) {
	// attempts sends chats one after another and returns attempts per request.
	attempts := func(tr *trial, chats int) float64 {
		sum := func() (attempts, requests int64) {
			for _, b := range tr.Boxes() {
				attempts += b.Metrics().Attempts.Value()
				requests += b.Metrics().Requests.Value()
			}
			return attempts, requests
		}
		attemptsBefore, requestsBefore := sum()
		for i := range chats {
			result := tr.chat(i%len(tr.Boxes()), fmt.Sprint(i), "a")
			assert.Equal(tr.t, load.Whole, result.Verdict, "%+v", result)
		}
		attemptsAfter, requestsAfter := sum()
		return float64(attemptsAfter-attemptsBefore) / float64(requestsAfter-requestsBefore)
	}
	t.Run("stay few and all chats whole with half the engines dead", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.wait(5000)
			for i, e := range tr.Engines() {
				if i%2 == 0 {
					e.Kill()
				}
			}
			perRequest := attempts(tr, 400)
			tr.t.Logf("%.3f attempts a request", perRequest)
			assert.Less(tr.t, perRequest, 1.2)
		}, withEngines(8))
	})
	t.Run("leave out an engine that fails fast", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.wait(5000)
			tr.Engines()[0].SetFaults(func(f *standin.EngineFaults) { f.FailFast = true })
			assert.Less(tr.t, attempts(tr, 200), 1.1)
		}, withEngines(4))
	})
	t.Run("go elsewhere when an engine says that it ran nothing", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.Engines()[0].SetFaults(func(f *standin.EngineFaults) { f.RefuseNotRun = true })
			attempts(tr, 20)
		}, withEngines(2))
	})
}

func TestPausedClaimant(t *testing.T) {
	t.Run("that wakes after its key was forgotten sends nothing", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.wait(3000)
			paused, server := tr.Boxes()[0].Name, tr.Services()[0].Name
			tr.network.SetDialDelay(func(from, to string) time.Duration {
				if from == paused && to == server {
					return (6 * clock.Second).Duration()
				}
				return 0
			})
			results := make(chan load.Result, 1)
			go func() { results <- tr.file(0, "k") }()
			// The key's window of 2 s passes; the second request wins it anew.
			tr.wait(4000)
			assert.Equal(tr.t, load.Whole, tr.file(1, "k").Verdict)
			first := <-results
			assert.EqualValues(tr.t, "not-run", first.Outcome, "%+v", first)
			assert.Equal(tr.t, 1, tr.Ledger.Runs("k"))
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
	t.Run("carries claims and chats of other domains", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.wait(10_000)
			for i := range 10 {
				key := fmt.Sprint("k", i)
				assert.Equal(tr.t, load.Whole, tr.file(i%4, key).Verdict)
				assert.Equal(tr.t, 1, tr.Ledger.Runs(key))
			}
			for _, e := range tr.Engines() {
				if e.Domain == "south" {
					e.Kill()
				}
			}
			whole := 0
			for i := range 10 {
				whole += boolInt(tr.chat(3, fmt.Sprint(i), "a").Verdict == load.Whole)
			}
			assert.Positive(tr.t, whole)
		}, withDomains("north", "south"), withSettings(func(s *config.Router) { s.Peers.TLS = files }))
	})
}

func TestTraces(t *testing.T) {
	t.Run("pass the caller's trace on to the engine", func(t *testing.T) {
		run(t, func(tr *trial) {
			const traceID = "0af7651916cd43dd8448eb211c80319c"
			result := tr.chat(0, "s", "a", func(r *load.ChatRequest) {
				r.Headers = map[string]string{"Traceparent": "00-" + traceID + "-b7ad6b7169203331-01"}
			})
			require.Equal(tr.t, load.Whole, result.Verdict)
			seen := ""
			for _, e := range tr.Engines() {
				seen += e.LastTraceparent()
			}
			assert.Contains(tr.t, seen, traceID)
		}, withSettings(func(s *config.Router) { s.Traces = config.Traces{Exporter: "stdout", SamplePercent: 100} }))
	})
}

func TestSlowCallers(t *testing.T) {
	t.Run("that don't send their body in time are told so, and others go on", func(t *testing.T) {
		run(t, func(tr *trial) {
			reader, writer := io.Pipe()
			defer func() { _ = writer.Close() }()
			go func() { _, _ = writer.Write([]byte(`{"model":`)) }()
			request, err := http.NewRequestWithContext(tr.t.Context(), http.MethodPost,
				tr.url(0)+"/v1/chat/completions", reader)
			require.NoError(tr.t, err)
			request.Header.Set("Authorization", "Bearer "+localfleet.CallerKey("choir"))
			status := make(chan int, 1)
			go func() {
				response, err := tr.Client().Do(request)
				if err != nil {
					status <- 0
					return
				}
				_ = response.Body.Close()
				status <- response.StatusCode
			}()
			assert.Equal(tr.t, load.Whole, tr.chat(0, "s", "a").Verdict)
			assert.Equal(tr.t, http.StatusRequestTimeout, <-status)
		}, withSettings(func(s *config.Router) { s.Request.BodyTimeoutMs = 2000 }))
	})
	t.Run("that don't read their stream are cut and free their engine", func(t *testing.T) {
		run(t, func(tr *trial) {
			conn, err := tr.network.Host(localfleet.HostCallers).Dial(tr.t.Context(), "tcp", tr.Boxes()[0].Addresses().Callers)
			require.NoError(tr.t, err)
			defer func() { _ = conn.Close() }()
			body := `{"model":"planner","stream":true,"max_tokens":5000,"messages":[{"role":"user","content":"a"}]}`
			_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"+
				"Content-Length: %d\r\n\r\n%s", localfleet.CallerKey("choir"), len(body), body)
			require.NoError(tr.t, err)
			tr.wait(10_000)
			running := 0
			for _, e := range tr.Engines() {
				running += e.Counts().Running
			}
			assert.Zero(tr.t, running)
		}, withSettings(func(s *config.Router) { s.Request.WriteTimeoutMs = 2000 }))
	})
	t.Run("with too much are told what", func(t *testing.T) {
		run(t, func(tr *trial) {
			result := tr.chat(0, strings.Repeat("s", 600), "a")
			assert.Equal(tr.t, http.StatusBadRequest, result.Status)
			result = tr.chat(0, "s", "a", func(r *load.ChatRequest) {
				r.Chat.Messages[0].Content = strings.Repeat("x", 5000)
			})
			assert.Equal(tr.t, http.StatusRequestEntityTooLarge, result.Status)
		}, withSettings(func(s *config.Router) { s.Request.MaxBodyBytes = 4000 }))
	})
}

func TestDeadlines(t *testing.T) {
	t.Run("are kept, and the answer comes at once", func(t *testing.T) {
		run(t, func(tr *trial) {
			began := clock.New().Now()
			result := tr.chat(0, "s", "a", func(r *load.ChatRequest) {
				r.DeadlineMs = 500
				r.Chat.Stream = false
				r.Chat.MaxTokens = 1000
			})
			assert.Equal(tr.t, http.StatusGatewayTimeout, result.Status)
			assert.Equal(tr.t, clock.Millis(500), clock.New().Now()-began)
		})
	})
	t.Run("end a queue's wait at once when capacity is gone", func(t *testing.T) {
		run(t, func(tr *trial) {
			for i := range 4 {
				go tr.chat(i%2, fmt.Sprint(i), "a", func(r *load.ChatRequest) { r.Chat.MaxTokens = 10_000 })
			}
			synctest.Wait()
			tr.wait(2000)
			result := tr.chat(0, "late", "a", func(r *load.ChatRequest) { r.DeadlineMs = 1000 })
			assert.Equal(tr.t, http.StatusServiceUnavailable, result.Status)
			assert.EqualValues(tr.t, "not-run", result.Outcome)
			assert.NotEmpty(tr.t, result.RetryAfter)
		}, func(p *localfleet.Plan) { p.Speed.Slots = 2 })
	})
}
