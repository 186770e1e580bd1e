package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// escaped: a configuration adds a route below the path of another one, and requests have an escaped slash in their path.
func escaped(e *env) error {
	st := newStore(500)
	storeAddr, err := st.listen()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	type run struct{ service, uri, key, tenant string }
	runs := map[string][]run{}
	onRun := func(s *server, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("X-Attempt-Id")
		runs[id] = append(runs[id], run{service: s.service, uri: r.RequestURI, tenant: r.Header.Get("X-Tenant")})
		e.logf("server %s of %s runs %s: %s, tenant %q", s.id, s.service, id, r.RequestURI, r.Header.Get("X-Tenant"))
	}
	for i, service := range []string{"intake", "intake", "notices", "notices"} {
		s, err := startServer(fmt.Sprintf("i-%d", i), service, onRun)
		if err != nil {
			return err
		}
		st.putJSON(topicServers, s.id, entry(service, s.address, "a", "ready", 6, 1))
	}
	intake := route{name: "files", prefix: "/files/", kind: "unsafe", service: "intake", attempts: 1, timeoutMs: 1500}
	notices := route{name: "notices", prefix: "/notices/", kind: "safe", service: "notices", attempts: 2, timeoutMs: 1500}
	added := route{name: "added", prefix: "/files/notices/", kind: "safe", service: "notices", attempts: 2, timeoutMs: 1500, public: true}
	st.putJSON(topicOperators, "config", config(1, []route{intake, notices}, []string{key(1)}))
	f := newFleet(e)
	b, err := f.startBox(0, "a", storeAddr, true)
	if err != nil {
		return err
	}
	if err := b.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	if e.trouble {
		st.putJSON(topicOperators, "config", config(2, []route{intake, notices, added}, []string{key(1)}))
		e.logf("version 2 adds the route /files/notices/ to the service notices")
	}
	time.Sleep(3 * time.Second)
	for i, path := range []string{"/files/plain", "/files/notices%2Fcounty-7", "/files/notices%2Fcounty-8?draft=1"} {
		id := fmt.Sprintf("r-%d", i)
		a := send(b, call{id: id, method: "POST", path: path, host: host, key: key(1), body: "report", deadlineMs: 1500})
		e.logf("client: %s POST %s: %v", id, path, a)
		if a.status != http.StatusOK {
			return fmt.Errorf("%w: %s got no success", errCannotRun, id)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for id, list := range runs {
		for _, r := range list {
			if r.service != "intake" {
				e.breaks("ROUTE: %s with the path %s begins with the prefix /files/ only, whose service is intake; %s ran it",
					id, r.uri, r.service)
			}
		}
	}
	return nil
}
