package main

import (
	"fmt"
	"sync"
	"time"
)

// service is a service of the platform, with a server in each zone.
type service struct {
	*fleet
	name string
	// streams is set for a service of model servers.
	streams bool
	// pieces are the parts of an answer, with a pause of gap after each.
	pieces  int
	gap     time.Duration
	servers []*supervised
	// newIDs is set if each start of a server has a new id, and warmUp is for how long the next process of a server that
	// has crashed accepts connections before it responds.
	newIDs bool
	warmUp time.Duration
}

// supervised is a server behind a link. Its process is started again after a crash.
type supervised struct {
	name, zone string
	target     string
	link       *link

	mu      sync.Mutex
	process *process
	id      string
	bornMs  int64
	// warmUntil is until when the process is slow after its start.
	warmUntil time.Time
	beats     int
	// silent is set while the server can't reach the store.
	silent bool
}

const beatInterval = 1200 * time.Millisecond

// startServers starts some servers, in the zones in turn.
func (s *service) startServers(count int, lateBy time.Duration) {
	for i := range count {
		l, target := s.network.listen(), s.network.listen()
		name := fmt.Sprintf("i-%s-%d", s.name, i)
		v := &supervised{name: name, id: name, zone: s.zones[i%len(s.zones)], target: target.Addr().String()}
		_ = target.Close()
		v.link = newLink(s.fleet, l, v.target, lateBy)
		s.startProcess(v, 0)
		s.beat(v)
		s.servers = append(s.servers, v)
	}
	go func() {
		for range time.Tick(beatInterval) {
			for _, v := range s.servers {
				s.beat(v)
			}
		}
	}()
}

func (s *service) startProcess(v *supervised, warmUp time.Duration) {
	listening := make(chan struct{})
	v.mu.Lock()
	v.bornMs, v.beats, v.warmUntil = time.Now().UnixMilli(), 0, time.Now().Add(warmUp)
	v.mu.Unlock()
	told := int64(0)
	if s.streams {
		told = v.bornMs
	}
	v.process = start("server "+v.id, func(line string) {
		if line == "listening" {
			close(listening)
		}
		s.line("server %s: %s", v.id, line)
	}, nil, selfPath(), "server", v.target, v.id, fmt.Sprint(told), fmt.Sprint(s.pieces),
		fmt.Sprint(s.gap.Milliseconds()), fmt.Sprint(warmUp.Milliseconds()))
	<-listening
}

// beat writes the server's entry, unless it can't reach the store.
func (s *service) beat(v *supervised) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.silent {
		return
	}
	v.beats++
	s.store.putJSON(topicServers, v.id, map[string]any{
		"service": s.name, "address": v.link.address, "zone": v.zone, "version": "1", "slots": 64, "state": "ready",
		"coldLeftMs": max(0, time.Until(v.warmUntil).Milliseconds()), "sequence": v.beats, "born": v.bornMs,
	})
}

func (v *supervised) setSilent(silent bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.silent = silent
}

// Times of a cut.
const (
	crashAfter   = 200 * time.Millisecond
	restartAfter = 400 * time.Millisecond
	cutRest      = 1000 * time.Millisecond
)

// crashBehindCut cuts a server off from a box and from the store. Behind the cut its process is killed and started
// again.
func (s *service) crashBehindCut(v *supervised, box int) {
	s.line("cut of server %s from box %d begins", v.id, box)
	v.setSilent(true)
	v.link.cut(box)
	time.Sleep(crashAfter)
	s.line("process of server %s is killed", v.id)
	v.process.kill()
	time.Sleep(restartAfter)
	if s.newIDs {
		go s.expire(v.id)
		v.mu.Lock()
		v.id = fmt.Sprintf("%s-%d", v.name, time.Now().UnixMilli())
		v.mu.Unlock()
	}
	s.startProcess(v, s.warmUp)
	time.Sleep(cutRest)
	s.line("cut of server %s ends", v.id)
	v.link.heal()
	v.setSilent(false)
}

// expire removes the entry of a server that has crashed, after three heartbeats without a write.
func (s *service) expire(id string) {
	time.Sleep(3 * beatInterval)
	s.store.put(topicServers, id, nil)
}

// putConfig writes the configuration with one route to the service.
func (s *service) putConfig(kind string) {
	entry := map[string]any{"name": s.name, "healthPath": "/health", "maxConns": 360}
	if s.streams {
		entry["engine"] = map[string]any{"slots": 64, "kvCapacity": 232000}
	}
	s.store.putJSON(topicOperators, "config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "route", "host": host, "pathPrefix": path, "kind": kind, "timeoutMs": clientTimeout.Milliseconds(),
			"targetLatencyMs": 800, "targetGapMs": 300, "priority": 1, "service": s.name, "attempts": 1, "public": false,
			"sticky": s.streams, "resumable": false,
		}},
		"services": []map[string]any{entry},
		"tenants":  []map[string]any{{"name": tenant, "apiKeys": []string{apiKey}}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000,
		},
	})
}
