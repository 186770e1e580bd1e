package mesh

import (
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
