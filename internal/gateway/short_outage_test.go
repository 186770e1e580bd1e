package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/pkg/config"
)

// TestShortStoreOutages guards against valid requests that are refused because the store was away for a moment.
func TestShortStoreOutages(t *testing.T) {
	ways := map[string]func(s *store, box string, away bool){
		"refuses reads": (*store).setUnavailable, "leaves reads without a response": (*store).setUnresponsive,
	}
	for name, set := range ways {
		for _, outage := range []time.Duration{time.Second, 1500 * time.Millisecond} {
			for offset := time.Duration(0); offset < pollMs.Duration(); offset += 100 * time.Millisecond {
				t.Run(fmt.Sprintf("%s for %v, %v after the start", name, outage, offset), func(t *testing.T) {
					runBesideOthers(t, func(f *fleet) {
						f.upstream("u1", respondWith("done"))
						inForce := func(g *config.Gateway) { g.Freshness.MaxPropagationMs = 2000 }
						boxes := []*running{f.box(1, withDomain("d0"), inForce)}
						for i := 2; i <= 6; i++ {
							boxes = append(boxes, f.box(i, withDomain(fmt.Sprint("d", i%restartDomains)), inForce, withContact(boxes[0])))
						}
						advance(f.t, 2*time.Second+offset)
						setAll := func(away bool) {
							for _, b := range boxes {
								set(f.store, b.settings.Box, away)
							}
						}
						setAll(true)
						time.AfterFunc(outage, func() { setAll(false) })
						refused := sendSteadily(boxes, outage+4*time.Second)
						assert.Zero(f.t, refused, "requests refused")
					})
				})
			}
		}
	}
}

// sendSteadily sends a valid request to each box each 50 ms, and returns how many got another status than 200.
func sendSteadily(boxes []*running, span time.Duration) int {
	const interval = 50 * time.Millisecond
	var sending sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for range span / interval {
		for _, b := range boxes {
			sending.Go(func() {
				status, _, err := b.get("/safe/")
				mu.Lock()
				defer mu.Unlock()
				if err != nil || status != http.StatusOK {
					refused++
				}
			})
		}
		advance(boxes[0].fleet.t, interval)
	}
	sending.Wait()
	return refused
}
