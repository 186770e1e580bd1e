package load

import (
	"net/http"

	"dooryard.example/dooryard/internal/localfleet"
)

// Target is a running fleet that the load tool did not start.
type Target struct {
	// Boxes are the callers' URLs.
	Boxes []string
	// Key is the bearer key that every request carries.
	Key string
	// Model and Service are what requests ask for.
	Model, Service string
}

// Given reports whether a fleet is given.
func (t Target) Given() bool { return len(t.Boxes) > 0 }

// destination is where a run's requests go.
type destination struct {
	urls           []string
	key            func(organisation string) string
	model, service string
	client         *http.Client
	// fleet is nil when the run did not start one.
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

// engines are the stand-ins of a fleet of the run's own.
func (a destination) engines() []*localfleet.EngineProcess {
	if a.fleet == nil {
		return nil
	}
	return a.fleet.Engines()
}
