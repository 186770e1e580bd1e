package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// forceTime is longer than configMs, the time within which a configuration is in force.
const forceTime = 3 * time.Second

type serviceRun struct{ id, service, uri string }

// escaped: a configuration adds a route below the path of another one, and requests have an escaped slash in
// their path.
func escaped(e *env) error {
	st := newStore()
	storeAddress, err := st.listen(e.ctx)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	runs := []serviceRun{}
	onRun := func(s *server, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		run := serviceRun{id: r.Header.Get("X-Attempt-Id"), service: s.service, uri: r.RequestURI}
		runs = append(runs, run)
		e.logf("server %s of %s runs %s: %s, tenant %q", s.id, s.service, run.id, run.uri, r.Header.Get("X-Tenant"))
	}
	if err := startBothServices(e, st, onRun); err != nil {
		return err
	}
	first, second := escapedRoutes()
	st.putConfig(1, first, key(1))
	f, err := newFleet(e)
	if err != nil {
		return err
	}
	boxes, err := f.startBoxes(storeAddress, zoneA)
	if err != nil {
		return err
	}
	if e.trouble {
		st.putConfig(2, second, key(1))
		e.logf("version 2 adds the route /files/notices/ to the service notices")
	}
	time.Sleep(forceTime)
	if err := sendEscaped(e, boxes[0]); err != nil {
		return err
	}
	mu.Lock()
	defer mu.Unlock()
	for _, r := range runs {
		if r.service != serviceIntake {
			e.breaks("ROUTE: %s with the path %s begins with the prefix /files/ only, whose service is intake; %s ran it",
				r.id, r.uri, r.service)
		}
	}
	return nil
}

// escapedRoutes returns the routes of two versions. The second one adds a route below the path of another one.
func escapedRoutes() (first, second []route) {
	files, notices := attach, attach
	files.name, files.prefix = "files", "/files/"
	notices.name, notices.prefix, notices.kind, notices.service = "notices", "/notices/", "safe", serviceNotices
	added := notices
	added.name, added.prefix, added.public = "added", "/files/notices/", true
	return []route{files, notices}, []route{files, notices, added}
}

func startBothServices(e *env, st *store, onRun func(s *server, r *http.Request)) error {
	for i, service := range []string{serviceIntake, serviceIntake, serviceNotices, serviceNotices} {
		s, err := startServer(e.ctx, fmt.Sprintf("i-%d", i), service, onRun)
		if err != nil {
			return err
		}
		st.putEntry(s.id, service, s.address, "ready", 1)
	}
	return nil
}

func sendEscaped(e *env, b *box) error {
	for i, path := range []string{"/files/plain", "/files/notices%2Fcounty-7", "/files/notices%2Fcounty-8?draft=1"} {
		c := call{id: fmt.Sprintf("r-%d", i), path: path, key: key(1), deadline: longDeadline}
		a := send(e.ctx, b, c)
		e.logf("client: %s POST %s: %v", c.id, path, a)
		if a.status != http.StatusOK {
			return fmt.Errorf("%w: %s got no success", errCannotRun, c.id)
		}
	}
	return nil
}
