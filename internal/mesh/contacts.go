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

// contactAddressesLocked returns the addresses of contacts to ping in a round. While few boxes are alive, they are the
// usual one of each, and, for a contact where no live box is known, one of the others in turn. Otherwise only such
// contacts are looked for, at any of their ports: a box that knows no other contact than itself can't find the others.
func (m *Mesh) contactAddressesLocked(now clock.Millis) []string {
	few := m.aliveCountLocked(now) < minFanout
	if !few && m.largeLocked() {
		return nil
	}
	addresses, live := []string{}, m.liveAddressesLocked(now)
	for _, c := range m.contacts() {
		host := c.Host()
		switch {
		case len(c) == 0:
		case live[host]:
			delete(m.contactRounds, host)
			if few && live[c[0]] {
				addresses = append(addresses, c[0])
			}
		case few:
			addresses = append(addresses, c.searched(m.contactRounds[host])...)
			m.contactRounds[host]++
		case host != hostOf(m.self.Address):
			if rounds := m.contactRounds[host]; rounds%contactSearchPause == 0 {
				// Each box begins at another port, so that all together soon try each.
				addresses = append(addresses, c[(m.rankLocked(now)+rounds/contactSearchPause)%len(c)])
			}
			m.contactRounds[host]++
		}
	}
	return addresses
}

// rankLocked returns the position of this box among the live boxes by name.
func (m *Mesh) rankLocked(now clock.Millis) int {
	rank, aliveTimeout := 0, m.aliveTimeoutLocked()
	for _, p := range m.peers {
		if p.Box < m.self.Box && p.alive(now, aliveTimeout) {
			rank++
		}
	}
	return rank
}

// searched returns the addresses to ping after some rounds without a box at the contact.
func (c Contact) searched(rounds int) []string {
	if turn, searches := contactSearch(rounds); searches && len(c) > 1 {
		return []string{c[1+turn%(len(c)-1)], c[0]}
	}
	return c[:1]
}

// liveAddressesLocked returns the addresses of live boxes and their hosts.
func (m *Mesh) liveAddressesLocked(now clock.Millis) map[string]bool {
	live, aliveTimeout := map[string]bool{}, m.aliveTimeoutLocked()
	for _, p := range m.peers {
		if p.alive(now, aliveTimeout) {
			live[hostOf(p.Address)], live[p.Address] = true, true
		}
	}
	return live
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
