package gateway

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/pkg/config"
)

// Adapter holds everything that depends on the platform on which a gateway runs.
type Adapter struct {
	// EnvSettings is the name of the environment variable that holds the path of the settings file.
	EnvSettings string
	// ReadinessPath is the URL path of the readiness check for the front load balancer.
	ReadinessPath string
	// Dialect defines the HTTP headers of the platform.
	Dialect *opaque.Dialect
	// Features returns the features that the terms of the platform ask for. If it is nil, there are none.
	Features func(terms []string) Features
	// Source creates the source of routing state and upstreams.
	Source func(c clock.Clock, settings func() config.Gateway) Source
}

// Features are the features that a platform asks for.
type Features struct {
	// Admission has the owners of engines admit prompts by the work that is due there.
	Admission bool
}
