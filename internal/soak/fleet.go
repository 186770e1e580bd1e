package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// Ports of the boxes; each box has an IP number of its own.
const (
	callersPort   = 21000
	readinessPort = 21001
	peersPort     = 21002
	// RevokeMs is how long a key may be used after its removal.
	RevokeMs   = 5000
	graceS     = 4
	domains    = 3
	maxAgeMs   = RevokeMs
	slackShare = 50
)

// Settings of one run.
type Settings struct {
	// Program is the path of dooryard-gateway.
	Program string
	// Folder keeps logs and settings files.
	Folder string
	Seed   uint64
	Boxes  int
	// Servers is how many servers there are.
	Servers int
	Clients int
	Span    time.Duration
	// Timed has bounds in time checked, too, with faults that leave most boxes alone. It
	// wants a machine that does little else.
	Timed bool
}

// box is one process with the links to it and to its store.
type box struct {
	name    string
	process *process
	callers *link
	store   *link
}

// server is one server's place, where incarnations follow each other.
type server struct {
	zone string
	link *link

	mu      sync.Mutex
	current *standin.Server
	down    bool
	// leaving is set once it said that it leaves, and replaced while another writer holds its
	// entry.
	leaving, replaced bool
}

// ServeHTTP lets the current incarnation answer.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	current, down := s.current, s.down
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	current.ServeHTTP(w, r)
}

// fleet is all that one run needs.
type fleet struct {
	settings Settings
	random   *rand.Rand
	store    *standin.Store
	ledger   *ledger
	boxes    []*box
	servers  []*server
	closers  []func()

	// entries is held while a server's entry is written again, or replaced by another one's.
	entries sync.Mutex
	// ends are servers that start again.
	ends sync.WaitGroup

	mu           sync.Mutex
	config       standin.Config
	incarnations int
}

// draw is a source of numbers that servers may use from any goroutine.
func (f *fleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func newFleet(settings Settings) (*fleet, error) {
	f := &fleet{
		settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 1)), store: standin.NewStore(), ledger: newLedger(),
		config: standin.Config{Version: 1, Keys: map[string][]string{}},
	}
	f.ledger.timed = settings.Timed
	for i := range tenantCount {
		tenant := "tenant-" + strconv.Itoa(i)
		for range keysEach {
			f.addKey(tenant)
		}
	}
	f.store.PutConfig(f.config)
	storeAddress, err := f.serve("127.0.0.1:0", f.store)
	if err != nil {
		return f, err
	}
	for i := range settings.Servers {
		if err := f.addServer(i); err != nil {
			return f, err
		}
	}
	for i := range settings.Boxes {
		if err := f.addBox(i, storeAddress); err != nil {
			return f, err
		}
	}
	return f, nil
}

const (
	tenantCount = 3
	keysEach    = 6
)

// addKey gives a tenant one more key, in a configuration to be written.
func (f *fleet) addKey(tenant string) {
	key := fmt.Sprintf("key-%s-%d", tenant, f.random.Uint64())
	f.config.Keys[tenant] = append(f.config.Keys[tenant], key)
	f.ledger.noteKey(key, tenant)
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
	s := &server{zone: "zone-" + strconv.Itoa(i%domains)}
	address, err := f.serve("127.0.0.1:0", s)
	if err != nil {
		return err
	}
	if s.link, err = newLink(f.ip(linksHost), func() string { return address }); err != nil {
		return err
	}
	f.closers = append(f.closers, s.link.close)
	f.servers = append(f.servers, s)
	f.incarnate(s)
	return nil
}

// incarnate starts a new incarnation at a server's place.
func (f *fleet) incarnate(s *server) {
	f.mu.Lock()
	f.incarnations++
	id := fmt.Sprintf("server-%d-%d", f.settings.Seed, f.incarnations)
	f.mu.Unlock()
	s.mu.Lock()
	s.current, s.down = f.newServer(s, id), false
	s.mu.Unlock()
	f.announce(s, false)
}

// newServer is an incarnation at a server's place, which ends under fatal requests.
func (f *fleet) newServer(s *server, id string) *standin.Server {
	current := standin.NewServer(id, f.draw, f.ledger.noteRun)
	current.OnArrival(f.ledger.noteArrival)
	current.OnFatal(func(ended *standin.Server) { f.endUnder(s, ended) })
	return current
}

// announce writes the entry of a server's current incarnation.
func (f *fleet) announce(s *server, draining bool) {
	s.mu.Lock()
	current := s.current
	s.mu.Unlock()
	f.store.PutServer(standin.Entry{
		ID: current.ID, Service: standin.Service, Address: s.link.address(), Zone: s.zone,
		BornMs: current.BornMs, Draining: draining,
	})
}

// linksHost is the host number of the run's links, above those of its boxes.
const linksHost = 250

// ip is an IP number of the run's own: runs of seeds that are not 200 apart share none.
func (f *fleet) ip(host int) string { return fmt.Sprintf("127.0.%d.%d", f.settings.Seed%200+1, host) }

func (f *fleet) addBox(i int, storeAddress string) error {
	ip := f.ip(i + 1)
	b := &box{name: "box-" + strconv.Itoa(i)}
	var err error
	if b.store, err = newLink(f.ip(linksHost), func() string { return storeAddress }); err != nil {
		return err
	}
	f.closers = append(f.closers, b.store.close)
	own := net.JoinHostPort(ip, strconv.Itoa(callersPort))
	if b.callers, err = newLink(f.ip(linksHost), func() string { return own }); err != nil {
		return err
	}
	f.closers = append(f.closers, b.callers.close)
	contact := net.JoinHostPort(f.ip(1), strconv.Itoa(peersPort))
	settings := fmt.Sprintf("box: %s\nfailure_domain: zone-%d\ncallers_address: %s\nreadiness_address: %s:%d\n"+
		"peers_address: %s:%d\ncontacts: [%q]\nstore: {address: %q}\nfreshness: {max_age_ms: %d}\n"+
		"retry_budget: {ratio: 0.2, slack: %d}\nshutdown: {grace_s: %d}\n",
		b.name, i%domains, own, ip, readinessPort, ip, peersPort, contact, b.store.address(), maxAgeMs, slackShare, graceS)
	if b.process, err = newProcess(f.settings.Program, f.settings.Folder, b.name, settings); err != nil {
		return err
	}
	f.boxes = append(f.boxes, b)
	return b.process.start()
}

// close ends all processes that the run started, and its own listeners.
func (f *fleet) close() {
	for _, b := range f.boxes {
		if b.process != nil && b.process.command != nil {
			// It is gone then, or was before.
			_ = b.process.kill()
		}
	}
	for _, closer := range f.closers {
		closer()
	}
}
