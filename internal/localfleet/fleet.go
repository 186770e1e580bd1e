// Package localfleet starts a small but complete fleet in one process: a platform, engines, plain services and boxes in
// failure domains, on loopback addresses. The demo, the load generator and tests use it.
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

// Names of the model and the plain service of every local fleet.
const (
	Model       = "planner"
	ServiceName = "rota"
)

// Config describes the fleet to start.
type Config struct {
	// Domains are the names of the failure domains. The counts below apply to each of them.
	Domains          []string
	BoxesPerDomain   int
	EnginesPerDomain int
	ServersPerDomain int
	Organisations    []Organisation
	Performance      standin.EnginePerformance
	// Settings, if set, modifies the settings of each box before it starts.
	Settings func(settings *config.Router)
	// BoxListDelayMs is the time by which the platform's box list lags behind.
	BoxListDelayMs clock.Millis
}

// Organisation is an organisation of a Config. Columns that are not set keep their defaults.
type Organisation struct {
	Name    string
	Columns map[string]string
}

// CallerKey returns the bearer key that callers of an organisation use.
func CallerKey(organisation string) string { return "caller-key-of-" + organisation }

// Fleet is a running fleet.
type Fleet struct {
	Platform *standin.Platform
	Ledger   *standin.RunCounter

	plan    Config
	clock   clock.Clock
	logger  *zap.Logger
	network func(host string) Network
	// beforeBoxes runs when the platform and the upstreams are up, before the first box starts.
	beforeBoxes func(f *Fleet)
	keyDir      string
	client      *http.Client

	mu              sync.Mutex
	servers         []*http.Server
	engines         []*EngineProcess
	services        []*ServiceProcess
	boxes           []*BoxProcess
	platformAddress string
	running         sync.WaitGroup
	ctx             context.Context
	cancel          context.CancelFunc
}

// EngineProcess is a running engine and its address.
type EngineProcess struct {
	*standin.Engine
	Name    string
	Domain  string
	Address string
	server  *http.Server
}

// Kill closes the engine's listener and all its connections.
func (p *EngineProcess) Kill() { _ = p.server.Close() }

// ServiceProcess is a running server of the plain service and its address.
type ServiceProcess struct {
	*standin.Server
	Name    string
	Domain  string
	Address string
	server  *http.Server
}

// BoxProcess is a running box.
type BoxProcess struct {
	*box.Box
	Name     string
	Domain   string
	Settings config.Router
	done     chan error
}

// Wait waits until the box has stopped and returns the error of its Run. It must be called at most once.
func (p *BoxProcess) Wait() error { return <-p.done }

// Option configures a Fleet.
type Option func(*Fleet)

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(f *Fleet) { f.clock = c } }

// WithLogger sets the logger of the boxes.
func WithLogger(logger *zap.Logger) Option { return func(f *Fleet) { f.logger = logger } }

// Network holds the functions by which a host listens and dials.
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

// WithNetwork replaces the loopback network. The function is called once for each host.
func WithNetwork(network func(host string) Network) Option {
	return func(f *Fleet) { f.network = network }
}

// WithBeforeBoxes sets a function that runs before the first box starts, for example to simulate a platform outage at
// that time.
func WithBeforeBoxes(call func(f *Fleet)) Option { return func(f *Fleet) { f.beforeBoxes = call } }

func loopback(string) Network {
	return Network{Listen: server.ListenTCP, Packets: net.ListenPacket, Dial: (&net.Dialer{}).DialContext}
}

const (
	keyBytes       = 32
	maxIdlePerHost = 256
)

// Start starts a fleet and waits until every box has read the table. Stop must be called to release its resources.
func Start(ctx context.Context, plan Config, options ...Option) (*Fleet, error) {
	f := &Fleet{
		Ledger: standin.NewRunCounter(), plan: plan, clock: clock.New(), logger: zap.NewNop(), network: loopback,
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
		return fmt.Errorf("create key directory: %w", err)
	}
	f.keyDir = dir
	for _, name := range []string{"peers", "operators"} {
		key := make([]byte, keyBytes)
		// rand.Read never fails.
		_, _ = rand.Read(key)
		if err := os.WriteFile(f.keyFile(name), []byte(hex.EncodeToString(key)), 0o600); err != nil {
			return fmt.Errorf("write key file: %w", err)
		}
	}
	return nil
}

func (f *Fleet) keyFile(name string) string { return filepath.Join(f.keyDir, name) }

// OperatorsKeyFile returns the path of the file that holds the operators' key.
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
		standin.NewBoxes(f.clock, f.plan.BoxListDelayMs),
	)
	var err error
	_, f.platformAddress, err = f.serve(HostPlatform, f.Platform)
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
	fake := standin.NewEngine(
		name, []string{Model}, standin.WithEngineClock(f.clock), standin.WithPerformance(f.plan.Performance))
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

// writeTable appends the edit that creates the initial table to the platform's log.
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
		set(table.Upstreams, e.Name, "slots", fmt.Sprint(f.plan.Performance.Slots))
	}
	for _, s := range f.services {
		for column, value := range upstreamColumns(table.KindService, s.Domain, s.Address, ServiceName) {
			set(table.Upstreams, s.Name, column, value)
		}
	}
	data, err := json.Marshal(edit)
	if err != nil {
		return fmt.Errorf("encode initial table: %w", err)
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

// waitForTable waits until all boxes have read the initial table.
func (f *Fleet) waitForTable() error {
	ctx, cancel := context.WithTimeout(f.ctx, (10 * clock.Second).Duration())
	defer cancel()
	for _, b := range f.Boxes() {
		if err := b.Store().WaitFor(ctx, 1); err != nil {
			return fmt.Errorf("wait for the table of box %s: %w", b.Name, err)
		}
	}
	return nil
}

// StartBox starts another box and adds it to the platform's box list.
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
			LogURL: "http://" + f.platformAddress, WeightStoreURL: "http://" + f.platformAddress,
			BoxListURL: "http://" + f.platformAddress,
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
		return nil, fmt.Errorf("create box %s: %w", settings.Box, err)
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

// list adds a box to the platform's box list, or replaces its entry.
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

// Boxes returns the boxes, including killed and drained ones.
func (f *Fleet) Boxes() []*BoxProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*BoxProcess(nil), f.boxes...)
}

// Engines returns the engines.
func (f *Fleet) Engines() []*EngineProcess { return f.engines }

// Services returns the servers of the plain service.
func (f *Fleet) Services() []*ServiceProcess { return f.services }

// Client returns an HTTP client that dials from the host HostCallers.
func (f *Fleet) Client() *http.Client { return f.client }

// PlatformURL returns the URL of the platform.
func (f *Fleet) PlatformURL() string { return "http://" + f.platformAddress }

// Stop stops all processes of the fleet and removes the key files.
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
		return fmt.Errorf("remove key directory: %w", err)
	}
	return nil
}
