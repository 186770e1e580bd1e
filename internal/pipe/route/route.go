// Package route is the pipeline step that selects the first upstream of a request. It prefers an
// upstream in the local failure domain and falls back to a box in another one.
package route

import (
	"errors"
	"net/http"

	"dooryard.example/dooryard/internal/apierror"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/health"
	"dooryard.example/dooryard/internal/pool"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/pkg/config"
)

// Defaults of the settings that this step uses.
const (
	defaultLoadBoundPercent = 125
	defaultSlowStartMs      = 30_000
	defaultEjectBaseMs      = 2000
	defaultEjectMaxMs       = 60_000
	defaultPanicPercent     = 50
	noUpstreamRetryMs       = 2 * clock.Second
)

// Pipe selects upstreams.
type Pipe struct {
	acquireLocal  func(x *exchange.Exchange, tried pool.Tried) (*pool.Lease, error)
	acquireRemote func(x *exchange.Exchange, tried pool.Tried) (*pool.Lease, bool)
}

// New returns the step. The first function leases an upstream in the local failure domain; the
// second one leases a box in another failure domain and reports whether it found one.
func New(
	acquireLocal func(x *exchange.Exchange, tried pool.Tried) (*pool.Lease, error),
	acquireRemote func(x *exchange.Exchange, tried pool.Tried) (*pool.Lease, bool),
) *Pipe {
	return &Pipe{acquireLocal: acquireLocal, acquireRemote: acquireRemote}
}

// String returns the name of the step in logs.
func (*Pipe) String() string { return "route" }

// Default sets the defaults of the settings that this step uses.
func (*Pipe) Default(settings *config.Router) {
	r := &settings.Route
	config.SetDefault(&r.Policy, route.DefaultPolicy)
	config.SetDefault(&r.LoadBoundPercent, defaultLoadBoundPercent)
	config.SetDefault(&r.SlowStartMs, defaultSlowStartMs)
	config.SetDefault(&r.EjectBaseMs, defaultEjectBaseMs)
	config.SetDefault(&r.EjectMaxMs, defaultEjectMaxMs)
	config.SetDefault(&r.PanicPercent, defaultPanicPercent)
}

// PoolSettings converts the route settings, with their defaults set, to pool settings.
func PoolSettings(settings config.Route) (pool.Settings, error) {
	policyName := settings.Policy
	if policyName == route.PolicyGrants {
		// The picker selects engines by slots and needs no pool policy. Pools use this policy for
		// services, and to explain how they rank their members.
		policyName = route.PolicyRendezvousBound
	}
	policy, err := route.PolicyByName(policyName)
	if err != nil {
		return pool.Settings{}, &config.FieldError{Key: "route.policy", Reason: err.Error()}
	}
	return pool.Settings{
		Policy:       policy,
		BoundPercent: settings.LoadBoundPercent,
		SlowStartMs:  clock.Millis(settings.SlowStartMs),
		PanicPercent: settings.PanicPercent,
		Health: health.Limits{
			BaseMs: clock.Millis(settings.EjectBaseMs),
			MaxMs:  clock.Millis(settings.EjectMaxMs),
		},
	}, nil
}

// Run selects the first upstream.
func (p *Pipe) Run(x *exchange.Exchange) error {
	lease, err := p.Next(x, nil)
	if err != nil {
		return err
	}
	x.Lease = lease
	return nil
}

// Next selects an upstream that the request has not tried yet.
func (p *Pipe) Next(x *exchange.Exchange, tried pool.Tried) (*pool.Lease, error) {
	lease, err := p.acquireLocal(x, tried)
	if err == nil {
		return lease, nil
	}
	if !x.FromPeer {
		if lease, found := p.acquireRemote(x, tried); found {
			return lease, nil
		}
	}
	code, message := "no_upstream", "nothing serves this here now"
	if errors.Is(err, route.ErrSaturated) {
		code, message = "saturated", "all upstreams are at their limit"
	}
	return nil, apierror.New(http.StatusServiceUnavailable, code, message,
		apierror.WithRetryAfter(noUpstreamRetryMs), apierror.WithCause(err))
}
