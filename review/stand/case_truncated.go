package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// truncated: a server that is draining crashes while it writes answers that lack a length.
func truncated(e *env) error {
	st := newStore(500)
	storeAddr, err := st.listen()
	if err != nil {
		return err
	}
	type proc struct {
		id, address string
		p           *process
	}
	var mu sync.Mutex
	ran, answered := map[string]string{}, map[string]bool{}
	servers := []*proc{}
	for i := range 4 {
		s := &proc{id: fmt.Sprintf("i-%d", i), address: fmt.Sprintf("127.0.0.1:%d", freePort())}
		onLine := func(line string) {
			e.logf("server %s: %s", s.id, line)
			word, request, _ := strings.Cut(line, " ")
			mu.Lock()
			defer mu.Unlock()
			if word == "run" {
				ran[request] = s.id
			} else {
				answered[request] = true
			}
		}
		if s.p, err = e.spawn(s.id, onLine, nil, "target/review/stand", "server", s.address, s.id, "intake"); err != nil {
			return err
		}
		st.putJSON(topicServers, s.id, entry("intake", s.address, "a", "ready", 6, 1))
		servers = append(servers, s)
	}
	routes := []route{
		{name: "attach", prefix: "/attach/", kind: "unsafe", service: "intake", attempts: 1, timeoutMs: 3000},
		{name: "draft", prefix: "/draft/", kind: "streaming", service: "intake", attempts: 1, timeoutMs: 6000},
	}
	st.putJSON(topicOperators, "config", config(1, routes, []string{key(1)}))
	f := newFleet(e)
	b, err := f.startBox(0, "a", storeAddr, true)
	if err != nil {
		return err
	}
	if err := b.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)

	var clients sync.WaitGroup
	answers := make([]answer, 16)
	for i := range answers {
		c := call{id: fmt.Sprintf("report-%d", i), path: "/attach/file"}
		if i%2 == 1 {
			c = call{id: fmt.Sprintf("draft-%d", i), path: "/draft/text"}
		}
		c.method, c.host, c.key, c.body, c.deadlineMs = "POST", host, key(1), "crash report", 3000
		clients.Go(func() {
			answers[i] = send(b, c)
			e.logf("client: %s: %v", c.id, answers[i])
		})
	}
	time.Sleep(200 * time.Millisecond)
	leaving := servers[0]
	st.putJSON(topicServers, leaving.id, entry("intake", leaving.address, "a", "draining", 6, 2))
	e.logf("the store has acknowledged that %s is draining", leaving.id)
	time.Sleep(700 * time.Millisecond)
	if e.trouble {
		leaving.p.signal(syscall.SIGKILL)
		e.logf("%s crashes (SIGKILL)", leaving.id)
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(ran) != len(answers) {
		return fmt.Errorf("%w: %d of %d requests ran", errCannotRun, len(ran), len(answers))
	}
	for _, a := range answers {
		whole := wholeBody(a.id)
		if strings.HasPrefix(a.id, "draft") {
			whole = ""
			for n := range events {
				whole += event(n + 1)
			}
		}
		if a.status == 200 && a.complete && a.body != whole {
			e.breaks("MIXED: %s got a success that looks complete (Content-Length %q) with %d of the %d bytes of the body of server %s",
				a.id, a.header.Get("Content-Length"), len(a.body), len(whole), ran[a.id])
		}
	}
	return nil
}
