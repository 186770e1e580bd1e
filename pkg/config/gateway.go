package config

import (
	"errors"
	"fmt"
	"os"
)

// Gateway is the settings file of dooryard-gateway, the router of opaque
// requests. A value that is zero or missing takes its default.
type Gateway struct {
	// Box is this box's name, unique in the fleet.
	Box string `yaml:"box"`
	// FailureDomain is the name of the failure domain this box stands in.
	FailureDomain string `yaml:"failure_domain"`

	// CallersAddress is where callers connect, an IP number and port.
	CallersAddress string `yaml:"callers_address"`
	// ReadinessAddress is where the entry asks whether the box takes callers.
	ReadinessAddress string `yaml:"readiness_address"`
	// PeersAddress is where the fleet's other boxes connect.
	PeersAddress string `yaml:"peers_address"`
	// MetricsAddress serves counters and histograms; empty serves none.
	MetricsAddress string `yaml:"metrics_address"`
	// Contacts are addresses of a few other boxes, of which any may be down.
	// Only their IP numbers count: all boxes use the same peers' port.
	Contacts []string `yaml:"contacts"`

	Store     Store     `yaml:"store"`
	Freshness Freshness `yaml:"freshness"`
	Balance   Balance   `yaml:"balance"`
	Budget    Budget    `yaml:"retry_budget"`
	// Quarantine holds requests back under which upstreams end.
	Quarantine Quarantine `yaml:"quarantine"`
	Shutdown   Shutdown   `yaml:"shutdown"`
	Capacity   Capacity   `yaml:"capacity"`
	Lines      Lines      `yaml:"lines"`
}

// Store is where the routing state and the upstreams are read from.
type Store struct {
	// Address is an IP number and port.
	Address string `yaml:"address"`
	// PollMs is how long one read waits for news; the state in force is proved
	// anew each time. It follows from the bounds on freshness unless it is set.
	PollMs int64 `yaml:"poll_ms"`
}

// leastBoundMs is the shortest bound on freshness that a box can keep: 0.4 s to read a slow
// store and act on it, and 0.25 s for its read's wait and two rounds of asks.
const leastBoundMs = 650

// Freshness bounds how long a routing state is trusted.
type Freshness struct {
	// MaxAgeMs is how old the proof may be by which keys are accepted; 0 accepts
	// them without bound, which serves callers through a silent store: on a day with
	// 8 s of it 0.840 of the worth is earned, 0.755 with a bound of 5 s (means of three
	// paired days, standard error 0.005).
	MaxAgeMs int64 `yaml:"max_age_ms"`
	// InForceMs is how long after the store has taken a version it must be in force.
	// With an older proof a box may have missed one: a caller whose route or key it does
	// not know is told to come back.
	InForceMs int64 `yaml:"in_force_ms"`
	// LeaveMs is how long after an upstream said that it leaves a box may still send
	// it work.
	LeaveMs int64 `yaml:"leave_ms"`
}

// Balance sets how upstreams are chosen.
type Balance struct {
	// LoadCap is the multiple of its pool's mean load that an upstream must never
	// hold.
	LoadCap float64 `yaml:"load_cap"`
	// BoundPercent is the multiple, in percent, from which a box sends requests
	// elsewhere; it follows from LoadCap unless it is set.
	BoundPercent int `yaml:"bound_percent"`
	// EjectBaseMs and EjectMaxMs bound the time that a failing upstream is out.
	EjectBaseMs int64 `yaml:"eject_base_ms"`
	EjectMaxMs  int64 `yaml:"eject_max_ms"`
	// PanicPercent is the largest part of a pool that may be out.
	PanicPercent int `yaml:"panic_percent"`
}

// Budget bounds repeated attempts, for each pool and over all boxes.
type Budget struct {
	// Ratio is the part of requests that may be repeated.
	Ratio float64 `yaml:"ratio"`
	// Slack is how many more may be repeated in a burst.
	Slack int `yaml:"slack"`
	// WindowS is the span over which repeats are counted, in seconds.
	WindowS float64 `yaml:"window_s"`
}

// Quarantine sets when a request is held back that comes again and again and under which
// upstreams end.
type Quarantine struct {
	// AfterEnds is under how many ended upstreams a request is held back: 3 unless it is
	// set, since a request that only stood beside one meets a second end now and then, and
	// a third one hardly ever (10 of 47,800 on a day with 45 of 112 engines crashed). 0 holds
	// nothing back.
	AfterEnds *int `yaml:"after_ends"`
	// HoldMs is how long a request is held back after the newest end under it.
	HoldMs int64 `yaml:"hold_ms"`
}

// Shutdown sets how a planned stop goes.
type Shutdown struct {
	// GraceS is how many seconds the process has from the termination signal.
	GraceS float64 `yaml:"grace_s"`
}

// Capacity is what the box has.
type Capacity struct {
	// MemoryMb is the memory of the process in mebibytes.
	MemoryMb int64 `yaml:"memory_mb"`
	// OpenFiles is how many descriptors the process may use.
	OpenFiles int `yaml:"open_files"`
}

// Lines bounds the log.
type Lines struct {
	// MaxPerSecond is how many log lines are written a second at most.
	MaxPerSecond int `yaml:"max_per_second"`
}

// LoadGateway reads and checks a gateway's settings file.
func LoadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return ParseGateway(path, data)
}

// ParseGateway decodes and checks the content of a gateway's settings file. The
// name stands in errors.
func ParseGateway(name string, data []byte) (Gateway, error) {
	var settings Gateway
	err := parse(name, data, &settings)
	return settings, err
}

// Check implements Checker.
func (g *Gateway) Check() error {
	checks := []error{
		checkName("box", g.Box),
		checkName("failure_domain", g.FailureDomain),
		checkAddress("callers_address", g.CallersAddress),
		checkAddress("readiness_address", g.ReadinessAddress),
		checkAddress("peers_address", g.PeersAddress),
		checkAddress("store.address", g.Store.Address),
	}
	if g.MetricsAddress != "" {
		checks = append(checks, checkAddress("metrics_address", g.MetricsAddress))
	}
	for i, contact := range g.Contacts {
		checks = append(checks, checkAddress(fmt.Sprintf("contacts[%d]", i), contact))
	}
	return errors.Join(append(checks, g.checkNumbers()...)...)
}

func (g *Gateway) checkNumbers() []error {
	checks := []error{}
	for _, rule := range []numberRule{
		{"store.poll_ms", g.Store.PollMs, 50, 30_000},
		{"freshness.max_age_ms", g.Freshness.MaxAgeMs, 500, dayMs},
		{"freshness.in_force_ms", g.Freshness.InForceMs, leastBoundMs, dayMs},
		{"freshness.leave_ms", g.Freshness.LeaveMs, leastBoundMs, dayMs},
		{"balance.bound_percent", int64(g.Balance.BoundPercent), 101, 1000},
		{"balance.eject_base_ms", g.Balance.EjectBaseMs, 1, dayMs},
		{"balance.eject_max_ms", g.Balance.EjectMaxMs, 1, dayMs},
		{"balance.panic_percent", int64(g.Balance.PanicPercent), 1, 100},
		{"quarantine.hold_ms", g.Quarantine.HoldMs, 1000, dayMs},
		{"retry_budget.slack", int64(g.Budget.Slack), 1, million},
		{"capacity.memory_mb", g.Capacity.MemoryMb, 16, million},
		{"capacity.open_files", int64(g.Capacity.OpenFiles), 64, million},
		{"lines.max_per_second", int64(g.Lines.MaxPerSecond), 1, million},
	} {
		checks = append(checks, rule.check())
	}
	if g.Budget.Ratio < 0 || g.Budget.Ratio > 1 {
		checks = append(checks, &FieldError{Key: "retry_budget.ratio", Reason: "is outside 0 to 1"})
	}
	if g.Budget.WindowS < 0 {
		checks = append(checks, &FieldError{Key: "retry_budget.window_s", Reason: "is negative"})
	}
	if g.Balance.LoadCap < 0 || g.Balance.LoadCap > 0 && g.Balance.LoadCap <= 1 {
		checks = append(checks, &FieldError{Key: "balance.load_cap", Reason: "is not above 1"})
	}
	if g.Quarantine.AfterEnds != nil && *g.Quarantine.AfterEnds < 0 {
		checks = append(checks, &FieldError{Key: "quarantine.after_ends", Reason: "is negative"})
	}
	if g.Shutdown.GraceS < 0 {
		checks = append(checks, &FieldError{Key: "shutdown.grace_s", Reason: "is negative"})
	}
	return checks
}
