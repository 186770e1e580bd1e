package streams

import (
	"slices"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/registry"
)

// Versions keeps which software versions the upstreams of each pool run, and ran within WindowMs. It is safe for
// concurrent use.
type Versions struct {
	monotonic func() clock.Millis

	mu    sync.Mutex
	pools map[string]poolVersions
	// byUpstream holds the version of each upstream, by ID.
	byUpstream map[string]string
}

// poolVersions are the software versions of a pool.
type poolVersions struct {
	states map[string]*versionState
	// sinceMs is when an upstream of the pool was first listed, or first listed again after none had been for WindowMs:
	// upstreams whose entries have lapsed go on with their streams. Restart sets it too.
	sinceMs clock.Millis
}

// versionState is the state of one software version in a pool.
type versionState struct {
	// present is set while an upstream runs the version.
	present bool
	// lastMs is when an upstream last ran the version.
	lastMs clock.Millis
}

// NewVersions returns an empty history.
func NewVersions(monotonic func() clock.Millis) *Versions {
	return &Versions{monotonic: monotonic, pools: map[string]poolVersions{}}
}

// Changes are the changes that a list of upstreams brings.
type Changes struct {
	// Mixed are the pools that run a version which was not in the history, besides another one.
	Mixed []string
	// Replaced are the IDs of upstreams that run another version than before.
	Replaced []string
}

// Observe records the current list of upstreams.
func (v *Versions) Observe(list []registry.Upstream) Changes {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.monotonic()
	v.expireLocked(now)
	for _, pool := range v.pools {
		for _, state := range pool.states {
			state.present = false
		}
	}
	changes, before := Changes{}, v.byUpstream
	v.byUpstream = make(map[string]string, len(list))
	for _, u := range list {
		if v.observeLocked(u, now) && !slices.Contains(changes.Mixed, u.Pool) {
			changes.Mixed = append(changes.Mixed, u.Pool)
		}
		v.pools[u.Pool].states[u.SoftwareVersion].present = true
		v.byUpstream[u.ID] = u.SoftwareVersion
		if version, known := before[u.ID]; known && version != u.SoftwareVersion {
			changes.Replaced = append(changes.Replaced, u.ID)
		}
	}
	return changes
}

// ObserveChanges records the versions that changes name, also those that later changes among them have ended. It
// returns the pools that run a version which was not in the history, besides another one.
func (v *Versions) ObserveChanges(changes []registry.Change) (mixed []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.monotonic()
	v.expireLocked(now)
	for _, c := range changes {
		if !c.Removed && v.observeLocked(c.Upstream, now) && !slices.Contains(mixed, c.Upstream.Pool) {
			mixed = append(mixed, c.Upstream.Pool)
		}
	}
	return mixed
}

// Restart lets the history of each pool begin anew, because versions may have come and gone unseen. The versions that
// it holds stay in it.
func (v *Versions) Restart() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.monotonic()
	for name, pool := range v.pools {
		pool.sinceMs = now
		v.pools[name] = pool
	}
}

// observeLocked records the version of an upstream and reports whether it is new in a pool that runs another one.
func (v *Versions) observeLocked(u registry.Upstream, now clock.Millis) bool {
	pool, known := v.pools[u.Pool]
	if !known {
		pool = poolVersions{states: map[string]*versionState{}, sinceMs: now}
		v.pools[u.Pool] = pool
	}
	state := pool.states[u.SoftwareVersion]
	isNew := state == nil
	if isNew {
		state = &versionState{}
		pool.states[u.SoftwareVersion] = state
	}
	state.lastMs = now
	return isNew && len(pool.states) > 1
}

// expireLocked removes versions that no upstream has run for WindowMs.
func (v *Versions) expireLocked(now clock.Millis) {
	for name, pool := range v.pools {
		for version, state := range pool.states {
			switch {
			case state.present:
				state.lastMs = now
			case now-state.lastMs >= WindowMs:
				delete(pool.states, version)
			}
		}
		if len(pool.states) == 0 {
			delete(v.pools, name)
		}
	}
}

// PoolName returns the name of the pool with a key.
func (v *Versions) PoolName(key namekey.Key) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for pool := range v.pools {
		if namekey.Of(pool) == key {
			return pool, true
		}
	}
	return "", false
}

// Find returns the origin with a key, among the pools and the versions that they run or ran within WindowMs.
func (v *Versions) Find(key OriginKey, pools []string) (Origin, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, pool := range pools {
		for version := range v.pools[pool].states {
			if o := (Origin{Pool: pool, Version: version}); o.Key() == key {
				return o, true
			}
		}
	}
	return Origin{}, false
}

// Sole returns the only version that a pool has run within WindowMs, and whether the history goes back that far.
// If there are several versions or none, found is false.
func (v *Versions) Sole(pool string) (sole Origin, complete, found bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.monotonic()
	v.expireLocked(now)
	known := v.pools[pool]
	if len(known.states) != 1 {
		return Origin{}, false, false
	}
	for version := range known.states {
		sole = Origin{Pool: pool, Version: version}
	}
	return sole, now-known.sinceMs >= WindowMs, true
}
