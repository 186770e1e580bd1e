package main

import "fmt"

// Services and zone of the cases.
const (
	serviceIntake  = "intake"
	serviceNotices = "notices"
	zoneA          = "a"
	serverSlots    = 6
)

func key(i int) string { return fmt.Sprintf("key%d", i) }

// putEntry writes the entry of a server to the store.
func (s *store) putEntry(id, service, address, state string, sequence int) acknowledged {
	return s.putJSON(topicServers, id, map[string]any{
		"service": service, "address": address, "zone": zoneA, "version": "v1", "slots": serverSlots, "state": state,
		"coldLeftMs": 0, "sequence": sequence,
	})
}

type route struct {
	name, prefix, kind, service string
	attempts, timeoutMs         int
	public                      bool
}

var attach = route{
	name: "attach", prefix: "/attach/", kind: "unsafe", service: serviceIntake, attempts: 1, timeoutMs: 1500,
}

// putConfig writes a configuration with one tenant to the store.
func (s *store) putConfig(version int, routes []route, keys ...string) acknowledged {
	services, list := []map[string]any{}, []map[string]any{}
	seen := map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": host, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMs,
			"targetLatencyMs": 300, "targetGapMs": 300, "priority": 2, "service": r.service, "attempts": r.attempts,
			"public": r.public, "sticky": false, "resumable": false,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{
				"name": r.service, "healthPath": healthPath, "maxConns": 96, "protocol": "h1", "tls": false,
			})
		}
	}
	return s.putJSON(topicOperators, "config", map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
		"tenants": []map[string]any{{"name": "county", "apiKeys": keys, "priority": 1}},
	})
}
