package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// revokeMs is the bound of the site.
const revokeMs = 5000 * time.Millisecond

// zoneLink relays the connections of the boxes of a zone to the store, unless the zone is cut off.
type zoneLink struct {
	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]struct{}
}

// setCut cuts the zone off, or ends that. A cut resets the open connections and each new one.
func (z *zoneLink) setCut(cut bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.isCut = cut
	if cut {
		for conn := range z.conns {
			reset(conn)
		}
		z.conns = map[net.Conn]struct{}{}
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (z *zoneLink) listen(to string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			z.mu.Lock()
			cut := z.isCut
			if !cut {
				z.conns[conn] = struct{}{}
			}
			z.mu.Unlock()
			if cut {
				reset(conn)
				continue
			}
			go relay(conn, to, func([]byte) {})
		}
	}()
	return l.Addr().String(), nil
}

// unconfirmed: a zone is cut off from the store, and one of its boxes is killed and starts again meanwhile.
func unconfirmed(e *env) error {
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
	runs := map[string]time.Time{}
	onRun := func(s *server, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		runs[r.Header.Get("X-Attempt-Id")] = time.Now()
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
	for i := range 2 {
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
	time.Sleep(4 * time.Second)
	use := func(b *box, id string, revoked int) answer {
		return send(b, call{
			id: id, method: "POST", path: "/attach/file", host: host, key: key(revoked), body: "report", deadlineMs: 3000,
		})
	}
	for i, b := range boxes {
		if a := use(b, fmt.Sprintf("before-%d", i), 2); a.status != http.StatusOK {
			return fmt.Errorf("%w: %v", errCannotRun, a)
		}
	}
	cutAt := time.Now()
	if e.trouble {
		zone.setCut(true)
		e.logf("the zone of both boxes is cut off from the store")
	}
	time.Sleep(100 * time.Millisecond)
	revoked := st.putJSON(topicOperators, "config", config(2, routes, []string{key(1)}))
	e.logf("the store has acknowledged version 2, which takes %s away", key(2))
	if e.trouble {
		time.Sleep(time.Until(cutAt.Add(3300 * time.Millisecond)))
		boxes[0].signal(syscall.SIGKILL)
		<-boxes[0].done
		if err := boxes[0].endFirstStart(); err != nil {
			return err
		}
		time.Sleep(300 * time.Millisecond)
		if err := f.restart(boxes[0]); err != nil {
			return err
		}
	}
	// Requests with the key that are sent later than revokeMs after the acknowledgement, until the cut ends after 5.8 s.
	time.Sleep(time.Until(revoked.Add(revokeMs + 50*time.Millisecond)))
	type sent struct {
		id, box string
		at      time.Time
		answer  answer
	}
	list := []sent{}
	for n := 0; time.Now().Before(cutAt.Add(5750 * time.Millisecond)); n++ {
		for i, b := range boxes {
			s := sent{id: fmt.Sprintf("r-%d-%d", i, n), box: b.name, at: time.Now()}
			s.answer = use(b, s.id, 2)
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
		if _, ran := runs[s.id]; !ran {
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
