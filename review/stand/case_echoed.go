package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// firstLife is how long the box runs before it is killed, and settled how long it runs again before the cut.
	firstLife = 24 * time.Second
	settled   = 7 * time.Second
	// freezes is how long the other box is frozen, cutFor how long the zone is cut off.
	freezes = 4 * time.Second
	cutFor  = 5800 * time.Millisecond
)

// echoed: a box is killed and starts again while another one is frozen. Later their zone is cut off from the store.
func echoed(e *env) error {
	st := newStore(500)
	storeAddr, err := st.listen()
	if err != nil {
		return err
	}
	zone := &zoneLink{conns: map[net.Conn]struct{}{}}
	linkAddr, err := zone.listen(storeAddr)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	runs := map[string]bool{}
	onRun := func(s *server, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		runs[r.Header.Get("X-Attempt-Id")] = true
	}
	for i := range 3 {
		s, err := startServer(fmt.Sprintf("i-%d", i), "intake", onRun)
		if err != nil {
			return err
		}
		st.putJSON(topicServers, s.id, entry("intake", s.address, "a", "ready", 6, 1))
	}
	routes := []route{{name: "attach", prefix: "/attach/", kind: "unsafe", service: "intake", attempts: 1, timeoutMs: 1500}}
	st.putJSON(topicOperators, "config", config(1, routes, []string{key(1), key(2)}))
	f := newFleet(e)
	boxes := []*box{}
	for i := range 3 {
		b, err := f.startBox(i, "a", linkAddr, true)
		if err != nil {
			return err
		}
		boxes = append(boxes, b)
	}
	for _, b := range boxes {
		if err := b.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(firstLife)
	killed, frozen := boxes[0], boxes[1]
	if e.trouble {
		frozen.signal(syscall.SIGSTOP)
		e.logf("%s is frozen (SIGSTOP)", frozen.name)
		thaw := time.Now().Add(freezes)
		time.Sleep(time.Second)
		killed.signal(syscall.SIGKILL)
		<-killed.done
		e.logf("%s is killed", killed.name)
		if err := killed.endFirstStart(); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
		if err := f.restart(killed); err != nil {
			return err
		}
		time.Sleep(time.Until(thaw))
		frozen.signal(syscall.SIGCONT)
		e.logf("%s wakes", frozen.name)
	}
	time.Sleep(settled)
	use := func(b *box, id string) answer {
		return send(b, call{
			id: id, method: "POST", path: "/attach/file", host: host, key: key(2), body: "report", deadlineMs: 3000,
		})
	}
	for i, b := range boxes {
		if a := use(b, fmt.Sprintf("before-%d", i)); a.status != http.StatusOK {
			return fmt.Errorf("%w: %v", errCannotRun, a)
		}
	}
	cutAt := time.Now()
	if e.trouble {
		zone.setCut(true)
		e.logf("the zone of the boxes is cut off from the store")
	}
	time.Sleep(100 * time.Millisecond)
	revoked := st.putJSON(topicOperators, "config", config(2, routes, []string{key(1)}))
	e.logf("the store has acknowledged version 2, which takes %s away", key(2))
	time.Sleep(time.Until(revoked.Add(revokeMs + 50*time.Millisecond)))
	type sent struct {
		id, box string
		at      time.Time
		answer  answer
	}
	list := []sent{}
	for n := 0; time.Now().Before(cutAt.Add(cutFor - 50*time.Millisecond)); n++ {
		for i, b := range boxes {
			s := sent{id: fmt.Sprintf("r-%d-%d", i, n), box: b.name, at: time.Now()}
			s.answer = use(b, s.id)
			list = append(list, s)
		}
		time.Sleep(20 * time.Millisecond)
	}
	zone.setCut(false)
	mu.Lock()
	defer mu.Unlock()
	counts := map[string]int{}
	for _, s := range list {
		counts[fmt.Sprintf("%s: status %d", s.box, s.answer.status)]++
		if !runs[s.id] {
			continue
		}
		counts[s.box+": ran"]++
		if counts[s.box+": ran"] == 1 {
			e.breaks("CONFIG: %s was sent to %s with the key %.2f s after it had been taken away, and ran",
				s.id, s.box, s.at.Sub(revoked).Seconds())
		}
	}
	for what, n := range counts {
		e.logf("%s: %d of %d requests", what, n, len(list))
	}
	return nil
}
