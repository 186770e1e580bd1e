package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	startTimeout = 10 * time.Second
	maxContacts  = 3
	firstNet     = 100
)

// fleet holds the boxes of a case. Each has a loopback address of its own; the ports are the same.
type fleet struct {
	env                                *env
	front, ready, peers, metrics, base int
	contacts                           []string
}

func newFleet(e *env) (*fleet, error) {
	f := &fleet{env: e, base: firstNet + os.Getpid()%firstNet}
	for _, port := range []*int{&f.front, &f.ready, &f.peers, &f.metrics} {
		address, err := freeAddress(e)
		if err != nil {
			return nil, err
		}
		if _, err := fmt.Sscanf(address, "127.0.0.1:%d", port); err != nil {
			return nil, err
		}
	}
	for i := range maxContacts {
		f.contacts = append(f.contacts, fmt.Sprintf("%s:%d", f.ip(i), f.peers))
	}
	return f, nil
}

// freeAddress returns a loopback address with a free port.
func freeAddress(e *env) (string, error) {
	l, err := listenLoopback(e.ctx)
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

func (f *fleet) ip(i int) string { return fmt.Sprintf("127.0.%d.%d", f.base, i+1) }

// box is a dooryard-gateway.
type box struct {
	*process
	name, front, ready, settings string
}

// boxSettings are those of a box of crashdesk-tx, by deploy/gateway.yaml.tmpl.
const boxSettings = `box: %q
failure_domain: %q
callers_address: "%s:%d"
readiness_address: "%s:%d"
peers_address: "%s:%d"
metrics_address: "%s:%d"
contacts: %s
first_start: true
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
`

// startBoxes starts a box in each of the zones, with the store at an address, and waits until they are ready.
func (f *fleet) startBoxes(store string, zones ...string) ([]*box, error) {
	boxes := []*box{}
	for i, zone := range zones {
		name, ip := fmt.Sprintf("front-%d", i), f.ip(i)
		contacts, err := json.Marshal(f.contacts)
		if err != nil {
			return nil, err
		}
		settings := fmt.Sprintf(boxSettings, name, zone, ip, f.front, ip, f.ready, ip, f.peers, ip, f.metrics,
			contacts, store)
		b := &box{
			name: name, front: fmt.Sprintf("%s:%d", ip, f.front), ready: fmt.Sprintf("%s:%d", ip, f.ready),
			settings: filepath.Join(f.env.dir, name+".yaml"),
		}
		if err := os.WriteFile(b.settings, []byte(settings), 0o600); err != nil {
			return nil, err
		}
		if err := f.start(b); err != nil {
			return nil, err
		}
		boxes = append(boxes, b)
	}
	for _, b := range boxes {
		if err := f.awaitReady(b); err != nil {
			return nil, err
		}
	}
	return boxes, nil
}

// command is the command of the deploy file.
func (f *fleet) command() (string, error) {
	data, err := os.ReadFile(filepath.Join(f.env.root, "deploy", "system.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if value, found := strings.CutPrefix(line, "run = "); found {
			return strings.Trim(value, `"`), nil
		}
	}
	return "", fmt.Errorf("%w: the deploy file has no command", errCannotRun)
}

// start starts the process of a box.
func (f *fleet) start(b *box) error {
	command, err := f.command()
	if err != nil {
		return err
	}
	p, err := f.env.spawn(b.name, nil, []string{"DOORYARD_NODE_FILE=" + b.settings}, strings.Fields(command)...)
	if err != nil {
		return err
	}
	b.process = p
	f.env.logf("%s starts as process %d", b.name, p.cmd.Process.Pid)
	return nil
}

// restart starts a box again that has ended. Its settings are those of a later start.
func (f *fleet) restart(b *box) error {
	data, err := os.ReadFile(b.settings)
	if err != nil {
		return err
	}
	data = bytes.Replace(data, []byte("first_start: true"), []byte("first_start: false"), 1)
	if err := os.WriteFile(b.settings, data, 0o600); err != nil {
		return err
	}
	return f.start(b)
}

// awaitReady waits until a box says that it is ready.
func (f *fleet) awaitReady(b *box) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(roundPause) {
		if f.isReady(b) {
			return nil
		}
	}
	return fmt.Errorf("%w: %s did not become ready", errCannotRun, b.name)
}

func (f *fleet) isReady(b *box) bool {
	request, err := http.NewRequestWithContext(f.env.ctx, http.MethodGet, "http://"+b.ready+"/api/ready", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := (&http.Client{Timeout: connectTimeout}).Do(request)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
