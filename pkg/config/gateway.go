package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"os"
	"strconv"
)

// Gateway is the settings file of dooryard-gateway, the router of opaque
// requests. A value that is zero or missing means the default.
type Gateway struct {
	// Box is the name of this box, unique in the fleet.
	Box string `yaml:"box"`
	// FailureDomain is the name of the failure domain that this box belongs to.
	FailureDomain string `yaml:"failure_domain"`

	// CallersAddress is the listen address for callers, an IP address and port.
	CallersAddress string `yaml:"callers_address"`
	// ReadinessAddress is the listen address of the readiness check, by which the entry load
	// balancer decides whether the box gets callers.
	ReadinessAddress string `yaml:"readiness_address"`
	// PeersAddress is the listen address for the fleet's other boxes.
	PeersAddress string `yaml:"peers_address"`
	// PeersLastPort is the last of the ports, from that of PeersAddress on, at which a box may listen for others if
	// another process has the ones before. The default is the port of PeersAddress.
	PeersLastPort int `yaml:"peers_last_port"`
	// MetricsAddress is the listen address for counters and histograms; empty disables it.
	MetricsAddress string `yaml:"metrics_address"`
	// Contacts are the addresses of a few seed boxes, any of which may be down. Only the IP
	// addresses are used: all boxes have the same range of peers' ports.
	Contacts []string `yaml:"contacts"`

	// FirstStart is set at the first start of the whole fleet, before there are callers.
	FirstStart bool `yaml:"first_start"`

	Store     Store     `yaml:"store"`
	Freshness Freshness `yaml:"freshness"`
	Balance   Balance   `yaml:"balance"`
	Pace      Pace      `yaml:"pace"`
	Budget    Budget    `yaml:"retry_budget"`
	// Quarantine configures the quarantine of requests that coincide with crashes of upstreams.
	Quarantine Quarantine `yaml:"quarantine"`
	Shutdown   Shutdown   `yaml:"shutdown"`
	Deadline   Deadline   `yaml:"deadline"`
	Capacity   Capacity   `yaml:"capacity"`
	LogLimits  LogLimits  `yaml:"lines"`
	Admission  Admission  `yaml:"admission"`
	// PlatformTerms are terms of the platform, some of which ask for features. Terms that the adapter doesn't know have
	// no effect.
	PlatformTerms []string `yaml:"platform_terms"`
}

// Admission configures the admission of prompts by the work that is due at engines.
type Admission struct {
	Enabled bool `yaml:"enabled"`
}

// Store is the store from which the routing state and the upstreams are read.
type Store struct {
	// Address is an IP address and port.
	Address string `yaml:"address"`
	// PollMs is how long one long-poll read waits for changes. Each read confirms that the
	// active state is current. The default is derived from the freshness bounds.
	PollMs int64 `yaml:"poll_ms"`
}

// minFreshnessBoundMs is the shortest freshness bound that a box can meet: 0.4 s to read from
// a slow store and apply the result, and 0.25 s for the wait of the read and two rounds of
// requests to peers.
const minFreshnessBoundMs = 650

// Freshness bounds how long a routing state is trusted.
type Freshness struct {
	// MaxAgeMs is the maximum age of the last confirmation of the state by which keys are accepted. A state that was
	// never confirmed exceeds it. 0 means no limit, so that callers are served while the store does not respond:
	// on days with 8 s of such silence 0.840 of the value is earned, against 0.755 with a limit
	// of 5 s (means of three paired days, standard error 0.005).
	MaxAgeMs int64 `yaml:"max_age_ms"`
	// MaxPropagationMs is the time within which a version accepted by the store must be active on
	// every box. If the last confirmation is older, a box may have missed a version: it asks
	// callers with an unknown route or key to retry later.
	MaxPropagationMs int64 `yaml:"in_force_ms"`
	// MaxDrainNoticeMs is how long a box may still send requests to an upstream that has announced
	// its shutdown.
	MaxDrainNoticeMs int64 `yaml:"leave_ms"`
	// MaxEvacuationMs is the time within which the upstreams of an evacuated failure domain must get
	// no new requests. 0 sets no bound.
	MaxEvacuationMs int64 `yaml:"evacuate_ms"`
}

// Balance configures load balancing.
type Balance struct {
	// LoadCap is the multiple of its pool's mean load that an upstream must never reach.
	LoadCap float64 `yaml:"load_cap"`
	// BoundPercent is the load, in percent of the pool's mean, at which a box starts to send
	// requests to other upstreams. The default is derived from LoadCap.
	BoundPercent int `yaml:"bound_percent"`
	// EjectBaseMs and EjectMaxMs are the first and the maximum duration of an ejection.
	EjectBaseMs int64 `yaml:"eject_base_ms"`
	EjectMaxMs  int64 `yaml:"eject_max_ms"`
	// PanicPercent is the maximum percentage of a pool's upstreams that may be ejected.
	PanicPercent int `yaml:"panic_percent"`
	// ColdFactor and ColdSlack are how far the requests in one second may exceed the rate that a cold upstream
	// bears: ColdFactor times as many, and ColdSlack more.
	ColdFactor float64 `yaml:"cold_factor"`
	ColdSlack  float64 `yaml:"cold_slack"`
}

// Pace configures how the pace of upstreams is found, by which requests avoid those that are slow at the moment.
type Pace struct {
	// Learn enables learning the pace of upstreams that report none from how long their responses take. It is enabled
	// without this setting once an upstream reports its pace.
	Learn bool `yaml:"learn"`
}

// Budget is the retry budget of each pool, shared by all boxes.
type Budget struct {
	// Ratio is the fraction of requests that may be retried.
	Ratio float64 `yaml:"ratio"`
	// Slack is the number of additional retries allowed in a burst.
	Slack int `yaml:"slack"`
	// WindowS is the window in which retries are counted, in seconds.
	WindowS float64 `yaml:"window_s"`
}

// Quarantine configures when a repeated request is quarantined because upstreams crash while
// they run it.
type Quarantine struct {
	// MinCrashes is the number of crashed upstreams after which a request is quarantined. The
	// default is 3: an innocent request that ran on a crashed upstream sometimes meets a
	// second crash, but hardly ever a third one (10 of 47,800 on a day on which 45 of 112
	// engines crashed). 0 disables the quarantine.
	MinCrashes *int `yaml:"after_ends"`
	// HoldMs is how long a request is quarantined after the most recent crash under it.
	HoldMs int64 `yaml:"hold_ms"`
}

// Shutdown configures graceful shutdown.
type Shutdown struct {
	// GraceS is the time that the process has after the termination signal, in seconds.
	GraceS float64 `yaml:"grace_s"`
}

// Deadline configures by how much last responses leave before their callers' deadlines, so that they arrive in time.
type Deadline struct {
	// RoundTripMs is the round trip to callers that is assumed at least. Connections from a balancer do not tell it.
	RoundTripMs int64 `yaml:"round_trip_ms"`
	// MaxLeadMs is the maximum lead, which grows with the measured round trip and the lateness of the process.
	MaxLeadMs int64 `yaml:"max_lead_ms"`
	// MaxLeadPercent is the maximum lead, in percent of the time that the caller waits.
	MaxLeadPercent int `yaml:"max_lead_percent"`
}

// Capacity describes the resources of the process.
type Capacity struct {
	// MemoryMb is the memory of the process in mebibytes.
	MemoryMb int64 `yaml:"memory_mb"`
	// OpenFiles is the maximum number of file descriptors of the process.
	OpenFiles int `yaml:"open_files"`
	// Processors is the number of processors that the process uses at most. 0 means 1.
	Processors float64 `yaml:"processors"`
}

// LogLimits limits the rate of log lines.
type LogLimits struct {
	// MaxPerSecond is the maximum number of log lines written per second.
	MaxPerSecond int `yaml:"max_per_second"`
}

// LoadGateway reads and validates a gateway's settings file.
func LoadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return ParseGateway(path, data)
}

// ParseGateway decodes and validates the content of a gateway's settings file. Errors
// include the name.
func ParseGateway(name string, data []byte) (Gateway, error) {
	var settings Gateway
	err := parse(name, data, &settings)
	return settings, err
}

// AdaptGateway reads a gateway's settings file like LoadGateway. If it can't use optional values, it takes the default
// or the nearest value in range in their place, and it ignores the keys of other releases. The first error tells what
// it has changed.
func AdaptGateway(path string) (settings Gateway, changed, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	changed, err = adapt(path, data, &settings)
	return settings, changed, err
}

// ParseKnown decodes the content of a gateway's settings file like ParseGateway, but ignores the keys of other
// releases. The first error tells which.
func ParseKnown(name string, data []byte) (settings Gateway, ignored, err error) {
	settings, err = ParseGateway(name, data)
	if !OnlyUnknownKeys(err) {
		return settings, nil, err
	}
	var adapted Gateway
	ignored, refused := adapt(name, data, &adapted)
	if refused != nil || !OnlyUnknownKeys(ignored) {
		return settings, nil, err
	}
	return adapted, ignored, nil
}

// Check implements Checker.
func (g *Gateway) Check() error {
	errs := []error{
		checkName("box", g.Box),
		checkName("failure_domain", g.FailureDomain),
		checkAddress("callers_address", g.CallersAddress),
		checkAddress("readiness_address", g.ReadinessAddress),
		checkAddress("peers_address", g.PeersAddress),
		checkAddress("store.address", g.Store.Address),
	}
	if g.MetricsAddress != "" {
		errs = append(errs, checkAddress("metrics_address", g.MetricsAddress))
	}
	for i, contact := range g.Contacts {
		errs = append(errs, checkAddress(fmt.Sprintf("contacts[%d]", i), contact))
	}
	for i, term := range g.PlatformTerms {
		errs = append(errs, checkTerm(fmt.Sprintf("platform_terms[%d]", i), term))
	}
	return errors.Join(append(errs, g.checkNumbers()...)...)
}

func checkTerm(key, term string) error {
	if term == "" {
		return &FieldError{Key: key, Reason: "is empty"}
	}
	return nil
}

func (g *Gateway) checkNumbers() []error {
	errs := []error{}
	for _, n := range g.numbers() {
		errs = append(errs, n.check())
	}
	return errs
}

// Guards implements Adjuster. Without a bound on the age of the routing state, revoked keys are accepted for as long as
// the store does not respond.
func (g *Gateway) Guards() []string { return []string{"freshness.max_age_ms"} }

// Adjust implements Adjuster.
func (g *Gateway) Adjust() error {
	errs, maxAgeMs := []error{}, g.Freshness.MaxAgeMs
	for _, n := range g.numbers() {
		if err := n.check(); err != nil {
			errs = append(errs, err)
			n.adjust()
		}
	}
	// Keys must not be accepted for longer than asked for.
	g.Freshness.MaxAgeMs = maxAgeMs
	return errors.Join(append(errs, g.dropOptional()...)...)
}

// dropOptional removes invalid addresses and terms that a gateway can run without.
func (g *Gateway) dropOptional() []error {
	errs := []error{}
	if g.MetricsAddress != "" {
		if err := checkAddress("metrics_address", g.MetricsAddress); err != nil {
			errs = append(errs, err)
			g.MetricsAddress = ""
		}
	}
	valid := func(key string, values []string, check func(key, value string) error) []string {
		kept := []string{}
		for i, value := range values {
			if err := check(fmt.Sprintf("%s[%d]", key, i), value); err != nil {
				errs = append(errs, err)
				continue
			}
			kept = append(kept, value)
		}
		return kept
	}
	g.Contacts = valid("contacts", g.Contacts, checkAddress)
	g.PlatformTerms = valid("platform_terms", g.PlatformTerms, checkTerm)
	return errs
}

const (
	maxPort = 65_535
	// maxPeersPorts limits the ports that boxes try in turn where they look for each other. Of a larger range they use
	// the first ones.
	maxPeersPorts = 256
)

// firstPeersPort returns the port of PeersAddress, or 0 if that is invalid.
func (g *Gateway) firstPeersPort() int {
	address, err := netip.ParseAddrPort(g.PeersAddress)
	if err != nil {
		return 0
	}
	return int(address.Port())
}

// PeersPorts returns the ports at which a box may listen for others, the usual one first.
func (g *Gateway) PeersPorts() []int {
	first := g.firstPeersPort()
	ports := []int{first}
	for port := first + 1; port <= min(g.PeersLastPort, first+maxPeersPorts-1); port++ {
		ports = append(ports, port)
	}
	return ports
}

// PeersAddresses returns the addresses at which this box may listen for others, the usual one first.
func (g *Gateway) PeersAddresses() []string {
	addresses := []string{g.PeersAddress}
	host, _, err := net.SplitHostPort(g.PeersAddress)
	if err != nil {
		return addresses
	}
	for _, port := range g.PeersPorts()[1:] {
		addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(port)))
	}
	return addresses
}

// number is an optional number of the settings. Zero is always allowed and means the default.
type number interface {
	check() error
	// adjust sets it to the nearest value in range.
	adjust()
}

// rangeOf is the allowed range of an optional number.
type rangeOf[T int | int64 | float64] struct {
	key       string
	value     *T
	low, high T
}

func (r rangeOf[T]) check() error {
	if *r.value == 0 || *r.value >= r.low && *r.value <= r.high {
		return nil
	}
	return &FieldError{Key: r.key, Reason: fmt.Sprintf("%v is outside %v to %v", *r.value, r.low, r.high)}
}

func (r rangeOf[T]) adjust() {
	if math.IsNaN(float64(*r.value)) {
		*r.value = 0
		return
	}
	*r.value = min(max(*r.value, r.low), r.high)
}

// maxProcessors is the limit of capacity.processors.
const maxProcessors = 1000

// maxSeconds is the limit of settings in seconds.
const maxSeconds = dayMs / 1000

func (g *Gateway) numbers() []number {
	firstPort := g.firstPeersPort()
	numbers := []number{
		rangeOf[int]{"peers_last_port", &g.PeersLastPort, firstPort, maxPort},
		rangeOf[int64]{"store.poll_ms", &g.Store.PollMs, 50, 30_000},
		rangeOf[int64]{"freshness.max_age_ms", &g.Freshness.MaxAgeMs, 500, dayMs},
		rangeOf[int64]{"freshness.in_force_ms", &g.Freshness.MaxPropagationMs, minFreshnessBoundMs, dayMs},
		rangeOf[int64]{"freshness.leave_ms", &g.Freshness.MaxDrainNoticeMs, minFreshnessBoundMs, dayMs},
		rangeOf[int64]{"freshness.evacuate_ms", &g.Freshness.MaxEvacuationMs, minFreshnessBoundMs, dayMs},
		rangeOf[float64]{"balance.load_cap", &g.Balance.LoadCap, math.Nextafter(1, 2), million},
		rangeOf[int]{"balance.bound_percent", &g.Balance.BoundPercent, 101, 1000},
		rangeOf[int64]{"balance.eject_base_ms", &g.Balance.EjectBaseMs, 1, dayMs},
		rangeOf[int64]{"balance.eject_max_ms", &g.Balance.EjectMaxMs, 1, dayMs},
		rangeOf[int]{"balance.panic_percent", &g.Balance.PanicPercent, 1, 100},
		rangeOf[float64]{"balance.cold_factor", &g.Balance.ColdFactor, 0, million},
		rangeOf[float64]{"balance.cold_slack", &g.Balance.ColdSlack, 0, million},
		rangeOf[int64]{"quarantine.hold_ms", &g.Quarantine.HoldMs, 1000, dayMs},
		rangeOf[float64]{"retry_budget.ratio", &g.Budget.Ratio, 0, 1},
		rangeOf[int]{"retry_budget.slack", &g.Budget.Slack, 1, million},
		rangeOf[float64]{"retry_budget.window_s", &g.Budget.WindowS, 0, maxSeconds},
		rangeOf[float64]{"shutdown.grace_s", &g.Shutdown.GraceS, 0, maxSeconds},
		rangeOf[int64]{"deadline.round_trip_ms", &g.Deadline.RoundTripMs, 1, 10_000},
		rangeOf[int64]{"deadline.max_lead_ms", &g.Deadline.MaxLeadMs, 1, 60_000},
		rangeOf[int]{"deadline.max_lead_percent", &g.Deadline.MaxLeadPercent, 1, 50},
		rangeOf[int64]{"capacity.memory_mb", &g.Capacity.MemoryMb, 16, million},
		rangeOf[int]{"capacity.open_files", &g.Capacity.OpenFiles, 64, million},
		rangeOf[float64]{"capacity.processors", &g.Capacity.Processors, 0, maxProcessors},
		rangeOf[int]{"lines.max_per_second", &g.LogLimits.MaxPerSecond, 1, million},
	}
	if g.Quarantine.MinCrashes != nil {
		numbers = append(numbers, rangeOf[int]{"quarantine.after_ends", g.Quarantine.MinCrashes, 0, million})
	}
	return numbers
}
