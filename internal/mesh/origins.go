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
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/streams"
)

// Each stream has a few owners among the boxes, in different failure domains if possible. The box that begins the
// stream tells them its origin; the box at which a caller takes it up asks them. In a small fleet it asks all boxes,
// which also finds streams of which the owners were not told.

const (
	// streamOwners is how many other boxes are told of a stream. One of them may be cut off, and another one may have
	// crashed.
	streamOwners = 3
	// maxOriginRecords limits the records of a datagram, at up to 20 bytes each.
	maxOriginRecords = 64
	// originTimeoutMs is how long a box waits for answers about a stream. It covers a few round trips between failure
	// domains and is short enough for a refusal at once.
	originTimeoutMs clock.Millis = 40
	// originResendMs is when a question is repeated, as datagrams may get lost.
	originResendMs clock.Millis = 15
)

// originMessageKind distinguishes messages about streams. Its values differ from those of permitMessageKind.
type originMessageKind uint8

const (
	// originTell tells the origins of streams.
	originTell originMessageKind = 16
	// originAsk asks for the origin of a stream, and originAnswer answers.
	originAsk    originMessageKind = 17
	originAnswer originMessageKind = 18
)

// originMessage is one datagram about streams. It has as many fields as a permitMessage, and boxes of earlier releases
// ignore it because the types differ.
type originMessage struct {
	_    struct{} `cbor:",toarray"`
	Kind originMessageKind
	// Number is the number of the question that the asking box chose.
	Number uint32
	Pool   namekey.Key
	// Records are the streams with their origins. Of a question, the origin is unknown.
	Records []streams.Record
	// View is what the answering box knows about the pool.
	View streams.View
}

// isOriginMessage reports whether a datagram that is an array is about streams. The second byte is the kind.
func isOriginMessage(data []byte) bool {
	return isPermitMessage(data) && len(data) > 1 && data[1] >= byte(originTell)
}

func decodeOriginMessage(data []byte) (originMessage, error) {
	var o originMessage
	if err := cbor.Unmarshal(data, &o); err != nil {
		return o, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	wrongCount := o.Kind != originTell && len(o.Records) != 1
	if o.Kind < originTell || o.Kind > originAnswer || wrongCount {
		return o, fmt.Errorf("%w: message about streams: kind %d, %d records", ErrInvalid, o.Kind, len(o.Records))
	}
	return o, nil
}

// originReply is an answer with the box that sent it.
type originReply struct {
	address string
	streams.Answer
}

// inquiries are this box's questions that wait for answers.
type inquiries struct {
	mu         sync.Mutex
	nextNumber uint32
	pending    map[uint32]chan originReply
}

// start begins a question to a number of boxes.
func (q *inquiries) start(boxes int) (number uint32, replies chan originReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.nextNumber++
	// Each box may answer twice, as the question is repeated.
	replies = make(chan originReply, 2*boxes) //nolint:mnd // See above.
	q.pending[q.nextNumber] = replies
	return q.nextNumber, replies
}

func (q *inquiries) finish(number uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, number)
}

// resolve delivers an answer to the waiting question. Late and surplus answers are discarded.
func (q *inquiries) resolve(number uint32, reply originReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case q.pending[number] <- reply:
	default:
	}
}

// TellOrigins tells the owners of streams where these have begun.
func (m *Mesh) TellOrigins(records []streams.Record) {
	byOwner := map[string][]streams.Record{}
	m.mu.Lock()
	for _, r := range records {
		for _, owner := range m.streamOwnersLocked(r.ID, streamOwners) {
			byOwner[owner.Address] = append(byOwner[owner.Address], r)
		}
	}
	m.mu.Unlock()
	for address, list := range byOwner {
		for part := range slices.Chunk(list, maxOriginRecords) {
			m.sendOriginMessage(address, originMessage{Kind: originTell, Records: part})
		}
	}
}

// AskOrigin asks other boxes for the origin of a stream, until one knows it, all have answered, or originTimeoutMs is
// over. It also reports whether a box of each failure domain has answered.
func (m *Mesh) AskOrigin(ctx context.Context, id streams.ID, pool namekey.Key) ([]streams.Answer, bool) {
	ctx, cancel := m.clock.WithTimeout(ctx, originTimeoutMs)
	defer cancel()
	q := m.newInquiry(id, pool)
	defer m.inquiries.finish(q.question.Number)
	resend := make(chan struct{})
	timer := m.clock.AfterFunc(originResendMs, func() { close(resend) })
	defer timer.Stop()
	q.ask()
	for len(q.waiting) > 0 && !q.known {
		select {
		case reply := <-q.replies:
			q.add(reply)
		case <-resend:
			resend = nil
			q.ask()
		case <-ctx.Done():
			return q.answers, m.coversDomains(q.domains)
		}
	}
	return q.answers, m.coversDomains(q.domains)
}

// inquiry is a question about one stream.
type inquiry struct {
	mesh     *Mesh
	question originMessage
	replies  chan originReply
	// waiting holds the failure domains of the boxes that have not answered, by address.
	waiting map[string]string
	answers []streams.Answer
	// known is set once an answer tells the origin.
	known bool
	// domains are the failure domains of the boxes that have answered, and that of this box.
	domains map[string]bool
}

func (m *Mesh) newInquiry(id streams.ID, pool namekey.Key) *inquiry {
	q := &inquiry{
		mesh: m, waiting: m.originTargets(id), answers: []streams.Answer{},
		domains:  map[string]bool{m.self.FailureDomain: true},
		question: originMessage{Kind: originAsk, Pool: pool, Records: []streams.Record{{ID: id}}},
	}
	q.question.Number, q.replies = m.inquiries.start(len(q.waiting))
	return q
}

// ask sends the question to the boxes that have not answered.
func (q *inquiry) ask() {
	for address := range q.waiting {
		q.mesh.sendOriginMessage(address, q.question)
	}
}

// add adds an answer, unless the box was not asked or has answered before.
func (q *inquiry) add(reply originReply) {
	domain, expected := q.waiting[reply.address]
	if !expected {
		return
	}
	delete(q.waiting, reply.address)
	q.domains[domain] = true
	q.answers = append(q.answers, reply.Answer)
	q.known = q.known || reply.Origin != streams.Unknown
}

// originTargets returns the boxes to ask for the origin of a stream: their failure domains by address.
func (m *Mesh) originTargets(id streams.ID) map[string]string {
	now := m.clock.Monotonic()
	m.mu.Lock()
	defer m.mu.Unlock()
	targets := map[string]string{}
	if m.directPeers > smallFleetBoxes {
		// The box that began the stream may be among the first, and is not one of those that it told.
		for _, owner := range m.streamOwnersLocked(id, max(streamOwners+1, len(m.domainsLocked()))) {
			targets[owner.Address] = owner.FailureDomain
		}
		return targets
	}
	aliveTimeout := m.aliveTimeoutLocked()
	for _, p := range m.peers {
		if p.keepsStreams && p.firstSeenMs > 0 && now-p.lastSeenMs < aliveTimeout {
			targets[p.Address] = p.FailureDomain
		}
	}
	return targets
}

// coversDomains reports whether a set contains all failure domains with boxes that were alive lately.
func (m *Mesh) coversDomains(domains map[string]bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !slices.ContainsFunc(m.domainsLocked(), func(domain string) bool { return !domains[domain] })
}

// domainsLocked returns the failure domains of all known boxes.
func (m *Mesh) domainsLocked() []string {
	domains := []string{m.self.FailureDomain}
	for _, p := range m.peers {
		if !slices.Contains(domains, p.FailureDomain) {
			domains = append(domains, p.FailureDomain)
		}
	}
	return domains
}

// streamOwnersLocked returns a number of other boxes that own a stream, by rendezvous hashing: the first box of each
// failure domain, then the second one of each, and so on.
func (m *Mesh) streamOwnersLocked(id streams.ID, count int) []Identity {
	names := m.domainsLocked()
	hashes := make([]uint64, len(names))
	for i, name := range names {
		hashes[i] = route.HashName(name)
	}
	ranked := make([][]Identity, len(names))
	for i, at := range route.Rank(route.Key(id), hashes) {
		ranked[i] = m.rankedInDomainLocked(id, names[at])
	}
	owners := []Identity{}
	for rank := 0; len(owners) < count; rank++ {
		found := false
		for _, list := range ranked {
			if rank >= len(list) {
				continue
			}
			found = true
			if len(owners) < count && list[rank].Box != m.self.Box {
				owners = append(owners, list[rank])
			}
		}
		if !found {
			break
		}
	}
	return owners
}

// rankedInDomainLocked returns the boxes of a failure domain that may own streams, in the order for a stream.
func (m *Mesh) rankedInDomainLocked(id streams.ID, domain string) []Identity {
	boxes := slices.DeleteFunc(m.ownersLocked(domain), func(i hashedIdentity) bool {
		p := m.peers[i.Box]
		return p != nil && p.firstSeenMs > 0 && !p.keepsStreams
	})
	slices.SortFunc(boxes, func(a, b hashedIdentity) int {
		return cmp.Compare(route.Score(route.Key(id), a.hash), route.Score(route.Key(id), b.hash))
	})
	list := make([]Identity, len(boxes))
	for i, b := range boxes {
		list[i] = b.Identity
	}
	return list
}

// handleOriginMessage processes a datagram about streams.
func (m *Mesh) handleOriginMessage(data []byte, from net.Addr) {
	o, err := decodeOriginMessage(data)
	if err != nil {
		m.mu.Lock()
		m.ignored++
		m.mu.Unlock()
		return
	}
	switch o.Kind {
	case originTell:
		m.recordOrigins(o.Records)
	case originAsk:
		id := o.Records[0].ID
		answer := m.answerOrigin(id, o.Pool)
		m.sendOriginMessage(from.String(), originMessage{
			Kind: originAnswer, Number: o.Number, View: answer.View,
			Records: []streams.Record{{ID: id, Origin: answer.Origin}},
		})
	case originAnswer:
		m.inquiries.resolve(o.Number, originReply{
			address: from.String(), Answer: streams.Answer{Origin: o.Records[0].Origin, View: o.View},
		})
	}
}

// sendOriginMessage sends a datagram about streams. A failure is counted and otherwise treated like packet loss.
func (m *Mesh) sendOriginMessage(address string, o originMessage) {
	data, err := cbor.Marshal(o)
	sent := 0
	if err == nil {
		sent, err = m.write(address, data)
	}
	m.recordSent(sent, err)
}
