package load

import (
	"net/http"

	"dooryard.example/dooryard/internal/localfleet"
)

// Target describes a running fleet that the load generator didn't start.
type Target struct {
	// Boxes are the base URLs of the boxes for callers.
	Boxes []string
	// Key is the bearer key for all requests.
	Key string
	// Model and Service are the model and the plain service to call.
	Model, Service string
}

// IsSet reports whether the target names a fleet.
func (t Target) IsSet() bool { return len(t.Boxes) > 0 }

// destination is the fleet that a run sends its requests to.
type destination struct {
	urls           []string
	key            func(organisation string) string
	model, service string
	client         *http.Client
	// fleet is the fleet that the run started itself, or nil.
	fleet *localfleet.Fleet
}

const destinationConnections = 512

func destinationOf(t Target) destination {
	return destination{
		urls: t.Boxes, key: func(string) string { return t.Key }, model: t.Model, service: t.Service,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: destinationConnections}},
	}
}

func fleetDestination(fleet *localfleet.Fleet) destination {
	a := destination{
		key: localfleet.CallerKey, model: localfleet.Model, service: localfleet.ServiceName,
		client: fleet.Client(), fleet: fleet,
	}
	for _, b := range fleet.Boxes() {
		a.urls = append(a.urls, "http://"+b.Addresses().Callers)
	}
	return a
}

// engines returns the stand-in engines of the run's own fleet, if any.
func (a destination) engines() []*localfleet.EngineProcess {
	if a.fleet == nil {
		return nil
	}
	return a.fleet.Engines()
}
