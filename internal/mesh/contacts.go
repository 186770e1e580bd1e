package mesh

import (
	"net"

	"dooryard.example/dooryard/internal/clock"
)

// Contact is a box of which only the addresses are known at which it may listen: all ports of one host, the usual one
// first. A box listens at another one if a process that is no box has the usual one.
type Contact []string

// Host returns the host of the contact.
func (c Contact) Host() string {
	if len(c) == 0 {
		return ""
	}
	return hostOf(c[0])
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// Rounds of a search for contacts where no live box is known.
const (
	// contactSearchDelay is the number of rounds with the usual ports alone. When a fleet starts, boxes find each other
	// within these.
	contactSearchDelay = 4
	// contactSearchRounds is the number of rounds with another port each, and contactSearchPause that of rounds for each
	// of them afterwards, since a contact may be gone for good.
	contactSearchRounds = 64
	contactSearchPause  = 8
)

// contactAddressesLocked returns the addresses of contacts to ping in a round: the usual one of each, and, for a
// contact where no live box is known, one of the others in turn.
func (m *Mesh) contactAddressesLocked(now clock.Millis) []string {
	live, aliveTimeout := map[string]bool{}, m.aliveTimeoutLocked()
	for _, p := range m.peers {
		if p.alive(now, aliveTimeout) {
			live[hostOf(p.Address)], live[p.Address] = true, true
		}
	}
	turn, searches := contactSearch(m.contactRounds)
	addresses, missing := []string{}, false
	for _, c := range m.contacts() {
		switch {
		case len(c) == 0 || live[c.Host()] && !live[c[0]]:
			continue
		case !live[c[0]] && len(c) > 1:
			missing = true
			if searches {
				addresses = append(addresses, c[1+turn%(len(c)-1)])
			}
		}
		addresses = append(addresses, c[0])
	}
	m.contactRounds++
	if !missing {
		m.contactRounds = 0
	}
	return addresses
}

// contactSearch returns which of the other ports of a contact is tried after some rounds without a box there, and
// whether one is.
func contactSearch(rounds int) (turn int, searches bool) {
	switch n := rounds - contactSearchDelay; {
	case n < 0:
		return 0, false
	case n < contactSearchRounds:
		return n, true
	default:
		return n / contactSearchPause, n%contactSearchPause == 0
	}
}
