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
// the requests that all boxes have in flight there. Boxes whose views of the fleet differ ask
// different owners. Each owner then counts only a part of the requests, and the bound is looser
// until the views agree.

// permitTimeoutMs is how long a box waits for an owner's answer. It covers many round trips between
// failure domains and is small compared to the time that a caller waits.
const permitTimeoutMs clock.Millis = 20

// permitMessageKind distinguishes permit messages.
type permitMessageKind uint8

const (
	// permitAcquire requests a permit at an upstream, subject to a bound.
	permitAcquire permitMessageKind = 1
	// permitGranted and permitDenied answer a permitAcquire message.
	permitGranted permitMessageKind = 2
	permitDenied  permitMessageKind = 3
	// permitRelease releases a permit.
	permitRelease permitMessageKind = 4
)

// permitMessage is one datagram about a permit.
type permitMessage struct {
	_    struct{} `cbor:",toarray"`
	Kind permitMessageKind
	// Number is the request number that the requesting box chose.
	Number   uint32
	Upstream namekey.Key
	Bound    int
}

// cborArray is the major type of an encoded array, found in the first byte. Permit messages are
// arrays and all other datagrams are maps.
const cborArray = 0x80

const cborMajorMask = 0xe0

func isPermitMessage(data []byte) bool { return len(data) > 0 && data[0]&cborMajorMask == cborArray }

func decodePermitMessage(data []byte) (permitMessage, error) {
	var p permitMessage
	if err := cbor.Unmarshal(data, &p); err != nil {
		return p, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if p.Kind < permitAcquire || p.Kind > permitRelease || p.Bound < 0 {
		return p, fmt.Errorf("%w: permit message: kind %d, bound %d", ErrInvalid, p.Kind, p.Bound)
	}
	return p, nil
}

// permitRequests are this box's permit requests that wait for an answer.
type permitRequests struct {
	mu         sync.Mutex
	nextNumber uint32
	pending    map[uint32]chan bool
}

func (r *permitRequests) start() (number uint32, answer chan bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextNumber++
	answer = make(chan bool, 1)
	r.pending[r.nextNumber] = answer
	return r.nextNumber, answer
}

func (r *permitRequests) finish(number uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, number)
}

// resolve delivers an answer to the waiting request. Late answers are discarded.
func (r *permitRequests) resolve(number uint32, granted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer := r.pending[number]; answer != nil {
		answer <- granted
		delete(r.pending, number)
	}
}

// AcquirePermit requests a permit at an upstream, subject to a bound, from the owner of the
// upstream in a failure domain. The permit is also granted when no owner answers in time. The
// returned function releases the permit.
func (m *Mesh) AcquirePermit(
	ctx context.Context, upstream namekey.Key, failureDomain string, bound int,
) (granted bool, release func()) {
	owner, known := m.owner(upstream, failureDomain)
	if !known {
		return true, nil
	}
	if owner.Box == m.self.Box {
		return m.acquireLocalPermit(upstream, bound)
	}
	number, answer := m.pendingPermits.start()
	defer m.pendingPermits.finish(number)
	m.sendPermitMessage(owner.Address, permitMessage{
		Kind: permitAcquire, Number: number,
		Upstream: upstream, Bound: bound,
	})
	timedOut := make(chan struct{})
	timer := m.clock.AfterFunc(permitTimeoutMs, func() { close(timedOut) })
	defer timer.Stop()
	granted = true
	select {
	case granted = <-answer:
	case <-timedOut:
		m.recordPermitTimeout()
	case <-ctx.Done():
	}
	if !granted {
		return false, nil
	}
	// Even without an answer the owner may have received the request and counted the permit.
	return true, func() { m.sendPermitMessage(owner.Address, permitMessage{Kind: permitRelease, Number: number}) }
}

// acquireLocalPermit acquires a permit at an upstream that this box owns.
func (m *Mesh) acquireLocalPermit(upstream namekey.Key, bound int) (granted bool, release func()) {
	number, _ := m.pendingPermits.start()
	m.pendingPermits.finish(number)
	h := occupancy.PermitID{Box: m.self.Address, Number: number}
	if !m.ledger.Acquire(h, upstream, bound) {
		return false, nil
	}
	return true, func() { m.ledger.Release(h) }
}

// ownersPerDomain is how many boxes of a failure domain own upstreams. Their number is small
// enough for all boxes to discover them soon, and large enough to share the load of the permit
// requests.
const ownersPerDomain = 16

// owner returns the box that counts the requests at an upstream. It is chosen by rendezvous hashing
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

// hashedIdentity is a box with the hash of its name.
type hashedIdentity struct {
	Identity
	hash uint64
}

// ownersLocked returns the first boxes of a failure domain in the order of their name hashes. It
// includes boxes that are known only because other boxes named them, which makes the lists of
// different boxes differ less.
func (m *Mesh) ownersLocked(failureDomain string) []hashedIdentity {
	now, aliveTimeout := m.clock.Monotonic(), m.aliveTimeoutLocked()
	list := []hashedIdentity{}
	if m.self.FailureDomain == failureDomain {
		list = append(list, hashedIdentity{Identity: m.self, hash: route.HashName(m.self.Box)})
	}
	for _, p := range m.peers {
		if p.FailureDomain == failureDomain && !p.draining && now-p.lastSeenMs < aliveTimeout {
			list = append(list, hashedIdentity{Identity: p.Identity, hash: route.HashName(p.Box)})
		}
	}
	slices.SortFunc(list, func(a, b hashedIdentity) int { return cmp.Compare(a.hash, b.hash) })
	return list[:min(ownersPerDomain, len(list))]
}

// sampleOwnersLocked returns a random sample of the owners of all failure domains.
func (m *Mesh) sampleOwnersLocked(count int) []Identity {
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

// handlePermitMessage processes a datagram about a permit.
func (m *Mesh) handlePermitMessage(data []byte, from net.Addr) {
	p, err := decodePermitMessage(data)
	if err != nil {
		m.mu.Lock()
		m.ignored++
		m.mu.Unlock()
		return
	}
	h := occupancy.PermitID{Box: from.String(), Number: p.Number}
	switch p.Kind {
	case permitAcquire:
		answer := permitMessage{Kind: permitDenied, Number: p.Number}
		if m.ledger.Acquire(h, p.Upstream, p.Bound) {
			answer.Kind = permitGranted
		}
		m.sendPermitMessage(from.String(), answer)
	case permitGranted, permitDenied:
		m.pendingPermits.resolve(p.Number, p.Kind == permitGranted)
	case permitRelease:
		m.ledger.Release(h)
	}
}

// sendPermitMessage sends a datagram about a permit. A failure is counted and otherwise treated like
// packet loss.
func (m *Mesh) sendPermitMessage(address string, p permitMessage) {
	data, err := cbor.Marshal(p)
	sent := 0
	if err == nil {
		sent, err = m.write(address, data)
	}
	m.recordSent(sent, err)
}

func (m *Mesh) recordPermitTimeout() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.permitTimeouts++
}

// ExpirePermits removes permits whose release message was lost. It must be called at least once a
// second.
func (m *Mesh) ExpirePermits() { m.ledger.Expire() }
