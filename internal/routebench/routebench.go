// Package routebench runs routing decisions against seeded arrivals: boxes that
// see only their part of the traffic and old load reports, engines with limited
// prefix caches. It calls the same policies as a box and measures what they
// bring about; it models nothing else.
package routebench

import (
	"fmt"
	"math/rand/v2"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/route"
)

// Scenario is one seeded run.
type Scenario struct {
	Name    string `json:"name"`
	Seed    uint64 `json:"seed"`
	Boxes   int    `json:"boxes"`
	Engines int    `json:"engines"`
	// Mean is the wanted mean of requests in flight on an engine.
	Mean float64 `json:"mean"`
	// SessionsPerEngine is how many sessions return, per engine.
	SessionsPerEngine int `json:"sessions_per_engine"`
	// CacheSessions is how many sessions' prompts an engine's cache holds.
	CacheSessions int `json:"cache_sessions"`
	// SmallCaches is how many engines have half the cache.
	SmallCaches int `json:"small_caches"`
	// ReportLagMs is the age of load reports, which come once a second.
	ReportLagMs clock.Millis `json:"report_lag_ms"`
	// LengthMs is how long requests arrive.
	LengthMs clock.Millis `json:"length_ms"`
	// Surge multiplies arrivals by this factor in the middle third, by one
	// organisation's sessions; 0 and 1 are none.
	Surge float64 `json:"surge"`
	// ChurnMs is the time between two engines that leave; each comes back, empty,
	// after some seconds. 0 is none.
	ChurnMs clock.Millis `json:"churn_ms"`
	// ViewLagMs is the largest delay after which a box sees churn.
	ViewLagMs clock.Millis `json:"view_lag_ms"`
	// Uneven gives the first box this multiple of an even part of the traffic;
	// 0 and 1 are even.
	Uneven float64 `json:"uneven"`
}

// Result is what a run measured.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	// Reuse is the part of prompt tokens found warm.
	Reuse float64 `json:"reuse"`
	// Skew is the busiest engine over the mean of requests in flight, in the
	// worst window of one second, over the engines that were there all along.
	Skew float64 `json:"skew"`
	// Excess is by how many requests in flight the busiest engine was above the
	// set multiple of the mean, in the worst window.
	Excess float64 `json:"excess"`
	// MeanInFlight is the mean over engines and time.
	MeanInFlight float64 `json:"mean_in_flight"`
	// SurgeSkew and SurgeExcess are Skew and Excess within the surge.
	SurgeSkew   float64 `json:"surge_skew"`
	SurgeExcess float64 `json:"surge_excess"`
	// Asks is how many questions to owners a request took.
	Asks float64 `json:"asks"`
	// Forced is how many requests went to an engine above its bound, because
	// all that were asked were.
	Forced int `json:"forced"`
}

// BoundPercent is the set multiple of the mean load in every run.
const BoundPercent = 125

// Run runs a scenario under a policy of package route, or PerfectKnowledge.
func Run(scenario Scenario, policyName string) (Result, error) {
	pick, err := pickerOf(policyName)
	if err != nil {
		return Result{}, err
	}
	r := newRun(scenario, pick, policyName == route.PolicyGrants)
	r.loop()
	result := r.result()
	result.Scenario, result.Policy = scenario.Name, policyName
	return result, nil
}

// picker chooses an engine for a request that a box took in, or none.
type picker func(r *run, box int, s *session) int

// none is the position of no engine.
const none = -1

func pickerOf(policyName string) (picker, error) {
	if policyName == PerfectKnowledge {
		return pickPerfect, nil
	}
	if policyName == route.PolicyGrants {
		return pickGrants, nil
	}
	policy, err := route.PolicyByName(policyName)
	if err != nil {
		return nil, fmt.Errorf("policy %s: %w", policyName, err)
	}
	return func(r *run, box int, s *session) int {
		position, err := policy.Pick(r.views[box], s.key, route.Tried{})
		if err != nil {
			return none
		}
		return position
	}, nil
}

func newRandom(scenario Scenario) *rand.Rand {
	return rand.New(rand.NewPCG(scenario.Seed, uint64(scenario.Engines)))
}
