// Package routing holds a box's routing state: which pool of upstreams serves a host and path,
// how requests of each kind may be retried, and which keys belong to which organisation. A
// State is immutable and carries its version. Loading states is left to the sources.
package routing

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/urlpath"
)

// ErrInvalid is returned for an unusable state; the message names the field.
var ErrInvalid = errors.New("invalid routing state")

// Kind determines how a request may be handled after a failure.
type Kind string

// Kinds of requests.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by a stream of events. Unless the route is Resumable, they
	// run at most once.
	Stream Kind = "stream"
)

// Split is the weight of one pool in a route.
type Split struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Route sends requests for a host and path prefix to pools.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Kind       Kind   `json:"kind"`
	// Resumable streams may be continued by another upstream.
	Resumable bool `json:"resumable"`
	// Attempts is the maximum number of upstreams to which one request is sent.
	Attempts int `json:"attempts"`
	// TimeoutMs is the maximum duration of a request.
	TimeoutMs clock.Millis `json:"timeout_ms"`
	// ObjectiveMs is the service level objective for the time to the first byte.
	ObjectiveMs clock.Millis `json:"objective_ms"`
	// MaxGapMs is the maximum acceptable pause between two events of a stream.
	MaxGapMs clock.Millis `json:"gap_ms"`
	// GiveUpMs is how long callers usually wait for the next event of a stream, the first one included, or 0 if it is
	// unknown.
	GiveUpMs clock.Millis `json:"give_up_ms,omitempty"`
	// Priority orders requests; 0 is the most urgent.
	Priority int `json:"priority"`
	// Public routes require no key.
	Public bool `json:"public"`
	// Sticky routes choose upstreams by the prompt, so that cached prompts are reused.
	Sticky bool    `json:"sticky"`
	Splits []Split `json:"splits"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// PoolFor chooses one of the route's pools by a random number or hash that is uniformly distributed
// over all uint64 values. The same number gives the same pool as long as the weights are unchanged.
func (r *Route) PoolFor(draw uint64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	if total == 0 {
		return r.Splits[0].Pool
	}
	at := int(draw % uint64(total))
	for _, s := range r.Splits {
		if at < s.Weight {
			return s.Pool
		}
		at -= s.Weight
	}
	return r.Splits[0].Pool
}

func (r *Route) check() error {
	switch {
	case len(r.Splits) == 0:
		return fmt.Errorf("%w: route %q: no pool", ErrInvalid, r.Name)
	case r.Kind != Safe && r.Kind != Unsafe && r.Kind != Stream:
		return fmt.Errorf("%w: route %q: kind %q", ErrInvalid, r.Name, r.Kind)
	case r.Attempts < 1 || r.TimeoutMs < 1:
		return fmt.Errorf("%w: route %q: attempts and timeout must be positive", ErrInvalid, r.Name)
	default:
		return nil
	}
}

// Engine holds the settings shared by all upstreams of a pool of model engines.
type Engine struct {
	// Slots is the maximum number of requests that an engine runs concurrently.
	Slots int `json:"slots"`
	// CacheTokens is the size of an engine's prompt cache in tokens.
	CacheTokens int `json:"cache_tokens"`
	// Transfers is set when engines copy cached prompts from each other.
	Transfers bool `json:"transfers"`
}

// Pool is a set of upstreams that serve the same requests.
type Pool struct {
	Name string `json:"name"`
	// MaxConnections is the maximum number of connections that one upstream accepts from all
	// boxes together.
	MaxConnections int `json:"max_connections"`
	// HealthPath is the path of health checks, which upstreams answer like other requests, or empty.
	HealthPath string `json:"health_path,omitempty"`
	// ColdStartMs is how long an upstream is cold after its start.
	ColdStartMs clock.Millis `json:"cold_start_ms,omitempty"`
	// ColdPerSecond is the number of requests a second that a cold upstream bears. 0 sets no limit.
	ColdPerSecond float64 `json:"cold_per_second,omitempty"`
	// Engine is nil for plain services.
	Engine *Engine `json:"engine,omitempty"`
}

// Organisation is the owner of a set of keys.
type Organisation struct {
	Name string `json:"name"`
	// Priority overrides the route's priority when HasPriority is set.
	Priority    int      `json:"priority"`
	HasPriority bool     `json:"has_priority"`
	Keys        []string `json:"keys"`
}

// Limits bound the requests of callers.
type Limits struct {
	MaxHeaderBytes  int          `json:"max_header_bytes"`
	MaxBodyBytes    int64        `json:"max_body_bytes"`
	HeaderTimeoutMs clock.Millis `json:"header_timeout_ms"`
	IdleTimeoutMs   clock.Millis `json:"idle_timeout_ms"`
}

// Content is the data of a State.
type Content struct {
	Version       int64          `json:"version"`
	Routes        []Route        `json:"routes"`
	Pools         []Pool         `json:"pools"`
	Organisations []Organisation `json:"organisations"`
	Limits        Limits         `json:"limits"`
}

// State is one version of the routing state, indexed for lookups.
type State struct {
	content Content
	version int64
	hosts   map[string][]prefixedRoute
	pools   map[string]*Pool
	keys    map[string]*Organisation
	keyed   bool
	limits  Limits
}

// prefixedRoute is a route and the normal form of its prefix.
type prefixedRoute struct {
	prefix string
	route  *Route
}

// New validates the content and returns its State.
func New(c Content) (*State, error) {
	s := &State{
		content: c, version: c.Version, hosts: map[string][]prefixedRoute{}, pools: map[string]*Pool{},
		keys: map[string]*Organisation{}, keyed: len(c.Organisations) > 0, limits: c.Limits,
	}
	for i := range c.Pools {
		s.pools[c.Pools[i].Name] = &c.Pools[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.check(); err != nil {
			return nil, err
		}
		s.hosts[r.Host] = append(s.hosts[r.Host], prefixedRoute{urlpath.Normal(r.PathPrefix), r})
	}
	for _, routes := range s.hosts {
		// Sorts by descending prefix length, so that the longest match is found first.
		slices.SortFunc(routes, func(a, b prefixedRoute) int { return len(b.prefix) - len(a.prefix) })
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			s.keys[key] = &c.Organisations[i]
		}
	}
	return s, nil
}

// Content returns the state's data, which must not be modified.
func (s *State) Content() Content { return s.content }

// Version returns the version of the state.
func (s *State) Version() int64 { return s.version }

// Limits returns the bounds on requests of callers.
func (s *State) Limits() Limits { return s.limits }

// RequiresKey reports whether the state has any organisations, so that routes that are not public
// require a key.
func (s *State) RequiresKey() bool { return s.keyed }

// Pool returns a pool by name, or nil if there is none.
func (s *State) Pool(name string) *Pool { return s.pools[name] }

// Match returns the route with the longest prefix that matches the path, or nil if there is none. The path is that of
// the request line, not unescaped.
func (s *State) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path = urlpath.Normal(path)
	for _, r := range s.hosts[host] {
		if strings.HasPrefix(path, r.prefix) {
			return r.route
		}
	}
	return nil
}

// Organisation returns the owner of a key, or nil if the key is unknown.
func (s *State) Organisation(key string) *Organisation { return s.keys[key] }

// RouteCount returns the number of routes.
func (s *State) RouteCount() int {
	count := 0
	for _, routes := range s.hosts {
		count += len(routes)
	}
	return count
}
