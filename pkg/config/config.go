// Package config defines the settings files of the project's programs. Field names end
// in the unit of their value. Defaults are defined next to the code that uses them.
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
)

// Router is the settings file of dooryard-router.
type Router struct {
	// Box is the name of this box, unique in the fleet.
	Box string `yaml:"box"`
	// FailureDomain is the name of the failure domain that this box belongs to.
	FailureDomain string `yaml:"failure_domain"`

	Callers   Listener `yaml:"callers"`
	Peers     Peers    `yaml:"peers"`
	Operators Listener `yaml:"operators"`

	Platform Platform `yaml:"platform"`
	Request  Request  `yaml:"request"`
	Deadline Deadline `yaml:"deadline"`
	Route    Route    `yaml:"route"`
	Admit    Admit    `yaml:"admit"`
	Retry    Retry    `yaml:"retry"`
	Claim    Claim    `yaml:"claim"`
	Stop     Stop     `yaml:"stop"`
	Traces   Traces   `yaml:"traces"`
	Logs     Logs     `yaml:"logs"`
}

// Listener configures one HTTP listener.
type Listener struct {
	// Address is an IP address and port.
	Address string `yaml:"address"`
	// KeyFile is the file with the bearer key that requests must carry. It stays empty on the
	// callers' listener, since callers have keys of their own in the table.
	KeyFile string `yaml:"key_file"`
	TLS     TLS    `yaml:"tls"`
}

// TLS names certificate files, which are read again regularly, so that changes apply without a
// restart. An empty value means plain HTTP.
type TLS struct {
	CertificateFile string `yaml:"certificate_file"`
	KeyFile         string `yaml:"key_file"`
	// CAFile is the file with the CA certificates that verify the peers' certificates. It
	// applies to the peers' listener only; empty selects the system's CA certificates.
	CAFile string `yaml:"ca_file"`
}

// Enabled reports whether the listener uses TLS.
func (t TLS) Enabled() bool { return t.CertificateFile != "" || t.KeyFile != "" }

// Peers configures the communication with the fleet's other boxes.
type Peers struct {
	Listener `yaml:",inline"`
	// GossipAddress is the UDP address for heartbeats, an IP address and port.
	GossipAddress string `yaml:"gossip_address"`
	// Contacts are the gossip addresses of seed boxes, used at startup while the
	// platform's list of boxes is unavailable.
	Contacts []string `yaml:"contacts"`
	// PeriodMs is the interval between heartbeats.
	PeriodMs int64 `yaml:"period_ms"`
}

// Platform names the external services that the operators run.
type Platform struct {
	// LogURL is the URL of the append-only log service.
	LogURL string `yaml:"log_url"`
	// WeightStoreURL is the URL of the weight store.
	WeightStoreURL string `yaml:"weight_store_url"`
	// BoxListURL is the URL of the list of live and draining boxes, which may lag behind.
	BoxListURL string `yaml:"box_list_url"`
	// TimeoutMs is the timeout of each call.
	TimeoutMs int64 `yaml:"timeout_ms"`
}

// Request limits the requests that callers may send.
type Request struct {
	MaxBodyBytes      int64 `yaml:"max_body_bytes"`
	MaxHeaderBytes    int   `yaml:"max_header_bytes"`
	MaxHeaders        int   `yaml:"max_headers"`
	MaxJSONDepth      int   `yaml:"max_json_depth"`
	HeaderTimeoutMs   int64 `yaml:"header_timeout_ms"`
	BodyTimeoutMs     int64 `yaml:"body_timeout_ms"`
	IdleTimeoutMs     int64 `yaml:"idle_timeout_ms"`
	WriteTimeoutMs    int64 `yaml:"write_timeout_ms"`
	DefaultDeadlineMs int64 `yaml:"default_deadline_ms"`
	MaxDeadlineMs     int64 `yaml:"max_deadline_ms"`
}

// Route configures load balancing.
type Route struct {
	// Policy is one of the names that route.Policies lists.
	Policy string `yaml:"policy"`
	// LoadBoundPercent is the load bound of an upstream, in percent of the mean load.
	LoadBoundPercent int `yaml:"load_bound_percent"`
	// SlowStartMs is the time in which a joining engine ramps up to its full weight.
	SlowStartMs int64 `yaml:"slow_start_ms"`
	// EjectBaseMs is the duration of an upstream's first ejection.
	EjectBaseMs int64 `yaml:"eject_base_ms"`
	// EjectMaxMs is the maximum duration of an ejection.
	EjectMaxMs int64 `yaml:"eject_max_ms"`
	// PanicPercent is the maximum percentage of a pool's upstreams that may be ejected.
	PanicPercent int `yaml:"panic_percent"`
}

// Admit limits the requests that run and wait on this box.
type Admit struct {
	// MaxRunning is the maximum number of requests that run concurrently on this box.
	MaxRunning int `yaml:"max_running"`
	// MaxWaiting is the maximum number of requests queued on this box.
	MaxWaiting int `yaml:"max_waiting"`
	// MaxWaitingPerOrganisation is the maximum number of queued requests of one organisation.
	MaxWaitingPerOrganisation int `yaml:"max_waiting_per_organisation"`
	// MaxWaitMs is the maximum time that a request waits in the queue.
	MaxWaitMs int64 `yaml:"max_wait_ms"`
}

// Retry limits retries and sets the timeouts of an attempt.
type Retry struct {
	// MaxAttempts is the maximum number of attempts, including the first one.
	MaxAttempts int `yaml:"max_attempts"`
	// BudgetPercent is the retry budget, in percent of first attempts.
	BudgetPercent int `yaml:"budget_percent"`
	// FirstByteTimeoutMs is the timeout for an upstream's response headers.
	FirstByteTimeoutMs int64 `yaml:"first_byte_timeout_ms"`
	// ConnectTimeoutMs is the timeout for connecting to an upstream.
	ConnectTimeoutMs int64 `yaml:"connect_timeout_ms"`
	// StreamIdleTimeoutMs is the maximum time between two chunks of a stream.
	StreamIdleTimeoutMs int64 `yaml:"stream_idle_timeout_ms"`
}

// Claim configures the claims of non-idempotent requests on the platform's log.
type Claim struct {
	// BatchMs is how long claims are batched before one append.
	BatchMs int64 `yaml:"batch_ms"`
	// TimeoutMs is the timeout for the verdict on a claim.
	TimeoutMs int64 `yaml:"timeout_ms"`
	// WindowMs is how long an idempotency key is remembered.
	WindowMs int64 `yaml:"window_ms"`
}

// Stop configures graceful shutdown.
type Stop struct {
	// AnnounceMs is how long the box reports that it is not ready before it closes connections.
	AnnounceMs int64 `yaml:"announce_ms"`
	// DrainMs is the maximum time for running requests to finish.
	DrainMs int64 `yaml:"drain_ms"`
}

// Traces configures the exporter of spans: none, stdout or otlp.
type Traces struct {
	Exporter string `yaml:"exporter"`
	// Endpoint is the URL of the collector when the exporter is otlp.
	Endpoint string `yaml:"endpoint"`
	// SamplePercent is the percentage of new traces that are sampled.
	SamplePercent int `yaml:"sample_percent"`
}

// Logs sets the minimum log level: debug, info, warn or error.
type Logs struct {
	Level string `yaml:"level"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Check implements Checker.
func (r *Router) Check() error {
	return errors.Join(
		checkName("box", r.Box),
		checkName("failure_domain", r.FailureDomain),
		r.Callers.check("callers"),
		r.Peers.check("peers"),
		r.Operators.check("operators"),
		r.checkOperatorsKey(),
		r.Platform.check("platform"),
		r.checkNumbers(),
		checkOneOf("traces.exporter", r.Traces.Exporter, "", "none", "stdout", "otlp"),
		checkOneOf("logs.level", r.Logs.Level, "", "debug", "info", "warn", "error"),
		r.checkTraces(),
	)
}

func (r *Router) checkOperatorsKey() error {
	if r.Operators.KeyFile == "" {
		return &FieldError{Key: "operators.key_file", Reason: "is missing: operators authenticate by a key"}
	}
	return nil
}

func (r *Router) checkTraces() error {
	if r.Traces.Exporter == "otlp" {
		return checkURL("traces.endpoint", r.Traces.Endpoint)
	}
	return nil
}

// rangeCheck is the allowed range of one number. Zero is always allowed and means the default.
type rangeCheck struct {
	key       string
	value     int64
	low, high int64
}

const (
	dayMs    = 24 * 60 * 60 * 1000
	million  = 1_000_000
	gibibyte = 1 << 30
)

func (r *Router) checkNumbers() error {
	rules := []rangeCheck{
		{"peers.period_ms", r.Peers.PeriodMs, 100, 10_000},
		{"platform.timeout_ms", r.Platform.TimeoutMs, 1, 60_000},
		{"request.max_body_bytes", r.Request.MaxBodyBytes, 1, gibibyte},
		{"request.max_header_bytes", int64(r.Request.MaxHeaderBytes), 1024, million},
		{"request.max_headers", int64(r.Request.MaxHeaders), 4, 10_000},
		{"request.max_json_depth", int64(r.Request.MaxJSONDepth), 2, 1000},
		{"request.header_timeout_ms", r.Request.HeaderTimeoutMs, 1, dayMs},
		{"request.body_timeout_ms", r.Request.BodyTimeoutMs, 1, dayMs},
		{"request.idle_timeout_ms", r.Request.IdleTimeoutMs, 1, dayMs},
		{"request.write_timeout_ms", r.Request.WriteTimeoutMs, 1, dayMs},
		{"request.default_deadline_ms", r.Request.DefaultDeadlineMs, 1, dayMs},
		{"request.max_deadline_ms", r.Request.MaxDeadlineMs, 1, dayMs},
		{"deadline.round_trip_ms", r.Deadline.RoundTripMs, 1, 10_000},
		{"deadline.max_lead_ms", r.Deadline.MaxLeadMs, 1, 60_000},
		{"deadline.max_lead_percent", int64(r.Deadline.MaxLeadPercent), 1, 50},
		{"route.load_bound_percent", int64(r.Route.LoadBoundPercent), 101, 1000},
		{"route.slow_start_ms", r.Route.SlowStartMs, 1, dayMs},
		{"route.eject_base_ms", r.Route.EjectBaseMs, 1, dayMs},
		{"route.eject_max_ms", r.Route.EjectMaxMs, 1, dayMs},
		{"route.panic_percent", int64(r.Route.PanicPercent), 1, 100},
		{"admit.max_running", int64(r.Admit.MaxRunning), 1, million},
		{"admit.max_waiting", int64(r.Admit.MaxWaiting), 1, million},
		{"admit.max_waiting_per_organisation", int64(r.Admit.MaxWaitingPerOrganisation), 1, million},
		{"admit.max_wait_ms", r.Admit.MaxWaitMs, 1, dayMs},
		{"retry.max_attempts", int64(r.Retry.MaxAttempts), 1, 10},
		{"retry.budget_percent", int64(r.Retry.BudgetPercent), 1, 100},
		{"retry.first_byte_timeout_ms", r.Retry.FirstByteTimeoutMs, 1, dayMs},
		{"retry.connect_timeout_ms", r.Retry.ConnectTimeoutMs, 1, 60_000},
		{"retry.stream_idle_timeout_ms", r.Retry.StreamIdleTimeoutMs, 1, dayMs},
		{"claim.batch_ms", r.Claim.BatchMs, 1, 10_000},
		{"claim.timeout_ms", r.Claim.TimeoutMs, 1, 60_000},
		{"claim.window_ms", r.Claim.WindowMs, 1000, 7 * dayMs},
		{"stop.announce_ms", r.Stop.AnnounceMs, 1, 600_000},
		{"stop.drain_ms", r.Stop.DrainMs, 1, dayMs},
		{"traces.sample_percent", int64(r.Traces.SamplePercent), 1, 100},
	}
	errs := []error{}
	for _, rule := range rules {
		errs = append(errs, rule.check())
	}
	return errors.Join(errs...)
}

func (n rangeCheck) check() error {
	if n.value == 0 || (n.value >= n.low && n.value <= n.high) {
		return nil
	}
	return &FieldError{Key: n.key, Reason: fmt.Sprintf("%d is outside %d to %d", n.value, n.low, n.high)}
}

func (l Listener) check(key string) error {
	return errors.Join(checkAddress(key+".address", l.Address), l.TLS.check(key+".tls"))
}

func (t TLS) check(key string) error {
	if !t.Enabled() {
		return nil
	}
	if t.CertificateFile == "" {
		return &FieldError{Key: key + ".certificate_file", Reason: "is missing while key_file is set"}
	}
	if t.KeyFile == "" {
		return &FieldError{Key: key + ".key_file", Reason: "is missing while certificate_file is set"}
	}
	return nil
}

func (p Peers) check(key string) error {
	errs := []error{p.Listener.check(key), checkAddress(key+".gossip_address", p.GossipAddress)}
	if p.KeyFile == "" {
		missing := &FieldError{Key: key + ".key_file", Reason: "is missing: peers authenticate by a shared key"}
		errs = append(errs, missing)
	}
	for i, contact := range p.Contacts {
		errs = append(errs, checkAddress(fmt.Sprintf("%s.contacts[%d]", key, i), contact))
	}
	return errors.Join(errs...)
}

func (p Platform) check(key string) error {
	errs := []error{checkURL(key+".log_url", p.LogURL)}
	if p.WeightStoreURL != "" {
		errs = append(errs, checkURL(key+".weight_store_url", p.WeightStoreURL))
	}
	if p.BoxListURL != "" {
		errs = append(errs, checkURL(key+".box_list_url", p.BoxListURL))
	}
	return errors.Join(errs...)
}

func checkName(key, value string) error {
	if value == "" {
		return &FieldError{Key: key, Reason: "is missing"}
	}
	if !namePattern.MatchString(value) {
		return &FieldError{Key: key, Reason: fmt.Sprintf("%q is not a name of lowercase letters, digits or hyphens", value)}
	}
	return nil
}

func checkAddress(key, value string) error {
	if value == "" {
		return &FieldError{Key: key, Reason: "is missing"}
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &FieldError{Key: key, Reason: fmt.Sprintf("%q is not an IP address and port", value)}
	}
	return nil
}

var urlPattern = regexp.MustCompile(`^https?://([^/]+)(/.*)?$`)

// checkURL accepts http and https URLs whose host is an IP address and port.
func checkURL(key, value string) error {
	if value == "" {
		return &FieldError{Key: key, Reason: "is missing"}
	}
	parts := urlPattern.FindStringSubmatch(value)
	if parts == nil {
		return &FieldError{Key: key, Reason: fmt.Sprintf("%q is not an http or https URL", value)}
	}
	return checkAddress(key, parts[1])
}

func checkOneOf(key, value string, allowed ...string) error {
	for _, candidate := range allowed {
		if value == candidate {
			return nil
		}
	}
	return &FieldError{Key: key, Reason: fmt.Sprintf("%q is not one of %q", value, allowed[1:])}
}
