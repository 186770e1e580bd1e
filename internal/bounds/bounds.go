// Package bounds holds the figures that must not get worse: counts, bytes and
// the quality of decisions in seeded runs, which are the same on every machine.
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

// ErrWorse means that a figure is worse than its bound allows.
var ErrWorse = errors.New("a figure got worse")

// Bound is a figure and by what part it may get worse.
type Bound struct {
	Value float64 `json:"value"`
	// Part is the allowed change for the worse.
	Part float64 `json:"part"`
	// HigherIsBetter is set for figures that must not fall.
	HigherIsBetter bool `json:"higher_is_better,omitempty"`
}

// worse reports whether a new value breaks the bound.
func (b Bound) worse(value float64) bool {
	if b.HigherIsBetter {
		return value < b.Value*(1-b.Part)
	}
	return value > b.Value*(1+b.Part)
}

// Measure returns every figure by name.
func Measure() (map[string]float64, error) {
	figures := map[string]float64{
		"grants: bytes of an ask and its reply": float64(grant.WireSizes().Ask + grant.WireSizes().Reply),
		"grants: bytes of a hold":               float64(grant.WireSizes().Hold),
		"claims: bytes of a claim and its end":  float64(capacity.ClaimBytes()),
		"forward: allocations of an attempt":    forwardAllocations(),
	}
	for name, value := range capacity.GossipBytes() {
		figures["membership: "+name] = value
	}
	for _, s := range routebench.Scenarios(1)[:2] {
		for _, policy := range []string{route.PolicyGrants, routebench.PerfectKnowledge} {
			result, err := routebench.Run(s, policy)
			if err != nil {
				return nil, err
			}
			figures[s.Name+": reuse of "+policy] = result.Reuse
			figures[s.Name+": skew of "+policy] = result.Skew
		}
	}
	return figures, nil
}

const allocationRuns = 200

// forwardAllocations counts what the forward step allocates for a small answer,
// the HTTP client aside.
func forwardAllocations() float64 {
	row := &table.Upstream{Name: "e", Address: "127.0.0.1:1"}
	pipe := forward.New(forward.Dependencies{
		Transport: answering{}, Report: func(string, int) {}, Metrics: metrics.New(),
		Tracer: noop.NewTracerProvider().Tracer(""), Logger: zap.NewNop(), Clock: clock.New(),
		Next: func(*exchange.Exchange, pool.Tried) (*pool.Lease, error) { return nil, route.ErrNoUpstream },
	})
	pipe.Default(&config.Router{})
	request := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/v1/chat/completions", http.NoBody)
	return testing.AllocsPerRun(allocationRuns, func() {
		x := exchange.New(request.Context(), "id", httptest.NewRecorder(), request, exchange.Chat, 0)
		x.Organisation = &table.Organisation{Name: "o"}
		x.Deadline = 1 << 60
		x.Body = []byte("{}")
		x.Lease = pool.NewRemoteLease(row.Name, row.Address, nil, func(bool) {})
		_ = pipe.Run(x)
	})
}

// answering is a transport whose every request is answered at once.
type answering struct{}

// RoundTrip implements http.RoundTripper.
func (answering) RoundTrip(r *http.Request) (*http.Response, error) {
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

// Check compares figures with their bounds and prints each. The error names all
// that got worse, and all that have no bound.
func Check(out io.Writer, bounds map[string]Bound, figures map[string]float64) error {
	problems := []error{}
	for _, name := range slices.Sorted(maps.Keys(figures)) {
		bound, known := bounds[name]
		fmt.Fprintf(out, "%-70s %10.3f  bound %10.3f within %.0f%%\n", name, figures[name], bound.Value, 100*bound.Part)
		switch {
		case !known:
			problems = append(problems, fmt.Errorf("%w: %s has no bound", ErrWorse, name))
		case bound.worse(figures[name]):
			problems = append(problems, fmt.Errorf("%w: %s: %.3f, was %.3f", ErrWorse, name, figures[name], bound.Value))
		}
	}
	for name := range bounds {
		if _, measured := figures[name]; !measured {
			problems = append(problems, fmt.Errorf("%w: %s is no longer measured", ErrWorse, name))
		}
	}
	return errors.Join(problems...)
}

// Update takes the figures for the new bounds; parts and directions stay.
func Update(path string, bounds map[string]Bound, figures map[string]float64) error {
	const defaultPart = 0.05
	updated := map[string]Bound{}
	for name, value := range figures {
		bound, known := bounds[name]
		if !known {
			bound = Bound{Part: defaultPart, HigherIsBetter: strings.Contains(name, "reuse")}
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
