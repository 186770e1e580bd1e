package localfleet_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/load"
	"dooryard.example/dooryard/internal/localfleet"
	"dooryard.example/dooryard/internal/standin"
)

// history is a run of non-idempotent requests, some with the same key, through boxes under faults. It records what
// callers got.
type history struct {
	*testFleet
	random   *rand.Rand
	mu       sync.Mutex
	outcomes map[string][]load.Result
	faults   []string
}

const (
	historyKeys      = 6
	historyCalls     = 4
	historyFaults    = 6
	historySpanMs    = 12_000
	defaultHistories = 40
)

// faultNames are the faults to inject. Several may be active at the same time.
var faultNames = []string{
	"log down", "log up", "drop log replies", "drop answers", "stop dropping answers", "delay answers",
	"partition a box from the platform", "partition boxes from each other", "heal partitions", "kill a box",
}

func (h *history) injectFault(name string, parameter int) {
	h.faults = append(h.faults, name)
	server := h.Services()[0]
	switch name {
	case "log down", "log up":
		h.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.Down = name == "log down" })
	case "drop log replies":
		h.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.LoseReplies = 3 })
	case "drop answers", "stop dropping answers":
		server.SetFaults(func(f *standin.ServerFaults) { f.DropAnswer = name == "drop answers" })
	case "delay answers":
		server.SetFaults(func(f *standin.ServerFaults) { f.DelayMs = clock.Millis(parameter % 3000) })
	case "partition a box from the platform":
		box := h.Boxes()[parameter%3].Name
		h.network.SetPartition(func(from, to string) bool { return from == box && to == localfleet.HostPlatform })
	case "partition boxes from each other":
		h.network.SetPartition(func(from, to string) bool {
			return strings.Contains(from, "-box-") && strings.Contains(to, "-box-")
		})
	case "heal partitions":
		h.network.SetPartition(func(string, string) bool { return false })
	case "kill a box":
		h.Boxes()[0].Kill()
	}
}

func (h *history) call(box int, key string) {
	result := h.file(box, key)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[key] = append(h.outcomes[key], result)
}

// execute sends requests and injects faults at random times, and then waits until all have ended.
func (h *history) execute() {
	group := sync.WaitGroup{}
	for number := range historyKeys * historyCalls {
		at, box := clock.Millis(h.random.IntN(historySpanMs)), h.random.IntN(3)
		key := fmt.Sprint("key-", number%historyKeys)
		group.Go(func() {
			h.wait(at)
			h.call(box, key)
		})
	}
	for range historyFaults {
		at, name := clock.Millis(h.random.IntN(historySpanMs)), faultNames[h.random.IntN(len(faultNames))]
		parameter := h.random.IntN(historySpanMs)
		group.Go(func() {
			h.wait(at)
			h.mu.Lock()
			defer h.mu.Unlock()
			h.injectFault(name, parameter)
		})
	}
	group.Wait()
	h.wait(10_000)
}

// check compares the results that callers got with the number of runs at the server.
func (h *history) check(seed int) {
	for key, results := range h.outcomes {
		runs := h.Ledger.Runs(key)
		assert.LessOrEqual(h.t, runs, 1, "seed %d, %s, faults %v", seed, key, h.faults)
		completed, notRun := 0, 0
		for _, r := range results {
			completed += boolInt(r.Verdict == load.Complete)
			notRun += boolInt(r.Outcome == exchange.NotRun)
			assert.NotEqual(h.t, load.Mixed, r.Verdict)
			assert.NotEqual(h.t, load.Truncated, r.Verdict)
		}
		if completed > 0 {
			assert.Equal(h.t, 1, runs, "seed %d, %s got a complete answer, faults %v", seed, key, h.faults)
		}
		if notRun == len(results) {
			assert.Zero(h.t, runs, "seed %d, %s got only the outcome not-run, faults %v", seed, key, h.faults)
		}
	}
}

// TestRandomHistories runs seeded random histories in which several faults may be active at the same time. The
// environment variable DOORYARD_HISTORIES sets the number of histories, for longer runs.
func TestRandomHistories(t *testing.T) {
	count := defaultHistories
	if more, err := strconv.Atoi(os.Getenv("DOORYARD_HISTORIES")); err == nil {
		count = more
	}
	requests, outcomes := 0, map[exchange.Outcome]int{}
	for seed := range count {
		run(t, func(tf *testFleet) {
			tf.wait(3000)
			h := &history{
				testFleet: tf, random: rand.New(rand.NewPCG(uint64(seed), 1)), outcomes: map[string][]load.Result{},
			}
			h.execute()
			h.check(seed)
			for _, results := range h.outcomes {
				for _, r := range results {
					requests++
					outcomes[r.Outcome]++
				}
			}
		}, withBoxes(3))
	}
	t.Logf("%d histories, %d requests, outcomes %v", count, requests, outcomes)
}
