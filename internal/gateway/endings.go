package gateway

import (
	"context"
	"sync"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
	"dooryard.example/dooryard/internal/quarantine"
)

// waitingBreaks is how many broken connections wait to be looked into: more than one
// upstream carries for a box. Beyond that they are left out.
const waitingBreaks = 256

// gatherBreaksMs is how long the connections that an upstream's end breaks take to show on a
// box: within 2 ms in lines of six boxes.
const gatherBreaksMs clock.Millis = 5

// brokenConn is a connection that broke by itself under a request.
type brokenConn struct {
	member  *balance.Member
	content quarantine.Content
}

// endings finds out whether upstreams have ended whose connections broke.
type endings struct {
	box    *Box
	breaks chan brokenConn

	mu sync.Mutex
	// under are the requests whose connections broke, by upstream, while the box finds out.
	under map[string][]quarantine.Content
}

func newEndings(b *Box) *endings {
	return &endings{box: b, breaks: make(chan brokenConn, waitingBreaks), under: map[string][]quarantine.Content{}}
}

// broke takes a connection that broke by itself. It never blocks.
func (e *endings) broke(member *balance.Member, content quarantine.Content) {
	select {
	case e.breaks <- brokenConn{member: member, content: content}:
	default:
	}
}

// run looks into broken connections until the context ends.
func (e *endings) run(ctx context.Context) {
	var looking sync.WaitGroup
	defer looking.Wait()
	for {
		select {
		case one := <-e.breaks:
			if e.first(one) {
				looking.Go(func() { e.look(ctx, one.member) })
			}
		case <-ctx.Done():
			return
		}
	}
}

// first notes a broken connection and tells whether it is the first one to its upstream.
func (e *endings) first(one brokenConn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := one.member.ID
	_, known := e.under[id]
	e.under[id] = append(e.under[id], one.content)
	return !known
}

// look finds out whether an upstream has ended.
func (e *endings) look(ctx context.Context, member *balance.Member) {
	// The context's end shows at the connection.
	_ = e.box.clock.Sleep(ctx, gatherBreaksMs)
	ended := member.Client().Ended(ctx)
	e.mu.Lock()
	contents := e.under[member.ID]
	delete(e.under, member.ID)
	e.mu.Unlock()
	if ended {
		e.ended(member, contents)
	}
}

func (e *endings) ended(member *balance.Member, contents []quarantine.Content) {
	names := make([]string, 0, len(contents))
	for _, content := range contents {
		names = append(names, content.String())
	}
	e.box.metrics.UpstreamEnded()
	e.box.log.Tell(decision.UpstreamEnded{Upstream: member.ID, Address: member.Address, Contents: names})
}
