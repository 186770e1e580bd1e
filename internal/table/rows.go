package table

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/urlpath"
)

// Values of the columns "kind" and "state" of the upstreams sheet.
const (
	KindEngine    = "engine"
	KindService   = "service"
	StateActive   = "active"
	StateDraining = "draining"
)

// Default values for empty cells.
const (
	defaultWeight = 100
	defaultSlots  = 256
)

// Organisation is one row of the organisations sheet. A limit of zero means that
// there is no limit.
type Organisation struct {
	Name        string
	KeyHash     string
	Weight      int
	RatePerS    int
	MaxInFlight int
	Priority    int
}

// Model is one row of the models sheet. For fields of zero, the settings of the
// box apply.
type Model struct {
	Name             string
	DeadlineMs       clock.Millis
	LoadBoundPercent int
}

// Upstream is one row of the upstreams sheet: an engine, or a server of a plain
// service.
type Upstream struct {
	Name          string
	Kind          string
	Address       string
	FailureDomain string
	// Serves lists the models of an engine or the services of a server.
	Serves       []string
	Weight       int
	Draining     bool
	Slots        int
	ChecksTokens bool
}

// Service is one row of the services sheet.
type Service struct {
	Name            string
	RepeatableRules []Rule
	DeadlineMs      clock.Millis
}

// Rule matches requests to a service by method and path prefix. The method "*"
// matches any method.
type Rule struct {
	Method string
	Prefix string
}

// IsRepeatable reports whether a request to the service with this path, as sent, may
// safely run more than once. With dot segments it may not, since the server may
// resolve them to another path.
func (s *Service) IsRepeatable(method, path string) bool {
	if urlpath.HasDotSegments(path) {
		return false
	}
	path = urlpath.Normal(path)
	return slices.ContainsFunc(s.RepeatableRules, func(r Rule) bool {
		return (r.Method == "*" || r.Method == method) && strings.HasPrefix(path, urlpath.Normal(r.Prefix))
	})
}

// parseRules parses a list of rules such as "GET /; POST /search".
func parseRules(value string) ([]Rule, error) {
	rules := []Rule{}
	for _, part := range splitList(value) {
		method, prefix, found := strings.Cut(part, " ")
		if !found || !strings.HasPrefix(prefix, "/") || strings.ToUpper(method) != method {
			return nil, fmt.Errorf("%q is not a method and a path prefix such as \"GET /\"", part)
		}
		rules = append(rules, Rule{Method: method, Prefix: prefix})
	}
	return rules, nil
}

// HashKey returns the SHA-256 of a caller's key in lower-case hex digits. The
// table stores this hash instead of the key.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

func (r *row) text(name string) string {
	index := r.columns.index(name)
	return r.cells[index].Value
}

func (r *row) number(name string, defaultValue int) int {
	number, err := strconv.Atoi(r.text(name))
	if err != nil {
		return defaultValue
	}
	return number
}

func (r *row) organisation(name string) *Organisation {
	return &Organisation{
		Name:        name,
		KeyHash:     strings.ToLower(r.text("key_sha256")),
		Weight:      r.number("weight", defaultWeight),
		RatePerS:    r.number("rate_per_s", 0),
		MaxInFlight: r.number("max_in_flight", 0),
		Priority:    r.number("priority", 0),
	}
}

func (r *row) model(name string) *Model {
	return &Model{
		Name:             name,
		DeadlineMs:       clock.Millis(r.number("deadline_ms", 0)),
		LoadBoundPercent: r.number("load_bound_percent", 0),
	}
}

func (r *row) upstream(name string) *Upstream {
	return &Upstream{
		Name:          name,
		Kind:          r.text("kind"),
		Address:       r.text("address"),
		FailureDomain: r.text("failure_domain"),
		Serves:        splitList(r.text("serves")),
		Weight:        r.number("weight", defaultWeight),
		Draining:      r.text("state") == StateDraining,
		Slots:         r.number("slots", defaultSlots),
		ChecksTokens:  r.text("checks_tokens") == "true",
	}
}

func (r *row) service(name string) *Service {
	rules := []Rule{}
	if value := r.text("repeatable"); value != "" {
		// Parsing cannot fail: the value was validated when the edit was accepted.
		rules, _ = parseRules(value)
	}
	return &Service{Name: name, RepeatableRules: rules, DeadlineMs: clock.Millis(r.number("deadline_ms", 0))}
}
