package mesh

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
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
	// permitRelease and permitReleaseServed release a permit. The latter tells that the upstream served the request.
	permitRelease       permitMessageKind = 4
	permitReleaseServed permitMessageKind = 5
	// permitGrantedProvisionally answers a permitAcquire message of an owner whose count is not complete yet.
	permitGrantedProvisionally permitMessageKind = 6
	// permitRejected tells that the upstream rejected a request for want of room.
	permitRejected permitMessageKind = 7
)

// permitMessage is one datagram about a permit.
type permitMessage struct {
	_    struct{} `cbor:",toarray"`
	Kind permitMessageKind
	// Number is the request number that the requesting box chose.
	Number   uint32
	Upstream namekey.Key
	Bound    int
	// WithinMs is PermitRequest.WithinMs.
	WithinMs clock.Millis
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
	if p.Kind < permitAcquire || p.Kind > permitRejected || p.Bound < 0 || p.WithinMs < 0 {
		return p, fmt.Errorf("%w: permit message: kind %d, bound %d, within %d", ErrInvalid, p.Kind, p.Bound, p.WithinMs)
	}
	return p, nil
}

// permitRequests are this box's permit requests that wait for an answer, and those that other owners may count.
type permitRequests struct {
	mu         sync.Mutex
	nextNumber uint32
	pending    map[uint32]chan permitMessageKind
	held       map[uint32]heldPermit
}

// heldPermit is a permit that the owner at an address may count.
type heldPermit struct {
	owner    string
	upstream namekey.Key
}

func (r *permitRequests) start() (number uint32, answer chan permitMessageKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextNumber++
	answer = make(chan permitMessageKind, 1)
	r.pending[r.nextNumber] = answer
	return r.nextNumber, answer
}

func (r *permitRequests) finish(number uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, number)
}

// hold records a permit that an owner may count, and drop that it was released.
func (r *permitRequests) hold(number uint32, p heldPermit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[number] = p
}

func (r *permitRequests) drop(number uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, number)
}

// holds reports whether a permit is held, and all returns all that are.
func (r *permitRequests) holds(number uint32) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, held := r.held[number]
	return held
}

func (r *permitRequests) all() map[uint32]heldPermit {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.held)
}

// resolve delivers an answer to the waiting request. Late answers are discarded.
func (r *permitRequests) resolve(number uint32, kind permitMessageKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer := r.pending[number]; answer != nil {
		answer <- kind
		delete(r.pending, number)
	}
}

// PermitRequest describes a permit.
type PermitRequest struct {
	Upstream      namekey.Key
	FailureDomain string
	// Bound is the maximum number of requests at the upstream, or its number of slots if WithinMs is set.
	Bound int
	// WithinMs is the time within which the response should start. If it is set, the permit is granted if this is
	// likely, regardless of how many requests are there.
	WithinMs clock.Millis
}

// AcquirePermit requests a permit from the owner of the upstream.
func (m *Mesh) AcquirePermit(ctx context.Context, r PermitRequest) occupancy.Reply {
	owner, known := m.owner(r.Upstream, r.FailureDomain)
	if !known {
		return occupancy.Reply{Granted: true, Provisional: true, Unanswered: true}
	}
	if owner.Box == m.self.Box {
		return m.acquireLocalPermit(r)
	}
	number, answer := m.pendingPermits.start()
	defer m.pendingPermits.finish(number)
	reply := m.unansweredPermit(owner, number, r)
	if m.ownerUnresponsive(owner.Box) {
		if reply.Count == nil {
			reply.Release = nil
		}
		return reply
	}
	m.sendPermitMessage(owner.Address, permitMessage{
		Kind: permitAcquire, Number: number,
		Upstream: r.Upstream, Bound: r.Bound, WithinMs: r.WithinMs,
	})
	kind, err := awaitAnswer(ctx, m.clock, answer, permitTimeoutMs)
	switch {
	case errors.Is(err, errUnanswered):
		m.recordPermitTimeout(owner.Box)
	case err != nil:
	case kind == permitDenied:
		return occupancy.Reply{}
	default:
		reply.Unanswered, reply.Count = false, nil
		m.pendingPermits.hold(number, heldPermit{owner: owner.Address, upstream: r.Upstream})
		if reply.Provisional = kind == permitGrantedProvisionally; reply.Provisional {
			m.recordProvisionalPermit()
		}
	}
	return reply
}

// unansweredPermit returns the reply if the owner of an upstream doesn't answer in time. The owner counts the request
// all the same if it is sent, or else its count would lack requests for as long as it answers late. It may have
// received the request for the permit, or not have been asked.
func (m *Mesh) unansweredPermit(owner Identity, number uint32, r PermitRequest) occupancy.Reply {
	reply := occupancy.Reply{Granted: true, Provisional: true, Unanswered: true, Release: func(served bool) {
		m.pendingPermits.drop(number)
		release := permitMessage{Kind: permitRelease, Number: number}
		if served {
			release.Kind = permitReleaseServed
		}
		m.sendPermitMessage(owner.Address, release)
	}}
	if r.WithinMs == 0 {
		reply.Count = func() {
			m.pendingPermits.hold(number, heldPermit{owner: owner.Address, upstream: r.Upstream})
			m.countPermit(number, heldPermit{owner: owner.Address, upstream: r.Upstream})
		}
	}
	return reply
}

// countPermit makes an owner count a request, whatever the bounds.
func (m *Mesh) countPermit(number uint32, p heldPermit) {
	m.sendPermitMessage(p.owner, permitMessage{
		Kind: permitAcquire, Number: number, Upstream: p.upstream, Bound: math.MaxInt16,
	})
}

// ReportRejection tells the owner of an upstream that the upstream rejected a request for want of room.
func (m *Mesh) ReportRejection(upstream namekey.Key, failureDomain string) {
	owner, known := m.owner(upstream, failureDomain)
	switch {
	case !known:
	case owner.Box == m.self.Box:
		m.ledger.RecordRejection(upstream)
	default:
		m.sendPermitMessage(owner.Address, permitMessage{Kind: permitRejected, Upstream: upstream})
	}
}

// acquireLocalPermit acquires a permit at an upstream that this box owns.
func (m *Mesh) acquireLocalPermit(r PermitRequest) occupancy.Reply {
	number, _ := m.pendingPermits.start()
	m.pendingPermits.finish(number)
	h := occupancy.PermitID{Box: m.self.Address, Number: number}
	kind := m.grant(h, r)
	if kind == permitDenied {
		return occupancy.Reply{}
	}
	return occupancy.Reply{
		Granted: true, Provisional: kind == permitGrantedProvisionally,
		Release: func(served bool) { m.ledger.Release(h, served) },
	}
}

// grant decides, as the owner of an upstream, whether to grant a permit, and returns the kind of the answer.
func (m *Mesh) grant(id occupancy.PermitID, r PermitRequest) permitMessageKind {
	m.checkOwnership(r.Upstream)
	switch {
	case r.WithinMs > 0 && m.ledger.AcquireWithin(id, r.Upstream, r.Bound, r.WithinMs):
		return permitGranted
	case r.WithinMs > 0 || !m.ledger.Acquire(id, r.Upstream, r.Bound):
		return permitDenied
	case m.ledger.Settled(r.Upstream):
		return permitGranted
	default:
		return permitGrantedProvisionally
	}
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
	return firstOwner(m.ownersLocked(failureDomain), upstream, failureDomain)
}

// firstOwner returns the owner of an upstream among a list of boxes.
func firstOwner(list []hashedIdentity, upstream namekey.Key, failureDomain string) (owner Identity, known bool) {
	key := route.Key(route.HashName(failureDomain) ^ uint64(upstream))
	best := uint64(0)
	for _, i := range list {
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
		kind := m.grant(h, PermitRequest{Upstream: p.Upstream, Bound: p.Bound, WithinMs: p.WithinMs})
		m.sendPermitMessage(from.String(), permitMessage{Kind: kind, Number: p.Number})
	case permitGranted, permitDenied, permitGrantedProvisionally:
		m.pendingPermits.resolve(p.Number, p.Kind)
	case permitRelease, permitReleaseServed:
		m.ledger.Release(h, p.Kind == permitReleaseServed)
	case permitRejected:
		m.ledger.RecordRejection(p.Upstream)
	}
}

// sendPermitMessage sends a datagram about a permit.
func (m *Mesh) sendPermitMessage(address string, p permitMessage) { m.sendMessage(address, p) }

// sendMessage sends a datagram that is encoded as an array. A failure is counted and otherwise treated
// like packet loss.
func (m *Mesh) sendMessage(address string, message any) { m.sendFrom(m.conn, address, message) }

// sendFrom sends a datagram like sendMessage, from a socket.
func (m *Mesh) sendFrom(conn net.PacketConn, address string, message any) {
	data, err := cbor.Marshal(message)
	sent := 0
	if err == nil {
		sent, err = writeFrom(conn, address, data)
	}
	m.recordSent(sent, err)
}

// ownerRetryMs is how long an owner that did not answer in time is not asked again.
const ownerRetryMs clock.Millis = 500

func (m *Mesh) recordPermitTimeout(owner string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.permitTimeouts++
	if p := m.peers[owner]; p != nil {
		p.permitTimeoutMs = m.clock.Monotonic()
	}
}

func (m *Mesh) recordProvisionalPermit() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.provisionalPermits++
}

// ownerUnresponsive reports whether an owner did not answer a permit request within the last ownerRetryMs.
func (m *Mesh) ownerUnresponsive(owner string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[owner]
	return p != nil && p.permitTimeoutMs > 0 && m.clock.Monotonic()-p.permitTimeoutMs < ownerRetryMs
}

// ExpirePermits removes permits whose release message was lost. It must be called at least once a
// second.
func (m *Mesh) ExpirePermits() { m.ledger.Expire() }
