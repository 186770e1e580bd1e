package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// The load of --load: streams of prompts at a rate that swings, a part of them of two sessions.
const (
	// loadPerServer is the mean number of requests a second for each server. With streams of 12 events a server holds 8.
	loadPerServer     = 7
	loadEventInterval = 100 * time.Millisecond
	// The rate swings by loadSwing, with a period of loadPeriod.
	loadSwing  = 0.4
	loadPeriod = 11 * time.Second
	// One request in popularOneIn is of one of popularSessions sessions, the others of loadSessions.
	popularOneIn    = 3
	popularSessions = 2
	loadSessions    = 300
	// loadSessionTokens is the length of a session's part, so long that prompts wait at the server that has read it.
	loadSessionTokens = 2000
	loadDeadlineMs    = 6000
)

// sendLoad sends prompts to random boxes until ctx ends. It returns when all requests have ended.
func (f *fleet) sendLoad(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.settings.Seed, 6))
	clients := make([]*standin.Client, len(f.boxes))
	for i, b := range f.boxes {
		clients[i] = standin.NewClient(b.name, b.callers.address())
	}
	var requests sync.WaitGroup
	defer requests.Wait()
	start := time.Now()
	next := start
	for sequence := 0; ctx.Err() == nil; sequence++ {
		phase := 2 * math.Pi * float64(next.Sub(start)) / float64(loadPeriod)
		rate := float64(loadPerServer*len(f.servers)) * (1 + loadSwing*math.Sin(phase))
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		call := standin.Call{
			ID: fmt.Sprintf("%d-l%d", f.settings.Seed, sequence), Kind: standin.Stream, Key: f.drawKey(random),
			DeadlineMs: loadDeadlineMs, Session: drawSession(random), SessionTokens: loadSessionTokens,
		}
		client := clients[random.IntN(len(clients))]
		sleep(ctx, time.Until(next))
		requests.Go(func() { f.history.recordOutcome(client.Do(context.WithoutCancel(ctx), call)) })
	}
}

// drawSession returns a random session.
func drawSession(random *rand.Rand) string {
	if random.IntN(popularOneIn) == 0 {
		return "popular" + strconv.Itoa(random.IntN(popularSessions))
	}
	return "s" + strconv.Itoa(random.IntN(loadSessions))
}

// allDownSpan is how long all boxes are down when they are restarted.
const allDownSpan = time.Second

// restartAllOnce kills and starts all boxes in the middle of the run.
func (f *fleet) restartAllOnce(ctx context.Context) {
	sleep(ctx, f.settings.Span/2) //nolint:mnd // The middle.
	end, err := killAllBoxes(f)
	if err != nil || ctx.Err() != nil {
		return
	}
	time.Sleep(allDownSpan)
	// A box that didn't start serves nothing, which the report shows.
	_ = end(f)
}
