// Package routebench simulates routing decisions under seeded random arrivals. Boxes see only their share of the
// traffic and delayed load reports, and engines have limited prefix caches. The simulation calls the same policies as a
// box and measures their cache reuse and load skew; it models nothing else.
package routebench

import (
	"fmt"
	"math/rand/v2"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/route"
)

// Scenario holds the parameters of a seeded run.
type Scenario struct {
	Name    string `json:"name"`
	Seed    uint64 `json:"seed"`
	Boxes   int    `json:"boxes"`
	Engines int    `json:"engines"`
	// Mean is the target mean number of requests in flight per engine.
	Mean float64 `json:"mean"`
	// SessionsPerEngine is the number of returning sessions per engine.
	SessionsPerEngine int `json:"sessions_per_engine"`
	// CacheSessions is the number of sessions whose longest prompts fit into an engine's cache.
	CacheSessions int `json:"cache_sessions"`
	// SmallCaches is the number of engines with a cache of half the size.
	SmallCaches int `json:"small_caches"`
	// ReportLagMs is the age of load reports, which arrive once per second.
	ReportLagMs clock.Millis `json:"report_lag_ms"`
	// LengthMs is the simulated time in which requests arrive.
	LengthMs clock.Millis `json:"length_ms"`
	// SurgeFactor multiplies the arrival rate in the middle third of the run. The additional requests belong to the
	// sessions of one organisation. 0 and 1 mean no surge.
	SurgeFactor float64 `json:"surge"`
	// ChurnMs is the interval at which engines leave. Each one rejoins with an empty cache after some seconds. 0 means no
	// churn.
	ChurnMs clock.Millis `json:"churn_ms"`
	// ViewLagMs is the maximum delay after which a box sees an engine leave or rejoin.
	ViewLagMs clock.Millis `json:"view_lag_ms"`
	// FirstBoxFactor gives the first box this multiple of an equal share of the traffic. 0 and 1 mean equal shares.
	FirstBoxFactor float64 `json:"uneven"`
}

// Result holds the measurements of a run.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	// Reuse is the fraction of prompt tokens that were cached.
	Reuse float64 `json:"reuse"`
	// Skew is the ratio of the busiest engine's requests in flight to the mean, in the worst window of one second, over
	// the engines that were up all along.
	Skew float64 `json:"skew"`
	// Excess is the number of requests in flight by which the busiest engine exceeded the load bound, in the worst
	// window.
	Excess float64 `json:"excess"`
	// MeanInFlight is the mean number of requests in flight over engines and time.
	MeanInFlight float64 `json:"mean_in_flight"`
	// SurgeSkew and SurgeExcess are Skew and Excess during the surge.
	SurgeSkew   float64 `json:"surge_skew"`
	SurgeExcess float64 `json:"surge_excess"`
	// Asks is the mean number of questions to owners per request.
	Asks float64 `json:"asks"`
	// Forced is the number of requests that were routed to an engine above its load bound because all engines that were
	// asked for exceeded it.
	Forced int `json:"forced"`
}

// BoundPercent is the load bound of an engine in every run, in percent of the mean load.
const BoundPercent = 125

// Run runs a scenario with a policy of package route or with PerfectKnowledge.
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

// picker returns the position of the engine for a request that a box received, or none.
type picker func(r *run, box int, s *session) int

// none is returned by a picker that finds no engine.
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
