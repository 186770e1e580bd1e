// Package experiment runs an ablation study of the gateway's routing mechanisms. It simulates a small fleet with the
// real balance.Manager in each box, engines with caches, and faults, in simulated time and with seeded randomness. It
// disables one mechanism at a time and compares the runs pairwise by seed, so that the effect of each mechanism can be
// measured on any machine. Nothing is sent; the same seed gives the same figures everywhere.
package experiment

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

// ErrUnknown is returned for an unknown name of a mechanism or fault.
var ErrUnknown = errors.New("unknown name")

// Mechanism is the name of a routing mechanism that can be disabled.
type Mechanism string

// Mechanisms. The value is the name on the command line and in reports.
const (
	// Sticky is session affinity: requests of a session are routed to the same engine.
	Sticky Mechanism = "sticky"
	// Fetch lets an engine fetch cached prompt parts from another engine.
	Fetch Mechanism = "fetch"
	// CacheSharing shares between boxes which prompt parts engines cache.
	CacheSharing Mechanism = "shared-caches"
	// LoadSharing shares between boxes how many requests each has in flight.
	LoadSharing Mechanism = "others-loads"
	// Ejection ejects engines that can't be reached.
	Ejection Mechanism = "ejection"
	// PathProbing probes the network paths to failure domains.
	PathProbing Mechanism = "paths"
	// Retry retries a failed request on another engine.
	Retry Mechanism = "retry"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{Sticky, Fetch, CacheSharing, LoadSharing, Ejection, PathProbing, Retry}
}

// Fault is the name of a kind of fault to inject.
type Fault string

// Faults. The value is the name on the command line and in reports.
const (
	// Crash permanently takes down a third of the engines, which are replaced by new ones.
	Crash Fault = "crash"
	// Partition cuts a failure domain off from the others.
	Partition Fault = "cut"
	// Errors makes engines fail a fraction of the requests.
	Errors Fault = "errors"
)

// Faults returns all faults.
func Faults() []Fault { return []Fault{Crash, Partition, Errors} }

// ParseFaults parses a comma-separated list of fault names.
func ParseFaults(names string) ([]Fault, error) { return parse(names, Faults()) }

// ParseMechanisms parses a comma-separated list of mechanism names.
func ParseMechanisms(names string) ([]Mechanism, error) { return parse(names, Mechanisms()) }

func parse[T ~string](names string, known []T) ([]T, error) {
	found := []T{}
	for name := range strings.SplitSeq(names, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		index := -1
		for i, one := range known {
			if string(one) == name {
				index = i
			}
		}
		if index < 0 {
			return nil, fmt.Errorf("%w: %q, want one of %v", ErrUnknown, name, known)
		}
		found = append(found, known[index])
	}
	return found, nil
}

// Metrics holds the metrics of a run, as fractions of its requests or of its shared prompt tokens.
type Metrics struct {
	// InTime is the fraction of requests that were answered within the latency objective.
	InTime float64 `json:"in_time"`
	// Served is the fraction of requests that were answered at all.
	Served float64 `json:"served"`
	// Reread is the fraction of shared tokens that an engine read although some engine had read them before.
	Reread float64 `json:"read_again"`
	// Fetched is the fraction of shared tokens that was fetched from another engine.
	Fetched float64 `json:"moved"`
	// Attempts is the mean number of engines that a request was sent to.
	Attempts float64 `json:"attempts"`
}

// Difference is the mean difference over pairs of runs, with its standard error.
type Difference struct {
	Mean  float64 `json:"mean"`
	Error float64 `json:"standard_error"`
}

// Outcome holds the differences that disabling one mechanism makes.
type Outcome struct {
	Disabled Mechanism  `json:"off"`
	Pairs    int        `json:"pairs"`
	InTime   Difference `json:"in_time"`
	Served   Difference `json:"served"`
	Reread   Difference `json:"read_again"`
	Fetched  Difference `json:"moved"`
	Attempts Difference `json:"attempts"`
}

// Report is the result of an experiment.
type Report struct {
	Faults   []Fault   `json:"faults"`
	Seed     uint64    `json:"seed"`
	Seeds    int       `json:"seeds"`
	Baseline Metrics   `json:"baseline"`
	Outcomes []Outcome `json:"outcomes"`
}

// Run runs the simulation for each seed with all mechanisms enabled, and again with each of the given mechanisms
// disabled.
func Run(disabled []Mechanism, faults []Fault, seed uint64, seeds int) Report {
	base := runSeeds("", faults, seed, seeds)
	report := Report{Faults: faults, Seed: seed, Seeds: seeds, Baseline: meanOf(base)}
	for _, m := range disabled {
		report.Outcomes = append(report.Outcomes, compare(m, base, runSeeds(m, faults, seed, seeds)))
	}
	return report
}

func runSeeds(disabled Mechanism, faults []Fault, seed uint64, seeds int) []Metrics {
	list := make([]Metrics, seeds)
	for i := range list {
		list[i] = newSimulation(disabled, faults, seed+uint64(i)).run()
	}
	return list
}

func compare(disabled Mechanism, base, changed []Metrics) Outcome {
	difference := func(of func(f Metrics) float64) Difference {
		values := make([]float64, len(base))
		for i := range base {
			values[i] = of(changed[i]) - of(base[i])
		}
		return differenceOf(values)
	}
	return Outcome{
		Disabled: disabled, Pairs: len(base),
		InTime:   difference(func(f Metrics) float64 { return f.InTime }),
		Served:   difference(func(f Metrics) float64 { return f.Served }),
		Reread:   difference(func(f Metrics) float64 { return f.Reread }),
		Fetched:  difference(func(f Metrics) float64 { return f.Fetched }),
		Attempts: difference(func(f Metrics) float64 { return f.Attempts }),
	}
}

// differenceOf returns the mean of the values and its standard error.
func differenceOf(values []float64) Difference {
	mean, sum := meanFloat(values), 0.0
	for _, value := range values {
		sum += (value - mean) * (value - mean)
	}
	n := float64(len(values))
	if n < 2 {
		return Difference{Mean: mean}
	}
	return Difference{Mean: mean, Error: math.Sqrt(sum / (n - 1) / n)}
}

func meanFloat(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(max(1, len(values)))
}

func meanOf(list []Metrics) Metrics {
	n := float64(max(1, len(list)))
	sum := Metrics{}
	for _, f := range list {
		sum.InTime += f.InTime / n
		sum.Served += f.Served / n
		sum.Reread += f.Reread / n
		sum.Fetched += f.Fetched / n
		sum.Attempts += f.Attempts / n
	}
	return sum
}
