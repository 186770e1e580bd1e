package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// poolSize is the number of servers, and pageItems that of the items of a page of the store (at most 500 by
	// the protocol; 50 in the site files).
	poolSize  = 60
	pageItems = 50
	// retransmission is the delay of a call whose packet is lost and sent again.
	retransmission = 250 * time.Millisecond
	// serveTime is how long a server serves on after it began to leave.
	serveTime = 9 * time.Second
	// drainBound and contactTime are drainMs and contactMs of the site, contactSlack is added to the latter.
	drainBound   = 2 * time.Second
	contactTime  = 3 * time.Second
	contactSlack = 300 * time.Millisecond
	stopTime     = 9 * time.Second
	perRound     = 20
)

type arrival struct {
	server, request, box string
	at                   time.Time
}

// pagesCase is the state of the case.
type pagesCase struct {
	*env
	store   *store
	fleet   *fleet
	servers []*server
	// listing receives a value when the second page of the servers is asked for while armed is set.
	listing chan struct{}

	mu       sync.Mutex
	armed    bool
	lossEnd  time.Time
	arrivals []arrival
	left     map[string]time.Time
}

// pages: a box starts while servers leave, and one packet of its link to the store is lost.
func pages(e *env) error {
	c := &pagesCase{
		env: e, store: newStore(), listing: make(chan struct{}, 1), left: map[string]time.Time{},
	}
	c.store.pageItems = pageItems
	boxes, err := c.start()
	if err != nil {
		return err
	}
	restarting := boxes[0]
	time.Sleep(2 * time.Second)
	if err := c.restartWhileListing(restarting); err != nil {
		return err
	}
	c.leave()
	if err := c.fleet.awaitReady(restarting); err != nil {
		return err
	}
	// From then on the box is in touch: its link has been sound for contactMs, and it has run for as long.
	c.mu.Lock()
	soundFrom := c.lossEnd
	c.mu.Unlock()
	if soundFrom.IsZero() {
		soundFrom = time.Now()
	}
	time.Sleep(time.Until(soundFrom.Add(contactTime + contactSlack)))
	c.sendRounds(boxes)
	return c.check()
}

// start starts the servers and two boxes. The link of the first box to the store may lose a packet.
func (c *pagesCase) start() ([]*box, error) {
	storeAddress, err := c.store.listen(c.ctx)
	if err != nil {
		return nil, err
	}
	linkAddress, err := link(c.ctx, storeAddress, c.onStoreCall)
	if err != nil {
		return nil, err
	}
	for i := range poolSize {
		s, err := startServer(c.ctx, fmt.Sprintf("i-%02d", i), serviceIntake, c.onRun)
		if err != nil {
			return nil, err
		}
		c.store.putEntry(s.id, serviceIntake, s.address, "ready", 1)
		c.servers = append(c.servers, s)
	}
	c.store.putConfig(1, []route{attach}, key(1))
	if c.fleet, err = newFleet(c.env); err != nil {
		return nil, err
	}
	return c.fleet.startBoxes(linkAddress, zoneA, "b")
}

func (c *pagesCase) onRun(s *server, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, arrival{
		server: s.id, request: r.Header.Get("X-Attempt-Id"), box: r.Header.Get("X-Box"), at: time.Now(),
	})
}

// onStoreCall delays the call for the second page of the servers once.
func (c *pagesCase) onStoreCall(data []byte) {
	if !bytes.Contains(data, []byte("log-newest")) || !bytes.Contains(data, []byte(topicServers)) ||
		!bytes.Contains(data, []byte("afterRev=")) {
		return
	}
	c.mu.Lock()
	armed := c.armed
	c.armed = false
	c.mu.Unlock()
	if !armed {
		return
	}
	c.logf("front-0 asks for the second page of the servers")
	c.listing <- struct{}{}
	if !c.trouble {
		return
	}
	time.Sleep(retransmission)
	c.mu.Lock()
	c.lossEnd = time.Now()
	c.mu.Unlock()
	c.logf("the packet with this call was lost; it arrives now, sent again")
}

// restartWhileListing stops and starts a box, as planned work, until it asks for the second page of the servers.
func (c *pagesCase) restartWhileListing(b *box) error {
	b.signal(syscall.SIGTERM)
	c.logf("%s gets SIGTERM", b.name)
	select {
	case <-b.done:
	case <-time.After(stopTime):
		return fmt.Errorf("%w: %s did not end", errCannotRun, b.name)
	}
	c.mu.Lock()
	c.armed = true
	c.mu.Unlock()
	if err := c.fleet.restart(b); err != nil {
		return err
	}
	select {
	case <-c.listing:
		return nil
	case <-time.After(startTimeout):
		return fmt.Errorf("%w: %s did not list the servers", errCannotRun, b.name)
	}
}

// leave makes three servers leave: two of the first page, of which one says draining and the entry of the other
// disappears, and then one of the second page.
func (c *pagesCase) leave() {
	time.Sleep(2 * roundPause)
	draining, silent, last := c.servers[10], c.servers[20], c.servers[55]
	c.left[draining.id] = c.store.putEntry(draining.id, serviceIntake, draining.address, "draining", 2)
	c.logf("the store has acknowledged that %s is draining", draining.id)
	time.Sleep(roundPause)
	c.left[silent.id] = c.store.put(topicServers, silent.id, nil)
	c.logf("the entry of %s has disappeared from the store", silent.id)
	time.Sleep(roundPause)
	c.left[last.id] = c.store.putEntry(last.id, serviceIntake, last.address, "draining", 2)
	c.logf("the store has acknowledged that %s is draining", last.id)
}

// sendRounds sends requests through the boxes as long as the servers that leave serve.
func (c *pagesCase) sendRounds(boxes []*box) {
	rounds, failed := 0, 0
	end := c.left[c.servers[10].id].Add(serveTime - answerGap)
	for ; time.Now().Before(end); time.Sleep(roundPause) {
		var clients sync.WaitGroup
		results := make(chan answer, perRound*len(boxes))
		for i := range perRound * len(boxes) {
			b := boxes[i%len(boxes)]
			request := call{
				id: fmt.Sprintf("r-%s-%d-%d", b.name, rounds, i), path: "/attach/file", key: key(1), label: b.name,
				deadline: longDeadline,
			}
			clients.Go(func() { results <- send(c.ctx, b, request) })
		}
		clients.Wait()
		close(results)
		for a := range results {
			if a.status != http.StatusOK {
				failed++
				c.logf("client: %s: %v", a.id, a)
			}
		}
		rounds++
	}
	c.logf("%d rounds of %d requests, %d without success", rounds, perRound*len(boxes), failed)
}

func (c *pagesCase) check() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.arrivals) == 0 {
		return fmt.Errorf("%w: no request arrived", errCannotRun)
	}
	late := map[string]int{}
	for _, a := range c.arrivals {
		at, leaving := c.left[a.server]
		if !leaving || a.at.Before(at.Add(drainBound)) {
			continue
		}
		who := a.box + " " + a.server
		late[who]++
		if late[who] == 1 {
			c.breaks("DRAIN: %s of %s reached %s %.1f s after the store had acknowledged that it leaves",
				a.request, a.box, a.server, a.at.Sub(at).Seconds())
		}
	}
	for who, n := range late {
		c.logf("%s: %d requests later than drainMs", who, n)
	}
	return nil
}
