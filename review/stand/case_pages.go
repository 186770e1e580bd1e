package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// poolSize is the number of servers, and pageItems that of the items of a page of the store (at most 500 by the
	// protocol; 50 in the site files).
	poolSize  = 60
	pageItems = 50
	// retransmitted is the delay of a call whose packet is lost and sent again.
	retransmitted = 250 * time.Millisecond
	// servesOn is how long a server serves after it was acknowledged as draining. drainMs, contactMs are the bounds of
	// the site.
	servesOn  = 9 * time.Second
	drainMs   = 2000 * time.Millisecond
	contactMs = 3000 * time.Millisecond
)

// pages: a box starts while two servers leave, and one packet of its link to the store is lost.
func pages(e *env) error {
	st := newStore(pageItems)
	var mu sync.Mutex
	listing := make(chan struct{}, 1)
	armed := false
	var lossEnd time.Time
	storeAddr, err := st.listen()
	if err != nil {
		return err
	}
	// The link of the box that starts again to the store. A packet with a call for the second page of servers is lost.
	linkAddr, err := link(storeAddr, func(data []byte) {
		if !bytes.Contains(data, []byte("log-newest")) || !bytes.Contains(data, []byte(topicServers)) ||
			!bytes.Contains(data, []byte("afterRev=")) {
			return
		}
		mu.Lock()
		isArmed := armed
		armed = false
		mu.Unlock()
		if !isArmed {
			return
		}
		e.logf("front-0 asks for the second page of the servers")
		listing <- struct{}{}
		if e.trouble {
			time.Sleep(retransmitted)
			mu.Lock()
			lossEnd = time.Now()
			mu.Unlock()
			e.logf("the packet with this call was lost; it arrives now, sent again")
		}
	})
	if err != nil {
		return err
	}
	type arrival struct {
		server, request, box string
		at                   time.Time
	}
	arrivals := []arrival{}
	onRun := func(s *server, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, arrival{s.id, r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Box"), time.Now()})
	}
	servers := []*server{}
	for i := range poolSize {
		s, err := startServer(fmt.Sprintf("i-%02d", i), "intake", onRun)
		if err != nil {
			return err
		}
		st.putJSON(topicServers, s.id, entry("intake", s.address, "a", "ready", 6, 1))
		servers = append(servers, s)
	}
	routes := []route{{name: "attach", prefix: "/attach/", kind: "unsafe", service: "intake", attempts: 1, timeoutMs: 1500}}
	st.putJSON(topicOperators, "config", config(1, routes, []string{key(1)}))
	f := newFleet(e)
	restarting, err := f.startBox(0, "a", linkAddr, true)
	if err != nil {
		return err
	}
	other, err := f.startBox(1, "b", storeAddr, true)
	if err != nil {
		return err
	}
	for _, b := range []*box{restarting, other} {
		if err := b.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)

	// The box is restarted, as planned work.
	restarting.signal(syscall.SIGTERM)
	e.logf("front-0 gets SIGTERM")
	select {
	case <-restarting.done:
	case <-time.After(9 * time.Second):
		return fmt.Errorf("%w: front-0 did not end", errCannotRun)
	}
	if err := restarting.endFirstStart(); err != nil {
		return err
	}
	mu.Lock()
	armed = true
	mu.Unlock()
	if err := f.restart(restarting); err != nil {
		return err
	}
	select {
	case <-listing:
	case <-time.After(5 * time.Second):
		return fmt.Errorf("%w: front-0 did not list the servers", errCannotRun)
	}
	// Two servers leave: one of the first page, then one of the second page.
	time.Sleep(50 * time.Millisecond)
	left := map[string]time.Time{}
	for _, s := range []*server{servers[10], servers[55]} {
		left[s.id] = st.putJSON(topicServers, s.id, entry("intake", s.address, "a", "draining", 6, 2))
		e.logf("the store has acknowledged that %s is draining", s.id)
		time.Sleep(20 * time.Millisecond)
	}
	if err := restarting.awaitReady(5 * time.Second); err != nil {
		return err
	}
	mu.Lock()
	soundFrom := lossEnd
	mu.Unlock()
	if soundFrom.IsZero() {
		soundFrom = time.Now()
	}
	// From then on the box is in touch: its link has been sound for contactMs, and it has run for as long.
	time.Sleep(time.Until(soundFrom.Add(contactMs + 300*time.Millisecond)))
	sent, failed := 0, 0
	for end := left["i-10"].Add(servesOn - 500*time.Millisecond); time.Now().Before(end); {
		var clients sync.WaitGroup
		results := make(chan answer, 40)
		for i := range 20 {
			for _, b := range []*box{restarting, other} {
				clients.Go(func() {
					results <- send(b, call{
						id: fmt.Sprintf("r-%s-%d-%d", b.name, sent, i), method: "POST", path: "/attach/file", host: host, key: key(1),
						body: "report", deadlineMs: 1500, headers: map[string]string{"X-Box": b.name},
					})
				})
			}
		}
		clients.Wait()
		close(results)
		for a := range results {
			if a.status != http.StatusOK {
				failed++
				e.logf("client: %s: %v", a.id, a)
			}
		}
		sent++
		time.Sleep(50 * time.Millisecond)
	}
	e.logf("%d rounds of 40 requests, %d without success", sent, failed)
	mu.Lock()
	defer mu.Unlock()
	if len(arrivals) == 0 {
		return errors.Join(errCannotRun, errors.New("no request arrived"))
	}
	late := map[string]int{}
	for _, a := range arrivals {
		at, leaving := left[a.server]
		if !leaving || a.at.Before(at.Add(drainMs)) {
			continue
		}
		late[a.box+" "+a.server]++
		if late[a.box+" "+a.server] == 1 {
			e.breaks("DRAIN: %s of %s reached %s %.1f s after the store had acknowledged that it is draining",
				a.request, a.box, a.server, a.at.Sub(at).Seconds())
		}
	}
	for who, n := range late {
		e.logf("%s: %d requests later than drainMs", who, n)
	}
	return nil
}
