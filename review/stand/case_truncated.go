package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	loneServers   = 4
	longDeadline  = 3 * time.Second
	drainAfter    = 200 * time.Millisecond
	crashAfter    = 700 * time.Millisecond
	truncatedSent = 16
)

// loneServerProcess is a loneServer as the case sees it.
type loneServerProcess struct {
	*process
	id, address string
}

// runLog holds which server ran a request.
type runLog struct {
	mu  sync.Mutex
	ran map[string]string
}

func (l *runLog) add(request, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[request] = server
}

func (l *runLog) server(request string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran[request]
}

func startLoneServer(e *env, id string, runs *runLog) (*loneServerProcess, error) {
	address, err := freeAddress(e)
	if err != nil {
		return nil, err
	}
	onLine := func(line string) {
		e.logf("server %s: %s", id, line)
		if request, found := strings.CutPrefix(line, "run "); found {
			runs.add(request, id)
		}
	}
	p, err := e.spawn(id, onLine, nil, "target/review/stand", "server", address, id)
	return &loneServerProcess{process: p, id: id, address: address}, err
}

// truncated: a server that is draining crashes while it writes answers that lack a length.
func truncated(e *env) error {
	st := newStore()
	storeAddress, err := st.listen(e.ctx)
	if err != nil {
		return err
	}
	runs := &runLog{ran: map[string]string{}}
	servers := []*loneServerProcess{}
	for i := range loneServers {
		s, err := startLoneServer(e, fmt.Sprintf("i-%d", i), runs)
		if err != nil {
			return err
		}
		st.putEntry(s.id, serviceIntake, s.address, "ready", 1)
		servers = append(servers, s)
	}
	upload, draft := attach, attach
	upload.timeoutMs = 3000
	draft.name, draft.prefix, draft.kind, draft.timeoutMs = "draft", "/draft/", "streaming", 6000
	st.putConfig(1, []route{upload, draft}, key(1))
	f, err := newFleet(e)
	if err != nil {
		return err
	}
	boxes, err := f.startBoxes(storeAddress, zoneA)
	if err != nil {
		return err
	}
	time.Sleep(answerGap)
	answers := playTruncated(e, st, boxes[0], servers[0])
	return checkTruncated(e, answers, runs)
}

// playTruncated sends calls and streams while a server leaves, and crashes if there is trouble.
func playTruncated(e *env, st *store, b *box, leaving *loneServerProcess) []answer {
	var clients sync.WaitGroup
	answers := make([]answer, truncatedSent)
	for i := range answers {
		c := call{id: fmt.Sprintf("report-%d", i), path: "/attach/file", key: key(1), deadline: longDeadline}
		if i%2 == 1 {
			c.id, c.path = fmt.Sprintf("draft-%d", i), "/draft/text"
		}
		clients.Go(func() {
			answers[i] = send(e.ctx, b, c)
			e.logf("client: %s: %v", c.id, answers[i])
		})
	}
	time.Sleep(drainAfter)
	st.putEntry(leaving.id, serviceIntake, leaving.address, "draining", 2)
	e.logf("the store has acknowledged that %s is draining", leaving.id)
	time.Sleep(crashAfter)
	if e.trouble {
		leaving.signal(syscall.SIGKILL)
		e.logf("%s crashes (SIGKILL)", leaving.id)
	}
	clients.Wait()
	return answers
}

func checkTruncated(e *env, answers []answer, runs *runLog) error {
	for _, a := range answers {
		server := runs.server(a.id)
		if server == "" {
			return fmt.Errorf("%w: %s did not run", errCannotRun, a.id)
		}
		whole := wholeBody(a.id)
		if strings.HasPrefix(a.id, "draft") {
			whole = wholeStream()
		}
		if a.status == http.StatusOK && a.complete && a.body != whole {
			e.breaks("MIXED: %s got a success that looks complete (Content-Length %q) with %d of the %d bytes of the "+
				"body of server %s", a.id, a.header.Get("Content-Length"), len(a.body), len(whole), server)
		}
	}
	return nil
}
