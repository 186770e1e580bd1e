package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/load"
	"dooryard.example/dooryard/internal/localfleet"
	"dooryard.example/dooryard/internal/standin"
)

const (
	routerOrganisation = "choir"
	routerAnnounceMs   = 200
	routerDrainMs      = 1500
	// The next process is started at the SIGTERM, or less than maxRouterDelayMs later.
	maxRouterDelayMs = 1000
	maxRouterGapMs   = 800
	// A long chat is sent up to maxRouterLeadMs before SIGTERM. It ends within the drain, or outlasts it.
	maxRouterLeadMs    = 200
	shortChatTokens    = 200
	outlastsTokens     = 800
	routerStartTimeout = 20 * time.Second
	// routerReadTimeout is longer than any stop takes.
	routerReadTimeout = 10 * time.Second
	pipelinedRequests = 3
)

// routerCaller is how a caller of dooryard-router uses its connections. It sends without a pause.
type routerCaller string

// Callers of dooryard-router. The value is the name in reports.
const (
	routerNew       routerCaller = "new connections"
	routerKept      routerCaller = "kept connections"
	routerPipelined routerCaller = "pipelines"
	routerHalf      routerCaller = "half-closed"
)

func routerCallers() []routerCaller {
	return []routerCaller{routerNew, routerKept, routerPipelined, routerHalf}
}

// RouterReport is the result of one run of dooryard-router.
type RouterReport struct {
	Seed     uint64
	Requests int
	// Statuses counts responses by status, Refused connections, and Unanswered the requests without a complete
	// response, by caller.
	Statuses   map[int]int
	Refused    int
	Unanswered map[routerCaller]int
	// Long counts the long chats by verdict.
	Long             map[load.Verdict]int
	LongestRefusalMs int64
	Ends             map[string]int
	Findings         []string
}

// routerRun is a dooryard-router whose processes are replaced while callers use it.
type routerRun struct {
	settings Settings
	fleet    *localfleet.Fleet
	process  *process
	ip       string

	mu       sync.Mutex
	report   RouterReport
	lost     []string
	refusals []refusal
}

func newRouterRun(settings Settings) *routerRun {
	return &routerRun{
		settings: settings, ip: (&fleet{settings: settings}).ip(1),
		report: RouterReport{
			Seed: settings.Seed, Statuses: map[int]int{}, Unanswered: map[routerCaller]int{},
			Long: map[load.Verdict]int{}, Ends: map[string]int{},
		},
	}
}

// RunRouter runs one seed against the dooryard-router at settings.Program: each process is stopped under callers that
// send without a pause, and the next one is started before it has ended.
func RunRouter(ctx context.Context, settings Settings) (RouterReport, error) {
	r := newRouterRun(settings)
	if err := os.MkdirAll(settings.Folder, 0o750); err != nil {
		return r.report, err
	}
	var err error
	r.fleet, err = localfleet.Start(ctx, localfleet.Config{
		Domains: []string{"north"}, EnginesPerDomain: 2, ServersPerDomain: 2,
		Organisations: []localfleet.Organisation{{Name: routerOrganisation}}, Performance: standin.DefaultPerformance(),
	})
	if err != nil {
		return r.report, err
	}
	defer func() { _ = r.fleet.Stop() }()
	r.process, err = newProcess(settings.Program, settings.Folder, "router", r.file())
	if err != nil {
		return r.report, err
	}
	defer func() { _ = r.process.kill() }()
	if err := r.play(ctx); err != nil {
		return r.report, err
	}
	return r.report, r.fill()
}

// file returns the content of the settings file.
func (r *routerRun) file() string {
	address := func(port int) string { return net.JoinHostPort(r.ip, strconv.Itoa(port)) }
	return fmt.Sprintf(`box: north-box
failure_domain: north
callers: {address: %q}
peers: {address: %q, key_file: %q, gossip_address: %q}
operators: {address: %q, key_file: %q}
platform: {log_url: %q, weight_store_url: %q, box_list_url: %q}
stop: {announce_ms: %d, drain_ms: %d}
traces: {exporter: none}
`, address(callersPort), address(peersPort), r.fleet.OperatorsKeyFile(), address(peersPort), address(metricsPort),
		r.fleet.OperatorsKeyFile(), r.fleet.PlatformURL(), r.fleet.PlatformURL(), r.fleet.PlatformURL(),
		routerAnnounceMs, routerDrainMs)
}

// play replaces the process for the span of the run, and stops the last one.
func (r *routerRun) play(ctx context.Context) error {
	if err := r.process.start(); err != nil {
		return err
	}
	if err := r.awaitService(ctx); err != nil {
		return err
	}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	for i := range r.settings.Clients {
		callers.Go(func() { r.call(sending, routerCallers()[i%len(routerCallers())]) })
	}
	callers.Go(func() { r.probe(sending) })
	random := rand.New(rand.NewPCG(r.settings.Seed, 1))
	var err error
	for until := time.Now().Add(r.settings.Span); err == nil && time.Now().Before(until) && ctx.Err() == nil; {
		sleep(ctx, drawMs(random, 0, maxRouterGapMs))
		err = r.restart(ctx, random)
	}
	if err == nil {
		err = r.process.signal(syscall.SIGTERM)
	}
	if err == nil {
		err = r.process.awaitStop()
	}
	stop()
	callers.Wait()
	return err
}

// awaitService waits until the router answers.
func (r *routerRun) awaitService(ctx context.Context) error {
	for until := time.Now().Add(routerStartTimeout); !r.answers(); sleep(ctx, probeInterval) {
		if time.Now().After(until) || ctx.Err() != nil {
			return fmt.Errorf("dooryard-router does not serve %s after its start: see %s", routerStartTimeout, r.process.log)
		}
	}
	return nil
}

// restart stops the process while a long chat is in flight, and starts the next one beside it.
func (r *routerRun) restart(ctx context.Context, random *rand.Rand) error {
	tokens, stream := shortChatTokens, random.IntN(2) == 0
	if random.IntN(2) == 0 {
		tokens = outlastsTokens
	}
	if err := r.awaitService(ctx); err != nil {
		return err
	}
	lead, delay := drawMs(random, 0, maxRouterLeadMs), drawMs(random, 0, maxRouterDelayMs)*time.Duration(random.IntN(2))
	last := r.process.current()
	var long sync.WaitGroup
	long.Go(func() {
		result, ended := r.chat(ctx, tokens, stream), time.Now()
		r.recordChat(tokens, result, ended.Sub(r.process.terminatedAt(last)))
	})
	defer long.Wait()
	sleep(ctx, lead)
	if err := r.process.signalTo(last, syscall.SIGTERM); err != nil {
		return err
	}
	sleep(ctx, delay)
	if err := r.process.startBeside(last); err != nil {
		return err
	}
	if err := r.process.awaitStopOf(last); err != nil {
		return err
	}
	// The next process may have ended by itself, which is a finding.
	return r.process.start()
}

// terminatedAt returns when a process first got SIGTERM, or a time to come.
func (p *process) terminatedAt(i *incarnation) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i.asked.terminated.IsZero() {
		return time.Now().Add(time.Hour)
	}
	return i.asked.terminated
}

// chat sends a chat on a connection of its own.
func (r *routerRun) chat(ctx context.Context, tokens int, stream bool) load.Result {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	caller := load.Caller{Client: &http.Client{Transport: transport}, Clock: clock.New()}
	return caller.Chat(ctx, load.ChatRequest{
		URL: "http://" + r.callersAddress(), Key: localfleet.CallerKey(routerOrganisation), Mark: "a",
		Chat: engine.Chat{
			Model: localfleet.Model, Stream: stream, MaxTokens: tokens,
			Messages: []engine.Message{{Role: "user", Content: "a question"}},
		},
	})
}

// recordChat checks the result of a chat that ended some time after SIGTERM: it is whole, or the drain was over.
func (r *routerRun) recordChat(tokens int, result load.Result, sinceStop time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(result.Err, syscall.ECONNREFUSED) {
		r.report.Refused++
		return
	}
	r.report.Long[result.Verdict]++
	answered := result.Verdict == load.Refused || result.Verdict == load.Incomplete
	if result.Verdict == load.Complete || answered && sinceStop >= (routerAnnounceMs+routerDrainMs)*time.Millisecond {
		return
	}
	r.report.Findings = append(r.report.Findings,
		fmt.Sprintf("a chat of %d tokens ended %s after SIGTERM: %+v", tokens, millis(sinceStop), result))
}

func (r *routerRun) callersAddress() string { return net.JoinHostPort(r.ip, strconv.Itoa(callersPort)) }

// dial opens a connection of a caller.
func (r *routerRun) dial(timeout time.Duration) (*net.TCPConn, error) {
	conn, err := (&net.Dialer{Timeout: timeout}).DialContext(context.Background(), "tcp", r.callersAddress())
	if err != nil {
		return nil, err
	}
	tcp, _ := conn.(*net.TCPConn)
	return tcp, tcp.SetDeadline(time.Now().Add(timeout))
}

func (r *routerRun) request() string {
	return "GET /services/" + localfleet.ServiceName + "/changes HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer " +
		localfleet.CallerKey(routerOrganisation) + "\r\n\r\n"
}

// answers reports whether a request on a new connection gets a response soon.
func (r *routerRun) answers() bool {
	conn, err := r.dial(maxRefused)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, r.request()); err != nil {
		return false
	}
	_, _, err = readWhole(bufio.NewReader(conn))
	return err == nil
}

// readWhole reads a response with its body, and returns its status and whether it announces the close.
func readWhole(reader *bufio.Reader) (status int, closes bool, err error) {
	response, err := http.ReadResponse(reader, nil)
	for err == nil && response.StatusCode < http.StatusOK {
		response, err = http.ReadResponse(reader, nil)
	}
	if err != nil {
		return 0, true, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close, err
}

// probe observes for how long the router does not answer while a process should serve, until ctx ends.
func (r *routerRun) probe(ctx context.Context) {
	p := prober{
		box: r.process.name, serves: r.process.shouldServe, times: r.process.times,
		record: func(one refusal) { r.refusals = append(r.refusals, one) },
	}
	for ; ctx.Err() == nil; sleep(ctx, probeInterval) {
		p.observe(time.Now(), r.answers())
	}
	p.observe(time.Now(), true)
}

// call opens one connection after the other and sends requests, until ctx ends.
func (r *routerRun) call(ctx context.Context, kind routerCaller) {
	for ctx.Err() == nil {
		conn, err := r.dial(routerReadTimeout)
		if err != nil {
			r.mu.Lock()
			r.report.Refused++
			r.mu.Unlock()
			sleep(ctx, refusedGap)
			continue
		}
		reader := bufio.NewReader(conn)
		for keep := true; keep && ctx.Err() == nil; {
			keep = r.exchange(conn, reader, kind) && (kind == routerKept || kind == routerPipelined)
		}
		_ = conn.Close()
	}
}

// exchange sends requests and reads their responses. It reports whether the connection may be used again.
func (r *routerRun) exchange(conn *net.TCPConn, reader *bufio.Reader, kind routerCaller) bool {
	count := 1
	if kind == routerPipelined {
		count = pipelinedRequests
	}
	sent := time.Now()
	_, err := io.WriteString(conn, strings.Repeat(r.request(), count))
	if err == nil && kind == routerHalf {
		err = conn.CloseWrite()
	}
	for range count {
		status, closes := 0, true
		if err == nil {
			status, closes, err = readWhole(reader)
		}
		r.record(kind, sent, status, err)
		// By the protocol what follows a response that announces the close isn't processed, and may be sent again.
		if err != nil || closes {
			return false
		}
	}
	return conn.SetDeadline(time.Now().Add(routerReadTimeout)) == nil
}

func (r *routerRun) record(kind routerCaller, sent time.Time, status int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	if err == nil {
		r.report.Statuses[status]++
		return
	}
	r.report.Unanswered[kind]++
	r.lost = append(r.lost, fmt.Sprintf("%s: sent at %s, %s later: %v",
		kind, sent.Format(timeOfDay), millis(time.Since(sent)), err))
}

// fill fills in the report when everything has ended. A sound request is served, or refused for now.
func (r *routerRun) fill() error {
	r.report.Findings = append(r.report.Findings, r.process.findings()...)
	for _, e := range r.process.exits {
		r.report.Ends[e.kind()]++
	}
	for status, count := range r.report.Statuses {
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			r.report.Findings = append(r.report.Findings,
				fmt.Sprintf("%d of %d sound requests got the status %d", count, r.report.Requests, status))
		}
	}
	if len(r.lost) > maxLostOnKept {
		r.report.Findings = append(r.report.Findings,
			fmt.Sprintf("%d of %d requests without a complete response, the first: %s",
				len(r.lost), r.report.Requests, r.lost[0]))
	}
	for _, one := range r.refusals {
		span := one.to.Sub(one.from)
		r.report.LongestRefusalMs = max(r.report.LongestRefusalMs, span.Milliseconds())
		if span > maxRefused+timingSlack+one.waited {
			r.report.Findings = append(r.report.Findings, fmt.Sprintf(
				"no answer for %s from %s on, although a process was to serve that had been started before; "+
					"its threads waited %s for a processor", millis(span), one.from.Format(timeOfDay), millis(one.waited)))
		}
	}
	err := os.WriteFile(filepath.Join(r.settings.Folder, "unanswered.txt"), []byte(strings.Join(r.lost, "\n")), 0o600)
	if err == nil && len(r.report.Findings) > 0 {
		err = fmt.Errorf("%w: seed %d: %s", ErrGuaranteeViolated, r.settings.Seed, r.report.Findings[0])
	}
	return err
}
