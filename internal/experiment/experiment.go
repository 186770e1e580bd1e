// Package experiment plays days of a small fleet on the gateway's own decisions: boxes with
// their balance.Manager, engines with caches, and faults, in simulated time and seeded. It
// switches mechanisms off one at a time and compares in pairs, so that what each is worth can
// be measured anywhere. Nothing is sent; the same seed gives the same figures on every machine.
package experiment

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

// ErrUnknown means that a mechanism or a fault has no such name.
var ErrUnknown = errors.New("unknown name")

// Mechanism is a part of the decisions that can be switched off.
type Mechanism string

// Mechanisms.
const (
	// Sticky returns sessions to their engine.
	Sticky Mechanism = "sticky"
	// Fetch takes cached parts from an engine that keeps them.
	Fetch Mechanism = "fetch"
	// SharedCaches tells other boxes what engines keep.
	SharedCaches Mechanism = "shared-caches"
	// OthersLoads tells other boxes what each has in flight.
	OthersLoads Mechanism = "others-loads"
	// Ejection leaves out engines that can't be reached.
	Ejection Mechanism = "ejection"
	// Paths watches the paths to failure domains.
	Paths Mechanism = "paths"
	// Retry sends a request that failed to another engine.
	Retry Mechanism = "retry"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{Sticky, Fetch, SharedCaches, OthersLoads, Ejection, Paths, Retry}
}

// Fault is a kind of trouble that a day may have.
type Fault string

// Faults.
const (
	// Crash takes a third of the engines away for good, and others come in their place.
	Crash Fault = "crash"
	// Cut cuts a failure domain off from the others.
	Cut Fault = "cut"
	// Errors has engines fail a part of what they run.
	Errors Fault = "errors"
)

// Faults returns all faults.
func Faults() []Fault { return []Fault{Crash, Cut, Errors} }

// ParseFaults reads the names of faults, parted by commas.
func ParseFaults(names string) ([]Fault, error) { return parse(names, Faults()) }

// ParseMechanisms reads the names of mechanisms, parted by commas.
func ParseMechanisms(names string) ([]Mechanism, error) { return parse(names, Mechanisms()) }

func parse[T ~string](names string, known []T) ([]T, error) {
	found := []T{}
	for name := range strings.SplitSeq(names, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		at := -1
		for i, one := range known {
			if string(one) == name {
				at = i
			}
		}
		if at < 0 {
			return nil, fmt.Errorf("%w: %q is none of %v", ErrUnknown, name, known)
		}
		found = append(found, known[at])
	}
	return found, nil
}

// Figures are what a day comes to, as parts of its requests or of its shared tokens.
type Figures struct {
	// InTime is the part of requests that were answered within the objective.
	InTime float64 `json:"in_time"`
	// Served is the part that was answered at all.
	Served float64 `json:"served"`
	// ReadAgain is the part of shared tokens that an engine read although another one had.
	ReadAgain float64 `json:"read_again"`
	// Moved is the part that was fetched from another engine.
	Moved float64 `json:"moved"`
	// Attempts is how many engines a request was sent to.
	Attempts float64 `json:"attempts"`
}

// Difference is a mean with its standard error over pairs.
type Difference struct {
	Mean  float64 `json:"mean"`
	Error float64 `json:"standard_error"`
}

// Outcome is what switching one mechanism off changes.
type Outcome struct {
	Off       Mechanism  `json:"off"`
	Pairs     int        `json:"pairs"`
	InTime    Difference `json:"in_time"`
	Served    Difference `json:"served"`
	ReadAgain Difference `json:"read_again"`
	Moved     Difference `json:"moved"`
	Attempts  Difference `json:"attempts"`
}

// Report is a whole experiment.
type Report struct {
	Faults   []Fault   `json:"faults"`
	Seed     uint64    `json:"seed"`
	Seeds    int       `json:"seeds"`
	Baseline Figures   `json:"baseline"`
	Outcomes []Outcome `json:"outcomes"`
}

// Run plays the same days with all mechanisms and with each of some switched off.
func Run(off []Mechanism, faults []Fault, seed uint64, seeds int) Report {
	base := days("", faults, seed, seeds)
	report := Report{Faults: faults, Seed: seed, Seeds: seeds, Baseline: meanOf(base)}
	for _, m := range off {
		report.Outcomes = append(report.Outcomes, compare(m, base, days(m, faults, seed, seeds)))
	}
	return report
}

func days(off Mechanism, faults []Fault, seed uint64, seeds int) []Figures {
	list := make([]Figures, seeds)
	for i := range list {
		list[i] = newDay(off, faults, seed+uint64(i)).play()
	}
	return list
}

func compare(off Mechanism, base, changed []Figures) Outcome {
	difference := func(of func(f Figures) float64) Difference {
		values := make([]float64, len(base))
		for i := range base {
			values[i] = of(changed[i]) - of(base[i])
		}
		return differenceOf(values)
	}
	return Outcome{
		Off: off, Pairs: len(base),
		InTime:    difference(func(f Figures) float64 { return f.InTime }),
		Served:    difference(func(f Figures) float64 { return f.Served }),
		ReadAgain: difference(func(f Figures) float64 { return f.ReadAgain }),
		Moved:     difference(func(f Figures) float64 { return f.Moved }),
		Attempts:  difference(func(f Figures) float64 { return f.Attempts }),
	}
}

// differenceOf returns the mean of some values and its standard error.
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

func meanOf(list []Figures) Figures {
	n := float64(max(1, len(list)))
	sum := Figures{}
	for _, f := range list {
		sum.InTime += f.InTime / n
		sum.Served += f.Served / n
		sum.ReadAgain += f.ReadAgain / n
		sum.Moved += f.Moved / n
		sum.Attempts += f.Attempts / n
	}
	return sum
}
