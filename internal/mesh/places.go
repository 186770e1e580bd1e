package mesh

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/occupancy"
	"dooryard.example/dooryard/internal/route"
)

// In a large fleet each upstream has an owner among the boxes of its failure domain, which counts
// the requests that all boxes have there. Boxes whose views of the fleet differ ask different
// owners; each then counts a part, and the bound is looser for that long.

// placeWaitMs is how long a box waits for an owner's answer: many round trips between failure
// domains, and little of what a caller waits.
const placeWaitMs clock.Millis = 20

// placeKind tells messages about places apart.
type placeKind uint8

const (
	// placeAsk wants a place at an upstream under a bound.
	placeAsk placeKind = 1
	// placeGranted and placeRefused answer an ask.
	placeGranted placeKind = 2
	placeRefused placeKind = 3
	// placeDone gives a place back.
	placeDone placeKind = 4
)

// placeMessage is one datagram about a place.
type placeMessage struct {
	_    struct{} `cbor:",toarray"`
	Kind placeKind
	// Number is the asker's own.
	Number   uint32
	Upstream namekey.Key
	Bound    int
}

// cborArray is the first byte's major type of an encoded array; other datagrams are maps.
const cborArray = 0x80

const cborMajorMask = 0xe0

func isPlaceMessage(data []byte) bool { return len(data) > 0 && data[0]&cborMajorMask == cborArray }

func decodePlace(data []byte) (placeMessage, error) {
	var p placeMessage
	if err := cbor.Unmarshal(data, &p); err != nil {
		return p, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if p.Kind < placeAsk || p.Kind > placeDone || p.Bound < 0 {
		return p, fmt.Errorf("%w: place: kind %d, bound %d", ErrInvalid, p.Kind, p.Bound)
	}
	return p, nil
}

// placeAsks are a box's asks for places that wait for an answer.
type placeAsks struct {
	mu      sync.Mutex
	next    uint32
	waiting map[uint32]chan bool
}

func (a *placeAsks) begin() (number uint32, answer chan bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	answer = make(chan bool, 1)
	a.waiting[a.next] = answer
	return a.next, answer
}

func (a *placeAsks) end(number uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, number)
}

// answered hands an answer to whoever waits for it; one that came late goes to nobody.
func (a *placeAsks) answered(number uint32, granted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answer := a.waiting[number]; answer != nil {
		answer <- granted
		delete(a.waiting, number)
	}
}

// TakePlace asks the owner of an upstream in a failure domain for a place there under a bound. A
// place is granted also when no owner answers in time. Release gives it back.
func (m *Mesh) TakePlace(
	ctx context.Context, upstream namekey.Key, failureDomain string, bound int,
) (granted bool, release func()) {
	owner, known := m.owner(upstream, failureDomain)
	if !known {
		return true, nil
	}
	if owner.Box == m.self.Box {
		return m.takeOwnPlace(upstream, bound)
	}
	number, answer := m.asks.begin()
	defer m.asks.end(number)
	m.sendPlace(owner.Address, placeMessage{Kind: placeAsk, Number: number, Upstream: upstream, Bound: bound})
	timedOut := make(chan struct{})
	timer := m.clock.AfterFunc(placeWaitMs, func() { close(timedOut) })
	defer timer.Stop()
	granted = true
	select {
	case granted = <-answer:
	case <-timedOut:
		m.notePlaceUnanswered()
	case <-ctx.Done():
	}
	if !granted {
		return false, nil
	}
	// An ask may have arrived though its answer did not.
	return true, func() { m.sendPlace(owner.Address, placeMessage{Kind: placeDone, Number: number}) }
}

// takeOwnPlace takes a place at an upstream that this box owns.
func (m *Mesh) takeOwnPlace(upstream namekey.Key, bound int) (granted bool, release func()) {
	number, _ := m.asks.begin()
	m.asks.end(number)
	h := occupancy.Holder{Box: m.self.Address, Number: number}
	if !m.ledger.Take(h, upstream, bound) {
		return false, nil
	}
	return true, func() { m.ledger.Release(h) }
}

// owners is how many boxes of a failure domain own upstreams: few enough that all boxes soon know
// them, and enough to share the asks.
const owners = 16

// owner returns the box that counts the requests at an upstream: the first by rendezvous hashing
// among the owners of its failure domain.
func (m *Mesh) owner(upstream namekey.Key, failureDomain string) (owner Identity, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := route.Key(route.HashName(failureDomain) ^ uint64(upstream))
	best := uint64(0)
	for _, i := range m.ownersLocked(failureDomain) {
		if score := route.Score(key, i.hash); !known || score > best {
			owner, best, known = i.Identity, score, true
		}
	}
	return owner, known
}

// hashed is a box with the hash of its name.
type hashed struct {
	Identity
	hash uint64
}

// ownersLocked returns the first boxes of a failure domain by the hash of their names. Boxes that
// were only named count: views of who is there differ less then.
func (m *Mesh) ownersLocked(failureDomain string) []hashed {
	now, life := m.clock.Steady(), m.lifeLocked()
	list := []hashed{}
	if m.self.FailureDomain == failureDomain {
		list = append(list, hashed{Identity: m.self, hash: route.HashName(m.self.Box)})
	}
	for _, p := range m.peers {
		if p.FailureDomain == failureDomain && !p.leaving && now-p.heardMs < life {
			list = append(list, hashed{Identity: p.Identity, hash: route.HashName(p.Box)})
		}
	}
	slices.SortFunc(list, func(a, b hashed) int { return cmp.Compare(a.hash, b.hash) })
	return list[:min(owners, len(list))]
}

// drawOwnersLocked returns some owners of all failure domains.
func (m *Mesh) drawOwnersLocked(count int) []Identity {
	domains := map[string]bool{m.self.FailureDomain: true}
	for _, p := range m.peers {
		domains[p.FailureDomain] = true
	}
	all := []Identity{}
	for domain := range domains {
		for _, i := range m.ownersLocked(domain) {
			all = append(all, i.Identity)
		}
	}
	m.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

// handlePlace handles a datagram about a place.
func (m *Mesh) handlePlace(data []byte, from net.Addr) {
	p, err := decodePlace(data)
	if err != nil {
		m.mu.Lock()
		m.ignored++
		m.mu.Unlock()
		return
	}
	h := occupancy.Holder{Box: from.String(), Number: p.Number}
	switch p.Kind {
	case placeAsk:
		answer := placeMessage{Kind: placeRefused, Number: p.Number}
		if m.ledger.Take(h, p.Upstream, p.Bound) {
			answer.Kind = placeGranted
		}
		m.sendPlace(from.String(), answer)
	case placeGranted, placeRefused:
		m.asks.answered(p.Number, p.Kind == placeGranted)
	case placeDone:
		m.ledger.Release(h)
	}
}

// sendPlace sends a datagram about a place. One that can't be sent is as good as lost.
func (m *Mesh) sendPlace(address string, p placeMessage) {
	data, err := cbor.Marshal(p)
	sent := 0
	if err == nil {
		sent, err = m.write(address, data)
	}
	m.noteSent(sent, err)
}

func (m *Mesh) notePlaceUnanswered() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unansweredPlaces++
}

// ExpirePlaces drops places whose end was not told; call it each second or more often.
func (m *Mesh) ExpirePlaces() { m.ledger.Expire() }
