package main

import "time"

// lateBy is how long after the end of a cut the last of what was under way arrives. The kernel sends again what was
// lost in the cut when the timer of the connection is over. The timers begin at different times and double each time.
const lateBy = 300 * time.Millisecond

// newService returns a plain service or one of model servers, in a fleet of four boxes in three zones.
func newService(folder string, streams bool) *service {
	f := newFleet(folder, "hall-a", "hall-b", "hall-c", "hall-a")
	s := &service{fleet: f, name: "desk-app", pieces: 8, gap: 80 * time.Millisecond}
	if streams {
		s.name, s.streams, s.pieces, s.gap = "desk-llm", true, 20, 60*time.Millisecond
	}
	return s
}

// restartedServer is the case of servers that are cut off from the store and a box for less than two seconds. Behind
// the cut their processes crash and are started again. Answers that were under way are cut short by the crash, and must
// not look complete.
func (s *service) restartedServer(trouble bool, lateBy time.Duration) {
	s.startServers(5, lateBy)
	kind, perSecond := "unsafe", 40
	if s.streams {
		kind, perSecond = "streaming", 80
	}
	s.putConfig(kind)
	s.startAll()
	time.Sleep(4 * time.Second)
	c := &callers{service: s}
	stop := c.run(perSecond)
	for i := range 4 {
		time.Sleep(3 * time.Second)
		if trouble {
			s.crashBehindCut(s.servers[i], i)
		}
	}
	time.Sleep(4 * time.Second)
	stop()
	s.end(c.broken, c.summary())
}
