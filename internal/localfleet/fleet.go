// Package localfleet starts a whole small fleet in one process: a platform,
// engines, plain services and boxes in failure domains, on loopback addresses.
// The demo, the load tool and tests use it.
package localfleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/box"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/server"
	"dooryard.example/dooryard/internal/standin"
	"dooryard.example/dooryard/internal/table"
	"dooryard.example/dooryard/internal/tablestore"
	"dooryard.example/dooryard/internal/transport"
	"dooryard.example/dooryard/pkg/config"
)

// Names that every local fleet uses.
const (
	Model       = "planner"
	ServiceName = "rota"
)

// Plan says what a fleet consists of.
type Plan struct {
	// Domains are the failure domains; each gets the counts below.
	Domains          []string
	BoxesPerDomain   int
	EnginesPerDomain int
	ServersPerDomain int
	Organisations    []Organisation
	Speed            standin.EngineSpeed
	// Settings changes the settings of each box before it starts.
	Settings func(settings *config.Router)
	// BoxListLagMs is the age of the platform's list of boxes.
	BoxListLagMs clock.Millis
}

// Organisation is one organisation of a plan. Empty columns keep the defaults.
type Organisation struct {
	Name    string
	Columns map[string]string
}

// CallerKey returns the bearer key of an organisation.
func CallerKey(organisation string) string { return "caller-key-of-" + organisation }

// Fleet is a running fleet.
type Fleet struct {
	Platform *standin.Platform
	Ledger   *standin.RunLedger

	plan    Plan
	clock   clock.Clock
	logger  *zap.Logger
	network func(host string) Network
	// beforeBoxes runs once the platform and the upstreams are there.
	beforeBoxes func(f *Fleet)
	keyDir      string
	client      *http.Client

	mu       sync.Mutex
	servers  []*http.Server
	engines  []*EngineProcess
	services []*ServiceProcess
	boxes    []*BoxProcess
	address  string
	running  sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

// EngineProcess is one engine and where it listens.
type EngineProcess struct {
	*standin.Engine
	Name    string
	Domain  string
	Address string
	server  *http.Server
}

// Kill breaks the engine's connections and stops listening.
func (p *EngineProcess) Kill() { _ = p.server.Close() }

// ServiceProcess is one server of a plain service.
type ServiceProcess struct {
	*standin.Server
	Name    string
	Domain  string
	Address string
	server  *http.Server
}

// BoxProcess is one box.
type BoxProcess struct {
	*box.Box
	Name     string
	Domain   string
	Settings config.Router
	done     chan error
}

// Wait returns what the box's Run returned.
func (p *BoxProcess) Wait() error { return <-p.done }

// Option changes a Fleet under construction.
type Option func(*Fleet)

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(f *Fleet) { f.clock = c } }

// WithLogger sets the logger of the boxes.
func WithLogger(logger *zap.Logger) Option { return func(f *Fleet) { f.logger = logger } }

// Network is one host's way to the others.
type Network struct {
	Listen  server.Listen
	Packets box.ListenPackets
	Dial    transport.Dial
}

// Names of hosts that are neither boxes nor upstreams.
const (
	HostPlatform = "platform"
	HostCallers  = "callers"
)

// WithNetwork replaces the network; the function is asked once for each host.
func WithNetwork(network func(host string) Network) Option {
	return func(f *Fleet) { f.network = network }
}

// WithBeforeBoxes sets a function that runs before the first box starts, as to have the
// platform away then.
func WithBeforeBoxes(call func(f *Fleet)) Option { return func(f *Fleet) { f.beforeBoxes = call } }

func loopback(string) Network {
	return Network{Listen: net.Listen, Packets: net.ListenPacket, Dial: (&net.Dialer{}).DialContext}
}

const (
	keyBytes       = 32
	maxIdlePerHost = 256
)

// Start starts a fleet and waits until every box has the table. Stop ends it.
func Start(ctx context.Context, plan Plan, options ...Option) (*Fleet, error) {
	f := &Fleet{
		Ledger: standin.NewRunLedger(), plan: plan, clock: clock.New(), logger: zap.NewNop(), network: loopback,
		beforeBoxes: func(*Fleet) {},
	}
	for _, option := range options {
		option(f)
	}
	f.ctx, f.cancel = context.WithCancel(ctx)
	f.client = &http.Client{Transport: &http.Transport{
		DialContext: f.network(HostCallers).Dial, MaxIdleConnsPerHost: maxIdlePerHost,
	}}
	for _, step := range []func() error{f.makeKeys, f.startPlatform, f.startUpstreams, f.writeTable, f.startBoxes} {
		if err := step(); err != nil {
			return nil, errors.Join(err, f.Stop())
		}
	}
	return f, nil
}

func (f *Fleet) makeKeys() error {
	dir, err := os.MkdirTemp("", "dooryard-keys-")
	if err != nil {
		return fmt.Errorf("key directory: %w", err)
	}
	f.keyDir = dir
	for _, name := range []string{"peers", "operators"} {
		key := make([]byte, keyBytes)
		// rand.Read never fails.
		_, _ = rand.Read(key)
		if err := os.WriteFile(f.keyFile(name), []byte(hex.EncodeToString(key)), 0o600); err != nil {
			return fmt.Errorf("key file: %w", err)
		}
	}
	return nil
}

func (f *Fleet) keyFile(name string) string { return filepath.Join(f.keyDir, name) }

// OperatorsKeyFile returns the file of the operators' key.
func (f *Fleet) OperatorsKeyFile() string { return f.keyFile("operators") }

// OperatorsKey returns the operators' key.
func (f *Fleet) OperatorsKey() (string, error) {
	data, err := os.ReadFile(f.keyFile("operators"))
	return string(data), err
}

// serve starts an HTTP server and returns its address.
func (f *Fleet) serve(host string, handler http.Handler) (*http.Server, string, error) {
	listener, err := f.network(host).Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("listen: %w", err)
	}
	httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: (10 * clock.Second).Duration()}
	f.mu.Lock()
	f.servers = append(f.servers, httpServer)
	f.mu.Unlock()
	f.running.Go(func() { _ = httpServer.Serve(listener) })
	return httpServer, listener.Addr().String(), nil
}

const (
	loadsPerMinute = 60
	logRetentionMs = 2 * 60 * 60 * clock.Second
)

func (f *Fleet) startPlatform() error {
	f.Platform = standin.NewPlatform(
		standin.NewLog(standin.WithLogClock(f.clock), standin.WithRetention(logRetentionMs)),
		standin.NewWeights(f.clock, loadsPerMinute),
		standin.NewBoxes(f.clock, f.plan.BoxListLagMs),
	)
	var err error
	_, f.address, err = f.serve(HostPlatform, f.Platform)
	return err
}

func (f *Fleet) startUpstreams() error {
	for _, domain := range f.plan.Domains {
		for i := range f.plan.EnginesPerDomain {
			if err := f.startEngine(domain, fmt.Sprintf("%s-engine-%02d", domain, i)); err != nil {
				return err
			}
		}
		for i := range f.plan.ServersPerDomain {
			if err := f.startService(domain, fmt.Sprintf("%s-server-%02d", domain, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startEngine(domain, name string) error {
	fake := standin.NewEngine(name, []string{Model}, standin.WithEngineClock(f.clock), standin.WithSpeed(f.plan.Speed))
	httpServer, address, err := f.serve(name, fake)
	if err != nil {
		return err
	}
	f.engines = append(f.engines, &EngineProcess{
		Engine: fake, Name: name, Domain: domain, Address: address, server: httpServer,
	})
	return nil
}

func (f *Fleet) startService(domain, name string) error {
	fake := standin.NewServer(name, f.Ledger, f.clock)
	httpServer, address, err := f.serve(name, fake)
	if err != nil {
		return err
	}
	f.services = append(f.services, &ServiceProcess{
		Server: fake, Name: name, Domain: domain, Address: address, server: httpServer,
	})
	return nil
}

// writeTable appends the edit that fills the table.
func (f *Fleet) writeTable() error {
	edit := table.Edit{ID: "first-table", Operator: "localfleet"}
	set := func(sheet, row, column, value string) {
		edit.Changes = append(edit.Changes, table.Change{Sheet: sheet, Row: row, Column: column, Value: value})
	}
	set(table.Models, Model, "deadline_ms", "60000")
	set(table.Services, ServiceName, "repeatable", "GET /")
	for _, organisation := range f.plan.Organisations {
		set(table.Organisations, organisation.Name, "key_sha256", table.HashKey(CallerKey(organisation.Name)))
		for column, value := range organisation.Columns {
			set(table.Organisations, organisation.Name, column, value)
		}
	}
	for _, e := range f.engines {
		for column, value := range upstreamColumns(table.KindEngine, e.Domain, e.Address, Model) {
			set(table.Upstreams, e.Name, column, value)
		}
		set(table.Upstreams, e.Name, "slots", fmt.Sprint(f.plan.Speed.Slots))
	}
	for _, s := range f.services {
		for column, value := range upstreamColumns(table.KindService, s.Domain, s.Address, ServiceName) {
			set(table.Upstreams, s.Name, column, value)
		}
	}
	data, err := json.Marshal(edit)
	if err != nil {
		return fmt.Errorf("encode first table: %w", err)
	}
	f.Platform.Log.Append(tablestore.Stream, data)
	return nil
}

func upstreamColumns(kind, domain, address, serves string) map[string]string {
	return map[string]string{"kind": kind, "failure_domain": domain, "address": address, "serves": serves}
}

func (f *Fleet) startBoxes() error {
	f.beforeBoxes(f)
	for _, domain := range f.plan.Domains {
		for i := range f.plan.BoxesPerDomain {
			if _, err := f.StartBox(domain, fmt.Sprintf("%s-box-%d", domain, i)); err != nil {
				return err
			}
		}
	}
	return f.waitForTable()
}

// waitForTable waits until all boxes hold the first table.
func (f *Fleet) waitForTable() error {
	ctx, cancel := context.WithTimeout(f.ctx, (10 * clock.Second).Duration())
	defer cancel()
	for _, b := range f.Boxes() {
		if err := b.Store().WaitFor(ctx, 1); err != nil {
			return fmt.Errorf("box %s: %w", b.Name, err)
		}
	}
	return nil
}

// StartBox starts one more box and tells the platform's list of it.
func (f *Fleet) StartBox(domain, name string) (*BoxProcess, error) {
	settings := f.boxSettings(domain, name)
	if f.plan.Settings != nil {
		f.plan.Settings(&settings)
	}
	return f.startBox(settings)
}

func (f *Fleet) boxSettings(domain, name string) config.Router {
	const anyPort = "127.0.0.1:0"
	return config.Router{
		Box: name, FailureDomain: domain,
		Callers:   config.Listener{Address: anyPort},
		Operators: config.Listener{Address: anyPort, KeyFile: f.keyFile("operators")},
		Peers: config.Peers{
			Listener:      config.Listener{Address: anyPort, KeyFile: f.keyFile("peers")},
			GossipAddress: anyPort,
		},
		Platform: config.Platform{
			LogURL: "http://" + f.address, WeightStoreURL: "http://" + f.address, BoxListURL: "http://" + f.address,
		},
		Stop: config.Stop{AnnounceMs: 200},
	}
}

func (f *Fleet) startBox(settings config.Router) (*BoxProcess, error) {
	network := f.network(settings.Box)
	b, err := box.New(f.ctx, settings,
		box.WithClock(f.clock), box.WithLogger(f.logger.With(zap.String("box", settings.Box))),
		box.WithListen(network.Listen), box.WithListenPackets(network.Packets), box.WithDial(network.Dial))
	if err != nil {
		return nil, fmt.Errorf("box %s: %w", settings.Box, err)
	}
	process := &BoxProcess{
		Box: b, Name: settings.Box, Domain: settings.FailureDomain, Settings: settings, done: make(chan error, 1),
	}
	f.mu.Lock()
	f.boxes = append(f.boxes, process)
	f.mu.Unlock()
	f.list(process, backing.BoxLive)
	f.running.Go(func() { process.done <- b.Run(f.ctx) })
	return process, nil
}

// list tells the platform's list of a box.
func (f *Fleet) list(p *BoxProcess, state backing.BoxState) {
	addresses := p.Addresses()
	f.Platform.Boxes.Set(func(list *backing.BoxListReply) {
		list.Boxes = slices.DeleteFunc(list.Boxes, func(listed backing.ListedBox) bool {
			return listed.Name == p.Name
		})
		list.Boxes = append(list.Boxes, backing.ListedBox{
			Name: p.Name, FailureDomain: p.Domain, State: state,
			GossipAddress: addresses.Gossip, PeerAddress: addresses.Peers,
		})
	})
}

// Boxes returns the boxes, killed and drained ones included.
func (f *Fleet) Boxes() []*BoxProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*BoxProcess(nil), f.boxes...)
}

// Engines returns the engines.
func (f *Fleet) Engines() []*EngineProcess { return f.engines }

// Services returns the servers of the plain service.
func (f *Fleet) Services() []*ServiceProcess { return f.services }

// Client returns an HTTP client on the fleet's network.
func (f *Fleet) Client() *http.Client { return f.client }

// PlatformURL returns the URL of the platform.
func (f *Fleet) PlatformURL() string { return "http://" + f.address }

// Stop ends everything and removes the keys.
func (f *Fleet) Stop() error {
	for _, b := range f.Boxes() {
		b.Kill()
	}
	f.cancel()
	f.mu.Lock()
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.mu.Unlock()
	for _, e := range f.engines {
		e.Close()
	}
	f.running.Wait()
	f.client.CloseIdleConnections()
	if f.keyDir == "" {
		return nil
	}
	if err := os.RemoveAll(f.keyDir); err != nil {
		return fmt.Errorf("remove keys: %w", err)
	}
	return nil
}
