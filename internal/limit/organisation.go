package limit

import (
	"errors"
	"sync"

	"golang.org/x/time/rate"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/table"
)

// Errors of an organisation's own limits.
var (
	ErrRate        = errors.New("organisation's rate limit")
	ErrConcurrency = errors.New("organisation's limit of requests in flight")
)

// Share tells which part of a fleet-wide limit this box may use, 0 to 1.
type Share func(organisation string) float64

// Organisations keeps the fleet-wide limits of organisations on one box, each
// box within its share. It is safe for concurrent use.
type Organisations struct {
	share Share
	now   func() clock.Millis

	mu    sync.Mutex
	known map[string]*usage
}

// usage is what one organisation uses on this box.
type usage struct {
	limiter  *rate.Limiter
	inFlight int
	// asked counts requests since the last call of Demand, refused ones too.
	asked int
}

// NewOrganisations returns limits that nobody uses yet.
func NewOrganisations(share Share, now func() clock.Millis) *Organisations {
	return &Organisations{share: share, now: now, known: map[string]*usage{}}
}

// Enter counts a request of an organisation in, or refuses it with ErrRate or
// ErrConcurrency and the time after which it may be tried again. Leave must be
// called once for each request that was let in.
func (o *Organisations) Enter(row *table.Organisation) (clock.Millis, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	u := o.usage(row.Name)
	u.asked++
	if wait, ok := o.takeToken(u, row); !ok {
		return wait, ErrRate
	}
	if row.MaxInFlight > 0 && u.inFlight >= o.part(row.MaxInFlight, row.Name) {
		return concurrencyRetryMs, ErrConcurrency
	}
	u.inFlight++
	return 0, nil
}

const concurrencyRetryMs = clock.Second

// part is this box's part of a limit, at least 1 so that a small limit does not
// lock an organisation out of a box.
func (o *Organisations) part(limit int, name string) int {
	return max(1, int(float64(limit)*o.share(name)+half))
}

const half = 0.5

// takeToken takes one token of the rate limit. The bucket holds one second.
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
	u := o.known[name]
	if u == nil {
		u = &usage{}
		o.known[name] = u
	}
	return u
}

// Leave counts a request out.
func (o *Organisations) Leave(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if u := o.known[name]; u != nil && u.inFlight > 0 {
		u.inFlight--
	}
}

// Demand returns how many requests each organisation sent since the last call,
// refused ones too, and forgets organisations that sent none and run none.
func (o *Organisations) Demand() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	demand := map[string]int{}
	for name, u := range o.known {
		if u.asked > 0 {
			demand[name] = u.asked
		} else if u.inFlight == 0 {
			delete(o.known, name)
		}
		u.asked = 0
	}
	return demand
}
