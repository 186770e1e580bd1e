package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// Ports of the boxes and their settings. Each box has its own IP address, so all share the ports.
const (
	callersPort   = 21000
	readinessPort = 21001
	metricsPort   = 21002
	peersPort     = 21003
	// RevocationBoundMs is how long a key may still be used after its removal.
	RevocationBoundMs = 5000
	shutdownGraceS    = 4
	domainCount       = 3
	maxAgeMs          = RevocationBoundMs
	retrySlack        = 50
)

// Settings are the settings of one run.
type Settings struct {
	// Program is the path of dooryard-gateway.
	Program string
	// Earlier is the path of a dooryard-gateway of another release, which every other start of a process uses, or empty.
	Earlier string
	// Folder is where the run writes logs and settings files.
	Folder string
	Seed   uint64
	Boxes  int
	// Servers is the number of servers.
	Servers int
	Clients int
	Span    time.Duration
	// Timed also checks time bounds. It omits the faults that are marked fleetWide, so that most
	// boxes are undisturbed most of the time. It needs a machine that is otherwise idle.
	Timed bool
	// Evacuations also evacuates zones.
	Evacuations bool
	// Partitions also separates boxes from all servers, and makes servers brittle, silent for a second, or end
	// responses with their connections.
	Partitions bool
	// Stalls also holds back the data between some boxes and all servers for some time, while connections open.
	Stalls bool
	// Overload also sends long prompts to servers that read them one after the other, at a changing pace, and switches
	// admission and learned paces on.
	Overload bool
	// Load sends prompts at a swinging rate instead of the requests and the faults of servers, and checks the load bound.
	Load bool
	// Admission switches admission on.
	Admission bool
	// Calm leaves out the faults that have no schedule of their own.
	Calm bool
	// Processes also injects faults around processes: signals in series, and settings files, ports and readers of
	// standard output that fail for some time.
	Processes bool
	// Planned plays planned work only: stops, reloads, configurations and draining servers, with kept connections.
	Planned bool
	// Quotas also gives boxes only a share of processor time for some time, and Callers also sends requests of callers
	// that use their connections in unusual ways. Both need Processes or Planned, or Quotas Exact.
	Quotas, Callers bool
	// Overlaps also starts the next process of a box before the one before it has ended. It needs Processes, Planned or
	// Ends.
	Overlaps bool
	// Wire also sends requests of callers in unusual forms, and makes servers respond without a length. It needs
	// Processes or Planned.
	Wire bool
	// Strangers also sends what is no request to each port of boxes, and has the store send garbled, torn and old
	// responses. It needs Processes or Planned.
	Strangers bool
	// HeldPorts also restarts boxes of which another process takes a port until the run ends, takes listeners from boxes
	// that run, and gives boxes several ports for each other. It needs Processes or Planned.
	HeldPorts bool
	// Exact sends requests of callers that wait for exactly as long as they tell instead of the usual ones and of the
	// faults that have no schedule of their own.
	Exact bool
	// Ends has servers end in all ways, with boxes that have a part of one processor and are stopped and killed, instead
	// of the usual clients, servers and faults.
	Ends bool
	// Leavings removes keys and has servers leave all the time, with disturbances of boxes and of their ways to the
	// store, instead of the faults that have no schedule of their own. It checks both bounds for each request.
	Leavings bool
	// Limits runs boxes under limits and in surroundings that whoever starts processes may have. It needs Processes or
	// Planned. Processors is what their settings allow, or 0 for a program whose settings don't have it. Without Limits,
	// every other box may use severalProcessors.
	Limits     bool
	Processors int
	// KeepVersions makes servers that restart under their id run the same software version.
	KeepVersions bool
}

// box is a box process, its link from the callers and its link to the store.
type box struct {
	name    string
	ip      string
	process *process
	callers *link
	store   *link
	// changing is held while the settings file or a port of the box is not as it should be.
	changing sync.Mutex
}

// server is an address at which successive incarnations of a server run.
type server struct {
	zone string
	// link is nil if boxes connect to the server directly, at address.
	link    *link
	address string
	// beginWork records that the server got a request.
	beginWork func(
		ctx context.Context, request, server string, linkDisturbed func(from, to time.Time) bool,
	) (end func(brokeOff bool))
	// recordExactResponse records a response to an exact caller.
	recordExactResponse func(id string)

	mu      sync.Mutex
	current *standin.Server
	down    bool
	// draining is set once the server announced that it drains. replaced is set while another
	// writer's entry replaces the server's entry.
	draining, replaced bool
}

// ServeHTTP passes the request to the current incarnation, and records the work on it.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	current, down := s.current, s.down
	s.mu.Unlock()
	if id := r.Header.Get(standin.HeaderRequestID); id != "" {
		defer s.recordWork(r.Context(), id, current)()
	}
	if down {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get(exactHeader) != "" {
		s.serveExact(w, r, s.recordExactResponse)
		return
	}
	current.ServeHTTP(w, r)
}

// recordWork records work on a request until the returned function is called, which must be deferred.
func (s *server) recordWork(ctx context.Context, request string, by *standin.Server) (end func()) {
	linkDisturbed := func(time.Time, time.Time) bool { return false }
	if s.link != nil {
		linkDisturbed = s.link.disturbed
	}
	endWork := s.beginWork(ctx, request, by.ID, linkDisturbed)
	return func() {
		panicked := recover()
		s.mu.Lock()
		// Nobody vouches for the end of an unframed response when its process has been replaced.
		brokeOff := s.down || by.Unframed() && s.current != by
		s.mu.Unlock()
		endWork(panicked != nil || brokeOff)
		if panicked != nil {
			panic(panicked)
		}
	}
}

// fleet holds the processes, fakes and recorded history of one run.
type fleet struct {
	settings Settings
	random   *rand.Rand
	store    *standin.Store
	history  *history
	boxes    []*box
	servers  []*server
	closers  []func()
	owners   *owners
	loads    *serverLoads
	// endServers and endings are those of a play of ends.
	endServers []*endServer
	endings    *endings

	// entriesMu is held while a server's entry is rewritten, or replaced by a new
	// incarnation's entry.
	entriesMu sync.Mutex
	// background counts the server restarts and delayed writes that are still to come.
	background sync.WaitGroup

	mu           sync.Mutex
	config       standin.Config
	incarnations int
	// starts counts all starts of servers.
	starts int
	// evacuated holds the zones that were ever evacuated, and whether they are now.
	evacuated map[string]bool
	// folder is read by the user as whom boxes with limits run.
	folder string
	// stopping is how many stops are under way.
	stopping int
}

// zoneName returns the name of a zone.
func zoneName(index int) string { return "zone-" + strconv.Itoa(index%domainCount) }

// draw returns a random number in [0,n). It is safe for concurrent use.
func (f *fleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func newFleet(settings Settings) (*fleet, error) {
	f := &fleet{
		settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 1)), store: standin.NewStore(),
		history:   newHistory(),
		config:    standin.Config{Version: 1, Keys: map[string][]string{}},
		evacuated: map[string]bool{}, endings: newEndings(),
	}
	f.owners = newOwners(f.socketOwners)
	f.loads = newServerLoads(settings.Servers)
	f.history.timed, f.history.releases = settings.Timed, settings.Earlier != ""
	f.history.leavings = settings.Leavings
	if settings.Leavings {
		f.store.SetPageItems(leavingPageItems)
	}
	for i := range tenantCount {
		tenant := "tenant-" + strconv.Itoa(i)
		for range keysPerTenant {
			f.addKey(tenant)
		}
	}
	if settings.Callers {
		f.config.IdleTimeoutMs = idleTimeoutMs
	}
	if settings.Ends {
		f.config.Attempts, f.config.NoHealthPath = endAttempts, settings.Seed%2 == 1
	}
	f.store.PutConfig(f.config)
	storeAddress, err := f.serve("127.0.0.1:0", f.store)
	if err != nil {
		return f, err
	}
	if settings.Ends {
		if err := f.addEndServers(); err != nil {
			return f, err
		}
		return f, f.addBoxes(storeAddress)
	}
	for i := range settings.Servers {
		if err := f.addServer(i); err != nil {
			return f, err
		}
	}
	return f, f.addBoxes(storeAddress)
}

const (
	tenantCount   = 3
	keysPerTenant = 6
)

// addKey adds a key of a tenant to the configuration, without writing it to the store.
func (f *fleet) addKey(tenant string) {
	key := fmt.Sprintf("key-%s-%d", tenant, f.random.Uint64())
	f.config.Keys[tenant] = append(f.config.Keys[tenant], key)
	f.history.recordKey(key, tenant)
}

func (f *fleet) serve(address string, handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: dialTimeout}
	go func() { _ = s.Serve(listener) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
	return listener.Addr().String(), nil
}

func (f *fleet) addServer(i int) error {
	s := &server{zone: zoneName(i), beginWork: f.history.beginWork, recordExactResponse: f.history.recordExactResponse}
	address, err := f.serve("127.0.0.1:0", s)
	if err != nil {
		return err
	}
	s.address = address
	if f.settings.Load {
		// A link takes four descriptors for each connection, and there are thousands.
		f.servers = append(f.servers, s)
		f.startIncarnation(s)
		return nil
	}
	if s.link, err = newLink(f.ip(linksHost), func() string { return address }, withOwners(f.owners.boxOf)); err != nil {
		return err
	}
	s.address = s.link.address()
	f.closers = append(f.closers, s.link.close)
	f.servers = append(f.servers, s)
	f.startIncarnation(s)
	return nil
}

// startIncarnation starts a new incarnation of a server under a new id.
func (f *fleet) startIncarnation(s *server) {
	f.mu.Lock()
	f.incarnations++
	id := fmt.Sprintf("server-%d-%d", f.settings.Seed, f.incarnations)
	f.mu.Unlock()
	f.history.recordZone(id, s.zone)
	s.mu.Lock()
	s.current, s.down = f.newServer(s, id, f.nextVersion()), false
	s.mu.Unlock()
	f.writeEntry(s, false)
}

// newServer returns an incarnation of a server, which crashes under fatal requests.
func (f *fleet) newServer(s *server, id, version string) *standin.Server {
	current := standin.NewServer(id, version, f.draw, f.history.recordRun)
	if f.settings.Load {
		current.StreamSlowly(loadEventInterval)
		current.ReadPrompts(usualPace)
		current.KeepParts()
		current.OnHold(func() func() { return f.loads.hold(s) })
		current.OnArrival(func(a standin.Arrival) { f.loads.recordArrival(s, a) })
		return current
	}
	if f.settings.Planned {
		current = standin.NewServer(id, version, f.draw, func(run standin.Run) {
			f.history.recordRun(run)
			takeTime(run.RequestID)
		})
		switch one := f.draw(slowServerOneIn); {
		case one == 0:
			current.StreamSlowly(slowEventGap)
		case one == 1 && f.settings.Callers:
			current.StreamSlowly(longEventGap)
		}
	}
	if f.settings.Wire && f.settings.Planned {
		// Nobody vouches for the end of such a response after a crash.
		current.SetUnframed(f.draw(unframedServerOneIn) == 0)
	}
	current.OnArrival(func(a standin.Arrival) {
		a.Box, a.EarliestSend = s.link.nextRequest(a.Remote, a.At)
		a.Abandoned = s.link.leftBefore(a.Remote, a.At)
		f.history.recordArrival(a)
	})
	if f.settings.Overload {
		current.ReadPrompts(f.drawPace())
	}
	current.OnFatal(func(crashed *standin.Server, by standin.Fatal) { f.crashOnFatal(s, crashed, by) })
	return current
}

// writeEntry writes the entry of a server's current incarnation.
func (f *fleet) writeEntry(s *server, draining bool) {
	s.mu.Lock()
	current := s.current
	s.mu.Unlock()
	f.store.PutServer(standin.Entry{
		ID: current.ID, Service: standin.Service, Address: s.address, Zone: s.zone,
		BornMs: current.BornMs, Version: current.Version, Draining: draining,
	})
}

// linksHost is the last octet of the IP address of the run's links, above those of its boxes.
const linksHost = 250

// ip returns a loopback address of the run. Runs share addresses only if their seeds differ by a
// multiple of 200.
func (f *fleet) ip(host int) string { return fmt.Sprintf("127.0.%d.%d", f.settings.Seed%200+1, host) }

func (f *fleet) addBoxes(storeAddress string) error {
	if err := f.prepareLimits(); err != nil {
		return err
	}
	for i := range f.settings.Boxes {
		if err := f.addBox(i, storeAddress); err != nil {
			return err
		}
	}
	if f.settings.Limits {
		return os.Chmod(f.folder, readOnly)
	}
	return nil
}

func (f *fleet) addBox(i int, storeAddress string) error {
	ip := f.ip(i + 1)
	b := &box{name: "box-" + strconv.Itoa(i), ip: ip}
	var err error
	if b.store, err = newLink(f.ip(linksHost), func() string { return storeAddress }); err != nil {
		return err
	}
	f.closers = append(f.closers, b.store.close)
	callersAddress := net.JoinHostPort(ip, strconv.Itoa(callersPort))
	if b.callers, err = newLink(f.ip(linksHost), func() string { return callersAddress }); err != nil {
		return err
	}
	f.closers = append(f.closers, b.callers.close)
	contact := net.JoinHostPort(f.ip(1), strconv.Itoa(peersPort))
	settings := fmt.Sprintf("box: %s\nfailure_domain: zone-%d\ncallers_address: %s\nreadiness_address: %s:%d\n"+
		"peers_address: %s:%d\ncontacts: [%q]\nstore: {address: %q}\nfreshness: {max_age_ms: %d}\n"+
		"retry_budget: {ratio: 0.2, slack: %d}\nshutdown: {grace_s: %d}\nmetrics_address: %s:%d\n",
		b.name, i%domainCount, callersAddress, ip, readinessPort, ip, peersPort, contact, b.store.address(), maxAgeMs,
		retrySlack, shutdownGraceS, ip, metricsPort)
	if f.settings.Overload {
		settings += "pace: {learn: true}\n"
	}
	if f.settings.Overload || f.settings.Admission {
		settings += "admission: {enabled: true}\n"
	}
	if f.settings.Load {
		settings += fmt.Sprintf("balance: {load_cap: %d}\n", loadCap)
	}
	if f.settings.HeldPorts {
		settings += fmt.Sprintf("peers_last_port: %d\n", lastPeersPort)
	}
	settings += f.settings.capacitySettings(i)
	if b.process, err = newProcess(f.settings.Program, f.settings.Folder, b.name, settings); err != nil {
		return err
	}
	if err = f.changeStarts(b.process, i); err != nil {
		return err
	}
	b.process.onPlanned = func(s syscall.Signal) { f.history.recordPlanned(b.name, s) }
	b.process.onKill = func() { f.history.recordKill(b.name) }
	f.mu.Lock()
	f.boxes = append(f.boxes, b)
	f.mu.Unlock()
	return b.process.start()
}

// changeStarts makes the starts of a box differ from those of others, as the settings of the run ask.
func (f *fleet) changeStarts(p *process, box int) error {
	if f.settings.Earlier != "" {
		// Half of the boxes begin with it.
		p.earlierProgram, p.starts = f.settings.Earlier, box%2
	}
	if f.settings.Quotas && box%2 == 1 || f.settings.Ends {
		p.environment = oneProcessor
	}
	if f.settings.Limits {
		return f.limitBox(p, box)
	}
	return nil
}

// close kills all processes that the run started and closes its listeners.
func (f *fleet) close() {
	for _, b := range f.boxes {
		if b.process != nil {
			// The process may have exited before; there is nothing to handle.
			_ = b.process.kill()
		}
	}
	for _, closer := range f.closers {
		closer()
	}
}
