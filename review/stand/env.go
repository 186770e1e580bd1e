package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errCannotRun means that the case could not be played.
var errCannotRun = errors.New("the case could not run")

// env holds what a case starts.
type env struct {
	trouble bool
	root    string
	dir     string
	start   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
	broken []string
}

func newEnv(recordPath string) (*env, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &env{trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir, start: time.Now(), record: record}, nil
}

// logf writes a line of the record.
func (e *env) logf(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(e.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = e.record.WriteString(line)
	fmt.Print(line)
}

// breaks records that the rule was broken.
func (e *env) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	e.logf("BROKEN: %s", text)
	e.mu.Lock()
	e.broken = append(e.broken, text)
	e.mu.Unlock()
}

// close ends all processes that the case started.
func (e *env) close() {
	for _, p := range e.procs {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	_ = os.RemoveAll(e.dir)
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// spawn starts a process. Each line of its output is passed to onLine, if that is not nil.
func (e *env) spawn(name string, onLine func(string), environ []string, args ...string) (*process, error) {
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir, cmd.Env = e.root, append(os.Environ(), environ...)
	log, err := os.OpenFile(filepath.Join(e.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	e.procs = append(e.procs, p)
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			_, _ = io.WriteString(log, lines.Text()+"\n")
			if onLine != nil {
				onLine(lines.Text())
			}
		}
		_ = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// Ports of the boxes. Each box has a loopback address of its own.
type fleet struct {
	env                       *env
	front, ready, peers, meas int
	net                       int
	contacts                  []string
}

func newFleet(e *env) *fleet {
	f := &fleet{env: e, net: 100 + os.Getpid()%100}
	for _, p := range []*int{&f.front, &f.ready, &f.peers, &f.meas} {
		*p = freePort()
	}
	for i := range 3 {
		f.contacts = append(f.contacts, fmt.Sprintf("%s:%d", f.ip(i), f.peers))
	}
	return f
}

func freePort() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func (f *fleet) ip(i int) string { return fmt.Sprintf("127.0.%d.%d", f.net, i+1) }

// box is a dooryard-gateway. Its settings are those of a box of crashdesk-tx.
type box struct {
	*process
	name, front, ready string
	settings           string
}

// endFirstStart changes the settings of a box to those of a later start.
func (b *box) endFirstStart() error {
	data, err := os.ReadFile(b.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(b.settings, bytes.Replace(data, []byte("first_start: true"), []byte("first_start: false"), 1), 0o600)
}

func (f *fleet) startBox(i int, zone, store string, firstStart bool) (*box, error) {
	name := fmt.Sprintf("front-%d", i)
	ip := f.ip(i)
	contacts, _ := json.Marshal(f.contacts)
	settings := fmt.Sprintf(`box: %q
failure_domain: %q
callers_address: "%s:%d"
readiness_address: "%s:%d"
peers_address: "%s:%d"
metrics_address: "%s:%d"
contacts: %s
first_start: %t
store:
  address: %q
freshness:
  max_age_ms: 5000
  in_force_ms: 2000
  leave_ms: 2000
balance:
  load_cap: 2
retry_budget:
  ratio: 0.2
  slack: 52
  window_s: 10
shutdown:
  grace_s: 8
capacity:
  memory_mb: 284
  open_files: 4100
platform_terms: ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
`, name, zone, ip, f.front, ip, f.ready, ip, f.peers, ip, f.meas, contacts, firstStart, store)
	path := filepath.Join(f.env.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	b := &box{
		name: name, front: fmt.Sprintf("%s:%d", ip, f.front), ready: fmt.Sprintf("%s:%d", ip, f.ready), settings: path,
	}
	return b, f.restart(b)
}

// restart starts the process of a box.
func (f *fleet) restart(b *box) error {
	p, err := f.env.spawn(b.name, nil, []string{"DOORYARD_NODE_FILE=" + b.settings}, "target/dooryard-gateway")
	if err != nil {
		return err
	}
	b.process = p
	f.env.logf("%s starts as process %d", b.name, p.cmd.Process.Pid)
	return nil
}

// awaitReady waits until a box says that it is ready.
func (b *box) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + b.ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: %s did not become ready", errCannotRun, b.name)
}

// answer is what a client got.
type answer struct {
	id       string
	status   int
	seal     string
	body     string
	complete bool
	err      string
	header   http.Header
}

func (a answer) String() string {
	if a.err != "" && a.status == 0 {
		return "no answer: " + a.err
	}
	return fmt.Sprintf("status %d, seal %q, %d bytes, complete %t %s", a.status, a.seal, len(a.body), a.complete, a.err)
}

// call is a client's request on a connection of its own.
type call struct {
	id, method, path, host, key string
	body                        string
	deadlineMs                  int
	headers                     map[string]string
}

// send sends a request to a box and reads the answer as a client of HTTP/1.1.
func send(b *box, c call) answer {
	a := answer{id: c.id}
	conn, err := net.DialTimeout("tcp", b.front, time.Second)
	if err != nil {
		a.err = err.Error()
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(c.deadlineMs+500) * time.Millisecond))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n",
		c.method, c.path, c.host, c.id, c.deadlineMs)
	if c.key != "" {
		fmt.Fprintf(&head, "Authorization: Token %s\r\n", c.key)
	}
	for name, value := range c.headers {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if c.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(c.body))
	}
	if _, err := io.WriteString(conn, head.String()+"\r\n"+c.body); err != nil {
		a.err = err.Error()
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		a.err = err.Error()
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.status, a.seal, a.body, a.complete = resp.StatusCode, resp.Header.Get("X-Response-Seal"), string(data), err == nil
	a.header = resp.Header
	if err != nil {
		a.err = err.Error()
	}
	return a
}

func key(i int) string { return fmt.Sprintf("key%d", i) }

// entry is the entry of a server in the store.
func entry(service, address, zone, state string, slots, sequence int) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": state,
		"coldLeftMs": 0, "sequence": sequence,
	}
}

type route struct {
	name, prefix, kind, service string
	attempts, timeoutMs         int
	public, resumable           bool
}

const host = "desk.example"

// config returns a configuration with one tenant.
func config(version int, routes []route, keys []string) map[string]any {
	services, list := []map[string]any{}, []map[string]any{}
	seen := map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": host, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMs,
			"targetLatencyMs": 300, "targetGapMs": 300, "priority": 2, "service": r.service, "attempts": r.attempts,
			"public": r.public, "sticky": false, "resumable": r.resumable,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{
				"name": r.service, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false,
			})
		}
	}
	return map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
		"tenants": []map[string]any{{"name": "county", "apiKeys": keys, "priority": 1}},
	}
}
