package limit

import (
	"errors"
	"sync"

	"golang.org/x/time/rate"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/table"
)

// Errors for requests that exceed an organisation's own limits.
var (
	ErrRate        = errors.New("organisation's rate limit")
	ErrConcurrency = errors.New("organisation's limit of requests in flight")
)

// Share returns the fraction, 0 to 1, of an organisation's fleet-wide limits that this box may use.
type Share func(organisation string) float64

// Organisations enforces the limits of organisations on one box. The limits are fleet-wide, and each
// box enforces its share of them. It is safe for concurrent use.
type Organisations struct {
	share Share
	now   func() clock.Millis

	mu     sync.Mutex
	usages map[string]*usage
}

// usage is one organisation's current usage on this box.
type usage struct {
	limiter  *rate.Limiter
	inFlight int
	// requests counts the requests since the last call of Demand, including refused ones.
	requests int
}

// NewOrganisations returns limits with no recorded usage.
func NewOrganisations(share Share, now func() clock.Millis) *Organisations {
	return &Organisations{share: share, now: now, usages: map[string]*usage{}}
}

// Acquire admits a request of an organisation, or refuses it with ErrRate or ErrConcurrency and the
// time to wait before a retry. Release must be called exactly once for each admitted request.
func (o *Organisations) Acquire(row *table.Organisation) (clock.Millis, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	u := o.usage(row.Name)
	u.requests++
	if wait, ok := o.takeToken(u, row); !ok {
		return wait, ErrRate
	}
	if row.MaxInFlight > 0 && u.inFlight >= o.localLimit(row.MaxInFlight, row.Name) {
		return concurrencyRetryMs, ErrConcurrency
	}
	u.inFlight++
	return 0, nil
}

const concurrencyRetryMs = clock.Second

// localLimit returns this box's part of a limit. It is at least 1, because a small limit would
// otherwise exclude an organisation from the box.
func (o *Organisations) localLimit(limit int, name string) int {
	return max(1, int(float64(limit)*o.share(name)+half))
}

const half = 0.5

// takeToken takes one token from the organisation's token bucket, which holds the tokens of one
// second. Without a token it returns how long to wait for one.
func (o *Organisations) takeToken(u *usage, row *table.Organisation) (clock.Millis, bool) {
	if row.RatePerS == 0 {
		u.limiter = nil
		return 0, true
	}
	perSecond := float64(row.RatePerS) * o.share(row.Name)
	burst := max(1, int(perSecond))
	now := o.now().Time()
	if u.limiter == nil {
		u.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	if u.limiter.Limit() != rate.Limit(perSecond) {
		u.limiter.SetLimitAt(now, rate.Limit(perSecond))
		u.limiter.SetBurstAt(now, burst)
	}
	if u.limiter.AllowN(now, 1) {
		return 0, true
	}
	missing := 1 - u.limiter.TokensAt(now)
	return clock.Millis(missing / perSecond * float64(clock.Second)), false
}

func (o *Organisations) usage(name string) *usage {
	u := o.usages[name]
	if u == nil {
		u = &usage{}
		o.usages[name] = u
	}
	return u
}

// Release records that an admitted request has ended.
func (o *Organisations) Release(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if u := o.usages[name]; u != nil && u.inFlight > 0 {
		u.inFlight--
	}
}

// Demand returns how many requests each organisation sent since the last call, including refused
// ones. It drops organisations that sent no requests and have none in flight.
func (o *Organisations) Demand() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	demand := map[string]int{}
	for name, u := range o.usages {
		if u.requests > 0 {
			demand[name] = u.requests
		} else if u.inFlight == 0 {
			delete(o.usages, name)
		}
		u.requests = 0
	}
	return demand
}
