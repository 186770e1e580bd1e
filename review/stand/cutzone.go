package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// revokeBound is revokeMs of the site, and cutTime how long a zone is cut off there at most.
	revokeBound = 5 * time.Second
	cutTime     = 5800 * time.Millisecond
	// zoneBoxes is the number of boxes of the zone that is cut off, as in the largest zone of the site.
	zoneBoxes = 3
	margin    = 50 * time.Millisecond
)

// cutZone is a zone that can be cut off from the store, with its boxes. The boxes of other zones, which they could
// not reach then, are left out.
type cutZone struct {
	*env
	store *store
	fleet *fleet
	boxes []*box

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]struct{}
	runs  map[string]bool
}

func newCutZone(e *env) (*cutZone, error) {
	z := &cutZone{env: e, store: newStore(), conns: map[net.Conn]struct{}{}, runs: map[string]bool{}}
	storeAddress, err := z.store.listen(e.ctx)
	if err != nil {
		return nil, err
	}
	l, err := listenLoopback(e.ctx)
	if err != nil {
		return nil, err
	}
	go acceptAll(l, func(conn net.Conn) { z.handle(conn, storeAddress) })
	for i := range zoneBoxes {
		s, err := startServer(e.ctx, fmt.Sprintf("i-%d", i), serviceIntake, z.onRun)
		if err != nil {
			return nil, err
		}
		z.store.putEntry(s.id, serviceIntake, s.address, "ready", 1)
	}
	z.store.putConfig(1, []route{attach}, key(1), key(2))
	if z.fleet, err = newFleet(e); err != nil {
		return nil, err
	}
	z.boxes, err = z.fleet.startBoxes(l.Addr().String(), zoneA, zoneA, zoneA)
	return z, err
}

// handle relays a connection to the store, or resets it while the zone is cut off.
func (z *cutZone) handle(conn net.Conn, storeAddress string) {
	z.mu.Lock()
	isCut := z.isCut
	if !isCut {
		z.conns[conn] = struct{}{}
	}
	z.mu.Unlock()
	if isCut {
		reset(conn)
		return
	}
	relay(z.ctx, conn, storeAddress, func([]byte) {})
}

// setCut cuts the zone off, or ends that. A cut resets the open connections.
func (z *cutZone) setCut(isCut bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.isCut = isCut
	for conn := range z.conns {
		if isCut {
			reset(conn)
		}
	}
	clear(z.conns)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (z *cutZone) onRun(_ *server, r *http.Request) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.runs[r.Header.Get("X-Attempt-Id")] = true
}

func (z *cutZone) ran(request string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.runs[request]
}

// use sends a request with the key that is taken away later.
func (z *cutZone) use(b *box, id string) answer {
	return send(z.ctx, b, call{id: id, path: "/attach/file", key: key(2), deadline: longDeadline})
}

// useBefore checks that the key works at each box.
func (z *cutZone) useBefore() error {
	for _, b := range z.boxes {
		if a := z.use(b, "before-"+b.name); a.status != http.StatusOK {
			return fmt.Errorf("%w: %v", errCannotRun, a)
		}
	}
	return nil
}

// cutAndRevoke cuts the zone off if there is trouble, takes the key away, and calls during. From revokeMs after the
// acknowledgement to the end of the cut it sends requests with the key, none of which may run.
func (z *cutZone) cutAndRevoke(during func(cutAt time.Time) error) error {
	cutAt := time.Now()
	if z.trouble {
		z.setCut(true)
		z.logf("the zone of the boxes is cut off from the store")
	}
	time.Sleep(2 * margin)
	revoked := z.store.putConfig(2, []route{attach}, key(1))
	z.logf("the store has acknowledged version 2, which takes %s away", key(2))
	if err := during(cutAt); err != nil {
		return err
	}
	time.Sleep(time.Until(revoked.Add(revokeBound + margin)))
	counts, broken := map[string]int{}, map[string]bool{}
	for n := 0; time.Now().Before(cutAt.Add(cutTime - margin)); n++ {
		for _, b := range z.boxes {
			id, at := fmt.Sprintf("r-%s-%d", b.name, n), time.Now()
			a := z.use(b, id)
			counts[fmt.Sprintf("%s: status %d", b.name, a.status)]++
			if z.ran(id) && !broken[b.name] {
				broken[b.name] = true
				z.breaks("CONFIG: %s was sent to %s with the key %.2f s after it had been taken away, and ran",
					id, b.name, at.Sub(revoked).Seconds())
			}
		}
		time.Sleep(roundPause)
	}
	z.setCut(false)
	for what, n := range counts {
		z.logf("%s: %d requests", what, n)
	}
	return nil
}
