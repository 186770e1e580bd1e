// Package routing holds the routing state that a box works by: which host and
// path go to which pool of upstreams, what each kind of request permits, and
// which keys belong to which organisation. A State is immutable and says which
// version it is; where it comes from is the business of a source.
package routing

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"

	"dooryard.example/dooryard/internal/clock"
)

// ErrInvalid marks a state that can't be used; the error names the field.
var ErrInvalid = errors.New("invalid routing state")

// Kind says what may be done with a request after a failure.
type Kind string

// Kinds of requests.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by events; without Resumable they run at
	// most once.
	Stream Kind = "stream"
)

// Split is one pool's part of a route.
type Split struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Route sends the requests of a host and a path prefix to pools.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Kind       Kind   `json:"kind"`
	// Resumable streams may be continued at another upstream.
	Resumable bool `json:"resumable"`
	// Attempts is the largest number of upstreams that one request is sent to.
	Attempts int `json:"attempts"`
	// TimeoutMs is the longest time that the operators want a request held.
	TimeoutMs clock.Millis `json:"timeout_ms"`
	// ObjectiveMs is the time to the first byte within which an answer is good.
	ObjectiveMs clock.Millis `json:"objective_ms"`
	// GapMs is the longest good pause between two events of a stream.
	GapMs clock.Millis `json:"gap_ms"`
	// Priority ranks requests; 0 is the most urgent.
	Priority int `json:"priority"`
	// Public routes need no key.
	Public bool `json:"public"`
	// Sticky routes are ranked by the prompt, so that caches are used again.
	Sticky bool    `json:"sticky"`
	Splits []Split `json:"splits"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// PoolFor chooses one of the route's pools for a number drawn evenly from all
// of uint64: the same number gives the same pool while the weights stay.
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
		return fmt.Errorf("%w: route %q: attempts and time-out must be positive", ErrInvalid, r.Name)
	default:
		return nil
	}
}

// Engine is what all upstreams of a pool of model engines have in common.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int `json:"slots"`
	// CacheTokens is the memory of an engine for prompts.
	CacheTokens int `json:"cache_tokens"`
	// Transfers is set when engines copy cached prompts from each other.
	Transfers bool `json:"transfers"`
}

// Pool is a set of upstreams that serve the same requests.
type Pool struct {
	Name string `json:"name"`
	// MaxConnections is what one upstream accepts from all boxes together.
	MaxConnections int `json:"max_connections"`
	// Engine is nil for plain services.
	Engine *Engine `json:"engine,omitempty"`
}

// Organisation is who a key belongs to.
type Organisation struct {
	Name string `json:"name"`
	// Priority goes before that of a route when HasPriority is set.
	Priority    int      `json:"priority"`
	HasPriority bool     `json:"has_priority"`
	Keys        []string `json:"keys"`
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes  int          `json:"max_header_bytes"`
	MaxBodyBytes    int64        `json:"max_body_bytes"`
	HeaderTimeoutMs clock.Millis `json:"header_timeout_ms"`
	IdleTimeoutMs   clock.Millis `json:"idle_timeout_ms"`
}

// Content is what a State is made of.
type Content struct {
	Version       int64          `json:"version"`
	Routes        []Route        `json:"routes"`
	Pools         []Pool         `json:"pools"`
	Organisations []Organisation `json:"organisations"`
	Limits        Limits         `json:"limits"`
}

// State is one version of the routing state, ready for look-ups.
type State struct {
	content Content
	version int64
	hosts   map[string][]*Route
	pools   map[string]*Pool
	keys    map[string]*Organisation
	keyed   bool
	limits  Limits
}

// New checks the content and returns its State.
func New(c Content) (*State, error) {
	s := &State{
		content: c, version: c.Version, hosts: map[string][]*Route{}, pools: map[string]*Pool{},
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
		s.hosts[r.Host] = append(s.hosts[r.Host], r)
	}
	for _, routes := range s.hosts {
		// The longest prefix is found first.
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			s.keys[key] = &c.Organisations[i]
		}
	}
	return s, nil
}

// Content returns what the state is made of, to be read only.
func (s *State) Content() Content { return s.content }

// Version returns the state's version.
func (s *State) Version() int64 { return s.version }

// Limits returns what a caller may send.
func (s *State) Limits() Limits { return s.limits }

// Keyed reports whether requests need a key at all.
func (s *State) Keyed() bool { return s.keyed }

// Pool returns a pool by name, or nil.
func (s *State) Pool(name string) *Pool { return s.pools[name] }

// Match returns the route with the longest prefix that begins the path, or nil.
func (s *State) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range s.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Organisation returns whose key it is, or nil.
func (s *State) Organisation(key string) *Organisation { return s.keys[key] }

// RouteCount returns how many routes the state has.
func (s *State) RouteCount() int {
	count := 0
	for _, routes := range s.hosts {
		count += len(routes)
	}
	return count
}
