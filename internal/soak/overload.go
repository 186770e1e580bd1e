package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// Servers prefill prompts one after the other. More prompts arrive in waves than they can prefill, and the pace of each
// server changes in spells. Both have schedules of their own, so that they can coincide with any fault.
const (
	// usualPace and slowPace are paces in percent of the usual time.
	usualPace = 100
	slowPace  = 300
	// slowOneIn is the inverse of the probability that a server is slow in a spell. Servers of the second customer in
	// docs/HARD-LOAD.md are slow for 15% of the time.
	slowOneIn = 6
	// spellSpan is the length of a spell, as at that customer.
	spellSpan = 600 * time.Millisecond
	// waveSpan is how long a wave lasts, and the time until the next one.
	waveSpan = 3 * time.Second
	// wavePromptTokens is the length of a prompt, which takes a server 300 ms at its usual pace.
	wavePromptTokens = 6000
	// waveCallersPerServer is the number of callers of a wave, each with one request at a time.
	waveCallersPerServer = 4
	// waveDeadlineMs is the time limit of a prompt. It lies between the 1.2 s and the 3.6 s that the prompts of a wave
	// take a server at the two paces.
	waveDeadlineMs = 2500
)

// drawPace returns a random pace, in percent of the usual time.
func (f *fleet) drawPace() int {
	if f.draw(slowOneIn) == 0 {
		return slowPace
	}
	return usualPace
}

// injectOverload sends waves of long prompts and changes the pace of the servers until ctx ends. It returns when all
// requests have ended.
func (f *fleet) injectOverload(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() {
		for ctx.Err() == nil {
			for _, s := range f.servers {
				s.incarnation().ReadPrompts(f.drawPace())
			}
			sleep(ctx, spellSpan)
		}
	})
	for wave := 0; ctx.Err() == nil; wave++ {
		f.sendWave(ctx, wave)
		sleep(ctx, waveSpan)
	}
}

// sendWave sends long prompts from many callers for waveSpan. Their random sources follow from the seed.
func (f *fleet) sendWave(ctx context.Context, wave int) {
	ctx, cancel := context.WithTimeout(ctx, waveSpan)
	defer cancel()
	clients := []*standin.Client{}
	for _, b := range f.boxes {
		clients = append(clients, standin.NewClient(b.name, b.callers.address()))
	}
	var callers sync.WaitGroup
	defer callers.Wait()
	for i := range waveCallersPerServer * len(f.servers) {
		random := rand.New(rand.NewPCG(f.settings.Seed, uint64(wave*len(f.servers)*waveCallersPerServer+i)))
		callers.Go(func() {
			for sequence := 0; ctx.Err() == nil; sequence++ {
				id := fmt.Sprintf("%d-w%d-%d-%d", f.settings.Seed, wave, i, sequence)
				f.sendLongPrompt(ctx, random, clients[random.IntN(len(clients))], id)
			}
		})
	}
}

// sendLongPrompt sends a prompt and records its outcome. It waits for the response even if the wave ends in the
// meantime, so that every request has an outcome.
func (f *fleet) sendLongPrompt(ctx context.Context, random *rand.Rand, client *standin.Client, id string) {
	kinds := []string{standin.Stream, standin.Resumable}
	outcome := client.Do(context.WithoutCancel(ctx), standin.Call{
		ID: id, Kind: kinds[random.IntN(len(kinds))], Key: f.drawKey(random), DeadlineMs: waveDeadlineMs,
		PromptTokens: wavePromptTokens,
	})
	f.history.recordOutcome(outcome)
	if outcome.Status != http.StatusOK {
		sleep(ctx, minDelayMs*time.Millisecond)
	}
}
