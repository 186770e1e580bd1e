package routebench

import "dooryard.example/dooryard/internal/clock"

// Scenarios returns the scenarios of the simulation with the given seed.
func Scenarios(seed uint64) []Scenario {
	base := Scenario{
		Seed: seed, Boxes: 9, Engines: 40, Mean: 8, SessionsPerEngine: 120, CacheSessions: 100,
		ReportLagMs: clock.Second, LengthMs: 400 * clock.Second, ChurnMs: 10 * clock.Second, ViewLagMs: 5 * clock.Second,
	}
	surge := base.with("surge, 9 boxes, 40 engines", func(s *Scenario) { s.SurgeFactor = 2 })
	return []Scenario{
		base.with("churn, 9 boxes, 40 engines", func(*Scenario) {}),
		surge,
		surge.with("surge, reports 3 s old", func(s *Scenario) { s.ReportLagMs = 3 * clock.Second }),
		surge.with("surge, 3 boxes, 40 engines", func(s *Scenario) { s.Boxes = 3 }),
		surge.with("surge, mean of 24", func(s *Scenario) { s.Mean = 24 }),
		surge.with("surge, a quarter of the caches halved", func(s *Scenario) { s.SmallCaches = 10 }),
		surge.with("surge, one box with half the traffic", func(s *Scenario) { s.FirstBoxFactor = 4.5 }),
		surge.with("surge, 90 boxes, 360 engines", large),
		surge.with("surge, 90 boxes, 360 engines, mean of 40", func(s *Scenario) {
			large(s)
			s.Mean = 40
		}),
	}
}

// large sets the target size of a failure domain.
func large(s *Scenario) {
	s.Boxes, s.Engines = 90, 360
	s.LengthMs = 100 * clock.Second
	s.ChurnMs = 2 * clock.Second
}

func (s Scenario) with(name string, change func(*Scenario)) Scenario {
	s.Name = name
	change(&s)
	return s
}
