package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// Requests that end their servers. One client sends the same request again and again under new
// ids, at any box; each server that begins to run it ends, and is back after a while, under its
// id or another.
const (
	fatalTenant    = "tenant-0"
	fatalGapMs     = 700
	fatalBackMs    = 1500
	fatalDeadlineM = 2000
	// fatalEnds is after how many ends boxes must hold the request back, and fatalMost how
	// often those that are in touch may still send it later than contactSpan after that.
	fatalEnds = 3
	fatalMost = 3
)

// fatalClient sends the request until the context ends.
func (f *fleet) fatalClient(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.settings.Seed, 3))
	clients := make([]*standin.Client, len(f.boxes))
	for i, b := range f.boxes {
		clients[i] = standin.NewClient(b.name, b.callers.address())
	}
	for sequence := 0; ctx.Err() == nil; sequence++ {
		f.mu.Lock()
		key := f.config.Keys[fatalTenant][0]
		f.mu.Unlock()
		call := standin.Call{
			ID: fmt.Sprintf("%d-fatal-%d", f.settings.Seed, sequence), Kind: standin.Stream, Key: key,
			DeadlineMs: fatalDeadlineM, Sends: standin.FatalBody,
		}
		f.ledger.noteOutcome(clients[random.IntN(len(clients))].Do(context.WithoutCancel(ctx), call))
		time.Sleep(time.Duration(leastMs+random.IntN(fatalGapMs)) * time.Millisecond)
	}
}

// endUnder ends a server's current incarnation under a request, and starts it again later.
func (f *fleet) endUnder(s *server, ended *standin.Server) {
	s.mu.Lock()
	again := s.current == ended && !s.down
	s.down = s.down || again
	s.mu.Unlock()
	if !again {
		return
	}
	f.ledger.noteEnd()
	s.link.set(linkRefused)
	back := time.Duration(leastMs+f.draw(fatalBackMs)) * time.Millisecond
	keepID := f.draw(2) == 0
	f.ends.Go(func() {
		time.Sleep(back)
		s.link.set(linkWell)
		f.startAgain(s, keepID)
	})
}

// startAgain starts a server's next incarnation, under its id or another.
func (f *fleet) startAgain(s *server, keepID bool) {
	f.entries.Lock()
	defer f.entries.Unlock()
	if !keepID {
		f.store.RemoveServer(s.id())
		f.incarnate(s)
		return
	}
	s.mu.Lock()
	s.current, s.down = f.newServer(s, s.current.ID), false
	s.mu.Unlock()
	f.announce(s, false)
}

// noteEnd notes that a server ended under the fatal request.
func (l *ledger) noteEnd() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends = append(l.ends, time.Now())
}

// fatalFigures are the servers that ended under the fatal request, how often it ran after the
// third end, disturbed boxes included, and how long after that it last did.
type fatalFigures struct{ Ends, After, LastMs int }

func (l *ledger) fatalFigures() fatalFigures {
	l.mu.Lock()
	defer l.mu.Unlock()
	figures := fatalFigures{Ends: len(l.ends)}
	if len(l.ends) < fatalEnds {
		return figures
	}
	third := l.ends[fatalEnds-1]
	for _, o := range l.outcomes {
		if o.Sends != standin.FatalBody {
			continue
		}
		for _, run := range l.runs[o.ID] {
			if run.Began.After(third) {
				figures.After++
				figures.LastMs = max(figures.LastMs, int(run.Began.Sub(third).Milliseconds()))
			}
		}
	}
	return figures
}

// checkFatal looks how often boxes that were in touch sent the fatal request later than they
// may.
func (l *ledger) checkFatal() []finding {
	if len(l.ends) < fatalEnds {
		return nil
	}
	from := l.ends[fatalEnds-1].Add(contactSpan + lateSlack)
	late, last := 0, ""
	for _, o := range l.outcomes {
		if o.Sends != standin.FatalBody {
			continue
		}
		for _, run := range l.runs[o.ID] {
			inTouch := l.touch.calm(everywhere, run.Began.Add(-contactSpan), run.Began) &&
				l.touch.calm(o.Box, run.Began.Add(-contactSpan), run.Began)
			if run.Began.After(from) && inTouch {
				late, last = late+1, o.ID
			}
		}
	}
	if late <= fatalMost {
		return nil
	}
	return []finding{{"held back after three ends", last, fmt.Sprintf("sent %d times later, %d ends", late, len(l.ends))}}
}
