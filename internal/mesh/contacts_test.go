package mesh

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestContactsAreLookedForInTurn guards against bursts of pings to all ports of a contact, and against a contact at
// another port than the usual one that nobody finds.
func TestContactsAreLookedForInTurn(t *testing.T) {
	contacts := []Contact{{"127.0.0.1:7000", "127.0.0.1:7001", "127.0.0.1:7002"}, {"127.0.0.2:7000"}}
	m := newIsolated()
	m.contacts = func() []Contact { return contacts }
	usual := []string{"127.0.0.1:7000", "127.0.0.2:7000"}
	round := func() []string { return m.contactAddressesLocked(m.clock.Monotonic()) }
	for range contactSearchDelay {
		assert.Equal(t, usual, round(), "a fleet that starts needs no search")
	}
	tried := []string{}
	for range 4 {
		addresses := round()
		assert.Len(t, addresses, len(usual)+1)
		assert.Subset(t, addresses, usual)
		tried = append(tried, addresses[0])
	}
	assert.Equal(t, []string{"127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7001", "127.0.0.1:7002"}, tried)
	found := &peer{Identity: Identity{Box: "b", Address: "127.0.0.1:7002"}, firstSeenMs: 1, lastSeenMs: m.clock.Monotonic()}
	m.peers["b"] = found
	assert.Equal(t, usual[1:], round(), "whatever else has the usual port of a contact that was found is left alone")
	found.Address = usual[0]
	assert.Equal(t, usual, round())
	found.draining = true
	for range contactSearchDelay {
		assert.Equal(t, usual, round())
	}
	for range contactSearchRounds {
		assert.Len(t, round(), len(usual)+1, "a contact that goes is looked for again")
	}
	further := map[string]bool{}
	for range 2 * contactSearchPause {
		addresses := round()
		further[addresses[0]] = true
		assert.LessOrEqual(t, len(addresses), len(usual)+1)
	}
	assert.Len(t, further, 3, "one that stays away is looked for more rarely, at all ports")
}

// TestKnownBoxesTryAllPortsOfLostContact guards against a fleet in which nobody tries the port at which its only contact,
// which knows no other box, has returned.
func TestKnownBoxesTryAllPortsOfLostContact(t *testing.T) {
	contact := Contact{"127.0.0.9:7000", "127.0.0.9:7001", "127.0.0.9:7002", "127.0.0.9:7003"}
	for _, c := range []struct {
		name            string
		boxes, searches int
		// apart is the number of rounds within which the boxes miss the contact.
		apart int
	}{{"together", 8, 2, contactSearchPause}, {"each by itself", 1, len(contact), 1000}} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(200) {
				random := rand.New(rand.NewPCG(seed, 1))
				tried, missed := map[string]bool{}, random.IntN(1000)
				for i := range c.boxes {
					m := newKnowing(i, minFanout+2)
					m.random, m.contacts = random, func() []Contact { return []Contact{contact} }
					m.contactRounds[contact.Host()] = missed + random.IntN(c.apart)
					for range c.searches * contactSearchPause {
						addresses := m.contactAddressesLocked(m.clock.Monotonic())
						assert.LessOrEqual(t, len(addresses), 1)
						for _, address := range addresses {
							tried[address] = true
						}
					}
				}
				assert.Len(t, tried, len(contact), "seed %d", seed)
			}
		})
	}
}

// newKnowing returns the box of an index in a fleet in which all know each other.
func newKnowing(index, boxes int) *Mesh {
	m := newIsolated()
	m.self.Box = fmt.Sprintf("box-%d", index)
	for i := range boxes {
		if i != index {
			known := Identity{Box: fmt.Sprintf("box-%d", i), Address: fmt.Sprintf("127.0.0.%d:7000", i+10)}
			m.peers[known.Box] = &peer{Identity: known, firstSeenMs: 1, lastSeenMs: m.clock.Monotonic()}
		}
	}
	return m
}
