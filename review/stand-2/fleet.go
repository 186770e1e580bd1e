package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes record.txt: what was sent, answered and run, and what the test did.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cantRun("record: %v", err)
	}
	return &record{file: file, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cantRun ends the test as one that could not run.
func cantRun(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	endAll()
	os.Exit(exitCantRun)
}

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCantRun = 2
)

var processes struct {
	mu  sync.Mutex
	all []*process
}

// process is a process that the test started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a process. Its standard output goes to a function, line by line. It ends with the test.
func start(name string, onLine func(line string), env []string, program string, args ...string) *process {
	cmd := exec.CommandContext(context.Background(), program, args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = startLocked(cmd)
	}
	if err != nil {
		cantRun("start of %s: %v", name, err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	processes.mu.Lock()
	processes.all = append(processes.all, p)
	processes.mu.Unlock()
	go func() {
		lines := bufio.NewReader(out)
		for {
			line, err := lines.ReadString('\n')
			if line != "" {
				onLine(strings.TrimRight(line, "\n"))
			}
			if err != nil {
				break
			}
		}
		_ = cmd.Wait()
		close(p.done)
	}()
	return p
}

// starts runs on a thread that does not end, since the kernel ends a child with the thread that started it.
var starts = func() chan func() {
	calls := make(chan func())
	go func() {
		lockThread()
		for call := range calls {
			call()
		}
	}()
	return calls
}()

func startLocked(cmd *exec.Cmd) error {
	result := make(chan error)
	starts <- func() { result <- cmd.Start() }
	return <-result
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// endAll ends all processes.
func endAll() {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	for _, p := range processes.all {
		select {
		case <-p.done:
		default:
			p.kill()
		}
	}
}

// network hands out loopback addresses. All boxes have the same ports.
type network struct {
	prefix string
	port   int
	next   int
}

// Ports of a box, counted from the first one.
const (
	portCallers = iota
	portReadiness
	portMetrics
	portContacts
	portPeers
	portsPerBox = portPeers + 16
)

// newNetwork finds a part of the loopback network on which nothing listens at the ports.
func newNetwork(boxes int) *network {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		n := &network{prefix: prefix, port: 20000 + rand.IntN(12000)}
		if n.free(boxes) {
			return n
		}
	}
	cantRun("no free ports")
	return nil
}

func (n *network) free(boxes int) bool {
	for box := range boxes {
		for port := range portsPerBox {
			l, err := listen(n.box(box, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (n *network) box(box, port int) string {
	return fmt.Sprintf("%s%d:%d", n.prefix, 1+box, n.port+port)
}

// listen opens a listener at an address of its own.
func (n *network) listen() net.Listener {
	n.next++
	l, err := listen(fmt.Sprintf("%s%d:0", n.prefix, 100+n.next))
	if err != nil {
		cantRun("listen: %v", err)
	}
	return l
}

// fleet is some boxes, the store, and what the test writes down.
type fleet struct {
	*record
	dir     string
	network *network
	store   *store
	address string
	zones   []string
	boxes   []*process
}

// newFleet returns a fleet of a box for each of the zones.
func newFleet(folder string, zones ...string) *fleet {
	dir, err := os.MkdirTemp("", "dooryard-case-")
	if err != nil {
		cantRun("%v", err)
	}
	f := &fleet{
		record: newRecord(filepath.Join(folder, "record.txt")), dir: dir, network: newNetwork(len(zones)),
		store: newStore(), zones: zones, boxes: make([]*process, len(zones)),
	}
	l := f.network.listen()
	f.address = l.Addr().String()
	go f.store.serve(l)
	return f
}

// end ends all processes, and the test.
func (f *fleet) end(broken int, summary string) {
	endAll()
	_ = os.RemoveAll(f.dir)
	f.line("end: %s", summary)
	fmt.Println(summary)
	if broken > 0 {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// settings returns the settings file of a box, as deploy/gateway.yaml.tmpl is filled for a small deployment.
func (f *fleet) settings(box int, first bool) string {
	contacts := []string{}
	for i := range min(3, len(f.zones)) {
		contacts = append(contacts, `"`+f.network.box(i, portContacts)+`"`)
	}
	return fmt.Sprintf(`box: "front-%s-%d"
failure_domain: "%s"
callers_address: "%s"
readiness_address: "%s"
peers_address: "%s"
peers_last_port: %d
metrics_address: "%s"
contacts: [%s]
first_start: %t
store:
  address: "%s"
freshness:
  max_age_ms: 5000
  in_force_ms: 2000
  leave_ms: 2000
  evacuate_ms: 
balance:
  load_cap: 2
  cold_factor: 
  cold_slack: 
retry_budget:
  ratio: 0.2
  slack: 52
  window_s: 10
shutdown:
  grace_s: 8
capacity:
  memory_mb: 284
  open_files: 4100
  processors: 1
platform_terms: ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
`, f.zones[box], box, f.zones[box], f.network.box(box, portCallers), f.network.box(box, portReadiness),
		f.network.box(box, portPeers), f.network.port+portsPerBox-1, f.network.box(box, portMetrics),
		strings.Join(contacts, ","), first, f.address)
}

// startBox starts a box.
func (f *fleet) startBox(box int, first bool) {
	path := filepath.Join(f.dir, fmt.Sprintf("box-%d.yaml", box))
	if err := os.WriteFile(path, []byte(f.settings(box, first)), 0o600); err != nil {
		cantRun("%v", err)
	}
	log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("box-%d.log", box)))
	if err != nil {
		cantRun("%v", err)
	}
	name := fmt.Sprintf("box %d", box)
	f.boxes[box] = start(name, func(line string) { _, _ = io.WriteString(log, line+"\n") },
		[]string{"DOORYARD_NODE_FILE=" + path}, "target/dooryard-gateway")
	f.line("%s started, process %d", name, f.boxes[box].cmd.Process.Pid)
}

// startAll starts all boxes and waits until they are ready.
func (f *fleet) startAll() {
	for box := range f.boxes {
		f.startBox(box, true)
	}
	for box := range f.boxes {
		f.awaitReady(box)
	}
}

// ready reports whether a box calls itself ready.
func (f *fleet) ready(box int) bool {
	const question = "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	status, _, _, err := exchange(f.network.box(box, portReadiness), question, time.Second)
	return err == nil && status == 200
}

func (f *fleet) awaitReady(box int) {
	for range 200 {
		if f.ready(box) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	cantRun("box %d is not ready", box)
}

func (f *fleet) callersOf(box int) string { return f.network.box(box, portCallers) }
