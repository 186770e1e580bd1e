package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	path          = "/route/"
	clientTimeout = 6 * time.Second
)

// callers send requests at a constant rate, each on a new connection, to the boxes in turn.
type callers struct {
	*service

	mu                                 sync.Mutex
	sent                               int
	succeeded, broken, refused, failed int
}

// run sends requests until stop is called, which waits for the answers.
func (c *callers) run(perSecond int) (stop func()) {
	done, running := make(chan struct{}), sync.WaitGroup{}
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	running.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				c.sent++
				id, box := fmt.Sprintf("a%07d", c.sent), c.sent%len(c.boxes)
				running.Go(func() { c.call(box, id) })
			}
		}
	})
	return func() {
		close(done)
		running.Wait()
	}
}

func (c *callers) call(box int, id string) {
	extra := "Connection: close\r\n"
	if c.streams {
		extra += fmt.Sprintf("X-Model: m\r\nX-Token-Counts: 80,40\r\nX-Prompt-Prefix: %x:40,%s:40\r\n", len(id)+box, id)
	}
	c.line("client sends %s to box %d", id, box)
	status, header, body, err := exchange(c.callersOf(box), attempt("POST", path+"x", id, clientTimeout, extra),
		clientTimeout+time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	seal := ""
	if header != nil {
		seal = header.Get("X-Response-Seal")
	}
	c.line("client gets %s: status %d, seal %q, %d bytes, error %v", id, status, seal, len(body), err)
	whole := wholeAnswer(id, c.pieces, c.streams)
	switch {
	case err != nil:
		c.failed++
	case status != 200:
		c.refused++
	case string(body) != whole:
		c.succeeded++
		c.broken++
		c.line("BROKEN: %s got a success of %d bytes that looks complete; the server's whole body has %d",
			id, len(body), len(whole))
	default:
		c.succeeded++
	}
}

func (c *callers) summary() string {
	return fmt.Sprintf("%d answers with success, %d of them cut short and complete to the client; "+
		"%d other answers, %d without a whole one", c.succeeded, c.broken, c.refused, c.failed)
}
