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

// history is one run of unrepeatable calls, some under the same key, through
// boxes that fail, with what each caller was told.
type history struct {
	*trial
	random *rand.Rand
	mu     sync.Mutex
	told   map[string][]load.Result
	faults []string
}

const (
	historyKeys    = 6
	historyCalls   = 4
	historyFaults  = 6
	historySpanMs  = 12_000
	historyNumbers = 40
)

// faultNames are what may happen; two or more may hold at once.
var faultNames = []string{
	"log down", "log up", "lose replies", "drop answers", "answer again", "slow service",
	"cut a box from the platform", "cut boxes from each other", "heal", "kill a box",
}

func (h *history) fault(name string, drawn int) {
	h.faults = append(h.faults, name)
	server := h.Services()[0]
	switch name {
	case "log down", "log up":
		h.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.Down = name == "log down" })
	case "lose replies":
		h.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.LoseReplies = 3 })
	case "drop answers", "answer again":
		server.SetFaults(func(f *standin.ServerFaults) { f.DropAnswer = name == "drop answers" })
	case "slow service":
		server.SetFaults(func(f *standin.ServerFaults) { f.DelayMs = clock.Millis(drawn % 3000) })
	case "cut a box from the platform":
		box := h.Boxes()[drawn%3].Name
		h.network.SetCut(func(from, to string) bool { return from == box && to == localfleet.HostPlatform })
	case "cut boxes from each other":
		h.network.SetCut(func(from, to string) bool {
			return strings.Contains(from, "-box-") && strings.Contains(to, "-box-")
		})
	case "heal":
		h.network.SetCut(func(string, string) bool { return false })
	case "kill a box":
		h.Boxes()[0].Kill()
	}
}

func (h *history) call(box int, key string) {
	result := h.file(box, key)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told[key] = append(h.told[key], result)
}

// play draws calls and faults over some seconds, and then lets all end.
func (h *history) play() {
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
		drawn := h.random.IntN(historySpanMs)
		group.Go(func() {
			h.wait(at)
			h.mu.Lock()
			defer h.mu.Unlock()
			h.fault(name, drawn)
		})
	}
	group.Wait()
	h.wait(10_000)
}

// check compares what callers were told with what ran.
func (h *history) check(seed int) {
	for key, results := range h.told {
		runs := h.Ledger.Runs(key)
		assert.LessOrEqual(h.t, runs, 1, "seed %d, %s, faults %v", seed, key, h.faults)
		whole, notRun := 0, 0
		for _, r := range results {
			whole += boolInt(r.Verdict == load.Whole)
			notRun += boolInt(r.Outcome == exchange.NotRun)
			assert.NotEqual(h.t, load.Crossed, r.Verdict)
			assert.NotEqual(h.t, load.CutAsWhole, r.Verdict)
		}
		if whole > 0 {
			assert.Equal(h.t, 1, runs, "seed %d, %s was answered, faults %v", seed, key, h.faults)
		}
		if notRun == len(results) {
			assert.Zero(h.t, runs, "seed %d, %s was told not-run by all, faults %v", seed, key, h.faults)
		}
	}
}

// TestRandomHistories plays seeded histories of faults, two and more at once.
// DOORYARD_HISTORIES sets how many, for longer runs.
func TestRandomHistories(t *testing.T) {
	count := historyNumbers
	if more, err := strconv.Atoi(os.Getenv("DOORYARD_HISTORIES")); err == nil {
		count = more
	}
	requests, told := 0, map[exchange.Outcome]int{}
	for seed := range count {
		run(t, func(tr *trial) {
			tr.wait(3000)
			h := &history{
				trial: tr, random: rand.New(rand.NewPCG(uint64(seed), 1)), told: map[string][]load.Result{},
			}
			h.play()
			h.check(seed)
			for _, results := range h.told {
				for _, r := range results {
					requests++
					told[r.Outcome]++
				}
			}
		}, withBoxes(3))
	}
	t.Logf("%d histories, %d requests, told %v", count, requests, told)
}
