// Package bounds checks measurements against recorded bounds to detect regressions. It covers
// counts, bytes and the quality of decisions in seeded runs, which are the same on every
// machine.
package bounds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"

	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/capacity"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/grant"
	"dooryard.example/dooryard/internal/metrics"
	"dooryard.example/dooryard/internal/pipe/forward"
	"dooryard.example/dooryard/internal/pool"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/routebench"
	"dooryard.example/dooryard/internal/table"
	"dooryard.example/dooryard/pkg/config"
)

// ErrRegression means that a measurement exceeds its bound.
var ErrRegression = errors.New("regression")

// Bound is a recorded measurement and the relative change for the worse that is allowed.
type Bound struct {
	Value float64 `json:"value"`
	// Tolerance is the allowed change for the worse, as a fraction of Value. Its JSON name is
	// part of the bounds file.
	Tolerance float64 `json:"part"`
	// HigherIsBetter is set for measurements that must not decrease.
	HigherIsBetter bool `json:"higher_is_better,omitempty"`
}

// regressed reports whether a new value violates the bound.
func (b Bound) regressed(value float64) bool {
	if b.HigherIsBetter {
		return value < b.Value*(1-b.Tolerance)
	}
	return value > b.Value*(1+b.Tolerance)
}

// Measure returns all measurements by name.
func Measure() (map[string]float64, error) {
	values := map[string]float64{
		"grants: bytes of an ask and its reply": float64(grant.WireSizes().Ask + grant.WireSizes().Reply),
		"grants: bytes of a hold":               float64(grant.WireSizes().InFlight),
		"claims: bytes of a claim and its end":  float64(capacity.ClaimBytes()),
		"forward: allocations of an attempt":    forwardAllocations(),
	}
	for name, value := range capacity.GossipBytes() {
		values["membership: "+name] = value
	}
	for _, s := range routebench.Scenarios(1)[:2] {
		for _, policy := range []string{route.PolicyGrants, routebench.PerfectKnowledge} {
			result, err := routebench.Run(s, policy)
			if err != nil {
				return nil, err
			}
			values[s.Name+": reuse of "+policy] = result.Reuse
			values[s.Name+": skew of "+policy] = result.Skew
		}
	}
	return values, nil
}

const (
	allocationRuns = 200
	dayMs          = 24 * 60 * 60 * clock.Second
)

// forwardAllocations returns the number of allocations of the forward step for a small
// response, without those of the HTTP client.
func forwardAllocations() float64 {
	row := &table.Upstream{Name: "e", Address: "127.0.0.1:1"}
	pipe := forward.New(forward.Dependencies{
		Transport: stubTransport{}, Report: func(string, int) {}, Metrics: metrics.New(),
		Tracer: noop.NewTracerProvider().Tracer(""), Logger: zap.NewNop(), Clock: clock.New(),
		OnDue: func(*exchange.Exchange) {},
		Next:  func(*exchange.Exchange, pool.Tried) (*pool.Lease, error) { return nil, route.ErrNoUpstream },
	})
	pipe.Default(&config.Router{})
	request := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/v1/chat/completions", http.NoBody)
	return testing.AllocsPerRun(allocationRuns, func() {
		x := exchange.New(request.Context(), "id", httptest.NewRecorder(), request, exchange.Chat, 0)
		x.Organisation = &table.Organisation{Name: "o"}
		x.Deadline = dayMs
		x.RespondBy = dayMs
		x.Body = []byte("{}")
		x.Lease = pool.NewRemoteLease(row.Name, row.Address, nil, func(bool) {})
		_ = pipe.Run(x)
	})
}

// stubTransport responds to each request immediately.
type stubTransport struct{}

// RoundTrip implements http.RoundTripper.
func (stubTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	const body = `{"choices":[]}`
	header := http.Header{}
	header.Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	return &http.Response{
		StatusCode: http.StatusOK, Header: header, ContentLength: int64(len(body)),
		Body: io.NopCloser(strings.NewReader(body)), Request: r,
	}, nil
}

// Load reads the bounds file.
func Load(path string) (map[string]Bound, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("bounds: %w", err)
	}
	bounds := map[string]Bound{}
	if err := json.Unmarshal(data, &bounds); err != nil {
		return nil, fmt.Errorf("bounds: %s: %w", path, err)
	}
	return bounds, nil
}

// Check compares measurements with their bounds and prints each. The error names all
// regressions, measurements without a bound, and bounds without a measurement.
func Check(out io.Writer, bounds map[string]Bound, values map[string]float64) error {
	problems := []error{}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		bound, known := bounds[name]
		fmt.Fprintf(out, "%-70s %10.3f  bound %10.3f within %.0f%%\n", name, values[name], bound.Value, 100*bound.Tolerance)
		switch {
		case !known:
			problems = append(problems, fmt.Errorf("%w: %s has no bound", ErrRegression, name))
		case bound.regressed(values[name]):
			problems = append(problems, fmt.Errorf("%w: %s: %.3f, was %.3f", ErrRegression, name, values[name], bound.Value))
		}
	}
	for name := range bounds {
		if _, measured := values[name]; !measured {
			problems = append(problems, fmt.Errorf("%w: %s is no longer measured", ErrRegression, name))
		}
	}
	return errors.Join(problems...)
}

// Update writes the measurements as new bounds. Tolerances and directions of known bounds stay.
func Update(path string, bounds map[string]Bound, values map[string]float64) error {
	const defaultTolerance = 0.05
	updated := map[string]Bound{}
	for name, value := range values {
		bound, known := bounds[name]
		if !known {
			bound = Bound{Tolerance: defaultTolerance, HigherIsBetter: strings.Contains(name, "reuse")}
		}
		bound.Value = value
		updated[name] = bound
	}
	data, err := json.MarshalIndent(updated, "", "  ")
	if err != nil {
		return fmt.Errorf("bounds: %w", err)
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
