// Package route is the step that picks the first upstream of a request: one of
// this failure domain, or else a box of another one.
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

// Pipe picks upstreams.
type Pipe struct {
	acquire func(x *exchange.Exchange, tried pool.Tried) (*pool.Lease, error)
	remote  func(x *exchange.Exchange, tried pool.Tried) (*pool.Lease, bool)
}

// New returns the step. Remote picks a box of another failure domain, if any.
func New(
	acquire func(x *exchange.Exchange, tried pool.Tried) (*pool.Lease, error),
	remote func(x *exchange.Exchange, tried pool.Tried) (*pool.Lease, bool),
) *Pipe {
	return &Pipe{acquire: acquire, remote: remote}
}

// String names the step in logs.
func (*Pipe) String() string { return "route" }

// Default fills in the settings that this step uses.
func (*Pipe) Default(settings *config.Router) {
	r := &settings.Route
	config.Fill(&r.Policy, route.DefaultPolicy)
	config.Fill(&r.LoadBoundPercent, defaultLoadBoundPercent)
	config.Fill(&r.SlowStartMs, defaultSlowStartMs)
	config.Fill(&r.EjectBaseMs, defaultEjectBaseMs)
	config.Fill(&r.EjectMaxMs, defaultEjectMaxMs)
	config.Fill(&r.PanicPercent, defaultPanicPercent)
}

// PoolSettings returns the settings of the pools, after the defaults.
func PoolSettings(settings config.Route) (pool.Settings, error) {
	name := settings.Policy
	if name == route.PolicyGrants {
		// What the picker falls back to, and what plain services need.
		name = route.PolicyRendezvousBound
	}
	policy, err := route.PolicyByName(name)
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

// Run picks the first upstream.
func (p *Pipe) Run(x *exchange.Exchange) error {
	lease, err := p.Next(x, nil)
	if err != nil {
		return err
	}
	x.Lease = lease
	return nil
}

// Next picks an upstream that the request has not tried.
func (p *Pipe) Next(x *exchange.Exchange, tried pool.Tried) (*pool.Lease, error) {
	lease, err := p.acquire(x, tried)
	if err == nil {
		return lease, nil
	}
	if !x.FromPeer {
		if lease, found := p.remote(x, tried); found {
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
