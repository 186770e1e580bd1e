package localfleet_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

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

const (
	// keptLeadMs and newLeadMs are the leads of last responses on the default settings: an assumed round trip of 15 ms, a
	// second one for the handshake of a new connection, and the resolution of the clock.
	keptLeadMs clock.Millis = 16
	newLeadMs  clock.Millis = 31
)

// rawCaller is a caller that uses its connection itself.
type rawCaller struct {
	tf     *testFleet
	conn   net.Conn
	reader *bufio.Reader
	// sinceMs is when it connected, or when it sent the first byte of a further request.
	sinceMs clock.Millis
}

func (tf *testFleet) connect() *rawCaller {
	tf.t.Helper()
	sinceMs := clock.New().Now()
	conn, err := tf.network.Host(localfleet.HostCallers).Dial(tf.t.Context(), "tcp", tf.Boxes()[0].Addresses().Callers)
	require.NoError(tf.t, err)
	tf.t.Cleanup(func() { _ = conn.Close() })
	return &rawCaller{tf: tf, conn: conn, reader: bufio.NewReader(conn), sinceMs: sinceMs}
}

// deadlineRequest returns the head of a request that asks for a deadline.
func deadlineRequest(line string, deadlineMs clock.Millis, more ...string) string {
	return line + " HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer " + localfleet.CallerKey("choir") +
		fmt.Sprintf("\r\n%s: %d\r\n", exchange.HeaderDeadline, deadlineMs) + strings.Join(more, "") + "\r\n"
}

func (r *rawCaller) send(text string) {
	r.tf.t.Helper()
	_, err := io.WriteString(r.conn, text)
	require.NoError(r.tf.t, err)
}

// assertResponse asserts when a response has been read, and its status.
func (r *rawCaller) assertResponse(status int, afterMs clock.Millis) string {
	r.tf.t.Helper()
	response, err := http.ReadResponse(r.reader, nil)
	require.NoError(r.tf.t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(r.tf.t, err)
	assert.Equal(r.tf.t, status, response.StatusCode, "%s", body)
	assert.Equal(r.tf.t, afterMs, clock.New().Now()-r.sinceMs)
	r.sinceMs = clock.New().Now()
	return string(body)
}

func (tf *testFleet) delayServices(delayMs clock.Millis) {
	for _, s := range tf.Services() {
		s.SetFaults(func(f *standin.ServerFaults) { f.DelayMs = delayMs })
	}
}

// TestLastResponses guards against a last response that arrives once its caller has given up.
func TestLastResponses(t *testing.T) {
	const deadlineMs clock.Millis = 1000
	call := deadlineRequest("GET /services/"+localfleet.ServiceName+"/x", deadlineMs)
	oneAtATime := withSettings(func(s *config.Router) { s.Admit.MaxRunning = 1 })
	for _, c := range []struct {
		name    string
		play    func(tf *testFleet)
		options []planOption
	}{
		{"of a silent server, on a new and on a kept connection", func(tf *testFleet) {
			r := tf.connect()
			r.send(call)
			r.assertResponse(http.StatusGatewayTimeout, deadlineMs-newLeadMs)
			r.send(call)
			r.assertResponse(http.StatusGatewayTimeout, deadlineMs-keptLeadMs)
		}, nil},
		{"to a caller whose head takes long", func(tf *testFleet) {
			r := tf.connect()
			r.send(call[:20])
			tf.wait(deadlineMs / 2)
			r.send(call[20:])
			r.assertResponse(http.StatusGatewayTimeout, deadlineMs-newLeadMs)
		}, nil},
		{"to a caller whose head takes longer than the deadline", func(tf *testFleet) {
			r := tf.connect()
			r.send(call[:20])
			tf.wait(deadlineMs)
			r.send(call[20:])
			r.assertResponse(http.StatusGatewayTimeout, deadlineMs)
		}, nil},
		{"to a caller whose body does not arrive", func(tf *testFleet) {
			r := tf.connect()
			r.send(deadlineRequest("POST /services/"+localfleet.ServiceName+"/x", deadlineMs, "Content-Length: 2\r\n"))
			r.assertResponse(http.StatusRequestTimeout, deadlineMs-newLeadMs)
		}, nil},
		{"to a response that stalls after its head", func(tf *testFleet) {
			for _, s := range tf.Services() {
				s.SetFaults(func(f *standin.ServerFaults) { f.DelayMs, f.StallMs = deadlineMs/2, 20*deadlineMs })
			}
			r := tf.connect()
			r.send(call)
			r.assertResponse(http.StatusGatewayTimeout, deadlineMs-newLeadMs)
		}, nil},
		{"of a queue", func(tf *testFleet) {
			first := tf.connect()
			first.send(call)
			tf.wait(100)
			second := tf.connect()
			second.send(deadlineRequest("GET /services/"+localfleet.ServiceName+"/x", deadlineMs/2))
			second.assertResponse(http.StatusServiceUnavailable, deadlineMs/2-newLeadMs)
		}, []planOption{oneAtATime}},
		{"of a stream that has not begun", func(tf *testFleet) {
			r := tf.connect()
			r.send(chat(deadlineMs))
			r.assertResponse(http.StatusGatewayTimeout, deadlineMs-newLeadMs)
		}, []planOption{func(p *localfleet.Config) { p.Performance.PrefillTokensPerMs = 1 }}},
		{"but a stream that has begun goes on until the deadline", func(tf *testFleet) {
			for _, e := range tf.Engines() {
				e.SetFaults(func(f *standin.EngineFaults) { f.Stall = 2 })
			}
			r := tf.connect()
			r.send(chat(deadlineMs))
			assert.Contains(tf.t, r.assertResponse(http.StatusOK, deadlineMs), "stream_cut")
		}, nil},
		{"but a response that is ready before is delivered", func(tf *testFleet) {
			readyMs := deadlineMs - newLeadMs - 1
			tf.delayServices(readyMs)
			r := tf.connect()
			r.send(call)
			r.assertResponse(http.StatusOK, readyMs)
		}, nil},
		{"but a response whose head has just arrived goes on", func(tf *testFleet) {
			headMs := deadlineMs - newLeadMs - 20
			for _, s := range tf.Services() {
				s.SetFaults(func(f *standin.ServerFaults) { f.DelayMs, f.StallMs = headMs, 30 })
			}
			r := tf.connect()
			r.send(call)
			r.assertResponse(http.StatusOK, headMs+30)
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(tf *testFleet) {
				tf.delayServices(20 * deadlineMs)
				c.play(tf)
			}, append(c.options, withBoxes(1))...)
		})
	}
}

// chat returns a streamed chat that asks for a deadline.
func chat(deadlineMs clock.Millis) string {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":8,"messages":[{"role":"user","content":%q}]}`,
		localfleet.Model, strings.Repeat("a question ", 5000))
	return deadlineRequest("POST /v1/chat/completions", deadlineMs, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
}

// TestStepsOfTheWallClock guards against calls in flight that end, or are sent with a wrong deadline, after a step.
func TestStepsOfTheWallClock(t *testing.T) {
	for _, stepMs := range []clock.Millis{600 * clock.Second, -600 * clock.Second} {
		t.Run(fmt.Sprint(stepMs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, stepped := testlib.NewNetwork(), atomic.Int64{}
				c := clock.New(clock.WithNow(func() clock.Millis { return clock.New().Now() + clock.Millis(stepped.Load()) }))
				fleet, err := localfleet.Start(t.Context(), localfleet.Config{
					Domains: []string{"north"}, BoxesPerDomain: 1, ServersPerDomain: 2,
					Organisations: []localfleet.Organisation{{Name: "choir"}},
				}, localfleet.WithClock(c), localfleet.WithNetwork(func(host string) localfleet.Network {
					h := network.Host(host)
					return localfleet.Network{Listen: h.Listen, Packets: h.ListenPackets, Dial: h.Dial}
				}))
				require.NoError(t, err)
				defer func() { require.NoError(t, fleet.Stop()) }()
				tf := &testFleet{Fleet: fleet, t: t, network: network}
				tf.caller = load.Caller{Client: fleet.Client(), Clock: clock.New()}
				tf.wait(clock.Second)
				for _, s := range tf.Services() {
					s.SetFaults(func(f *standin.ServerFaults) { f.DelayMs, f.DropAnswer = clock.Second, true })
				}
				called := make(chan *http.Response, 1)
				go func() { called <- tf.call(http.MethodGet, "/x", "") }()
				tf.wait(clock.Second / 2)
				stepped.Store(int64(stepMs))
				for _, s := range tf.Services() {
					s.SetFaults(func(f *standin.ServerFaults) { *f = standin.ServerFaults{} })
				}
				assert.Equal(t, http.StatusOK, (<-called).StatusCode)
			})
		})
	}
}
