package mesh

import (
	"context"
	"net"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/streams"
)

// Each stream has a few owners among the boxes, in different failure domains if possible. The box that begins the
// stream tells them its origin; the box at which a caller takes it up asks them. In a small fleet it asks all boxes,
// which also finds streams of which the owners were not told.

const (
	// streamOwners is how many other boxes are told of a stream. One of them may be cut off, and another one may have
	// crashed. In a large fleet, where bytes are scarce, it is streamOwnersLarge.
	streamOwners      = 3
	streamOwnersLarge = 2
	// maxOriginRecords limits the records of a datagram, at up to 15 bytes each.
	maxOriginRecords = 64
	// originTimeoutMs is how long a box waits for answers about a stream. It covers a few round trips between failure
	// domains and is short enough for a refusal at once.
	originTimeoutMs clock.Millis = 40
	// originResendMs is the interval at which a question is repeated, as datagrams may get lost. It covers a round trip
	// between failure domains.
	originResendMs clock.Millis = 10
	// maxAsks is how often a box is asked at most.
	maxAsks = int(originTimeoutMs / originResendMs)
)

// originMessageKind distinguishes messages about streams, and those about fatal parts and about attempts that share
// their form. Its values differ from those of permitMessageKind.
type originMessageKind uint8

const (
	// originTell tells the origins of streams.
	originTell originMessageKind = 16
	// originAsk asks for the origin of a stream, and originAnswer answers.
	originAsk    originMessageKind = 17
	originAnswer originMessageKind = 18
)

// Datagrams about streams are arrays like those about permits, but of other lengths, so that boxes of earlier releases
// ignore them. The second byte is the kind.
type (
	// originTold tells the origins of streams.
	originTold struct {
		_       struct{} `cbor:",toarray"`
		Kind    originMessageKind
		Records []streams.Record
	}
	// originQuestion asks for the origin of a stream.
	originQuestion struct {
		_    struct{} `cbor:",toarray"`
		Kind originMessageKind
		// Number is chosen by the asking box.
		Number uint32
		Stream streams.ID
		Pool   namekey.Key
	}
	// originReply answers a question.
	originReply struct {
		_      struct{} `cbor:",toarray"`
		Kind   originMessageKind
		Number uint32
		streams.Answer
		// from is the address of the box that answered.
		from string
	}
)

func isOriginMessage(data []byte) bool {
	return isPermitMessage(data) && len(data) > 1 && data[1] >= byte(originTell)
}

// inquiries are this box's questions of one kind that wait for answers.
type inquiries[R any] struct {
	mu         sync.Mutex
	nextNumber uint32
	pending    map[uint32]chan R
}

func newInquiries[R any](firstNumber uint32) *inquiries[R] {
	return &inquiries[R]{nextNumber: firstNumber, pending: map[uint32]chan R{}}
}

// start begins a question to a number of boxes.
func (q *inquiries[R]) start(boxes int) (number uint32, replies chan R) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.nextNumber++
	replies = make(chan R, maxAsks*boxes)
	q.pending[q.nextNumber] = replies
	return q.nextNumber, replies
}

func (q *inquiries[R]) finish(number uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, number)
}

// resolve delivers an answer to the waiting question. Late and surplus answers are discarded.
func (q *inquiries[R]) resolve(number uint32, reply R) {
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
		for _, owner := range m.streamOwnersLocked(r.ID, m.ownersPerStreamLocked()) {
			byOwner[owner.Address] = append(byOwner[owner.Address], r)
		}
	}
	m.mu.Unlock()
	for address, list := range byOwner {
		for part := range slices.Chunk(list, maxOriginRecords) {
			m.sendOriginMessage(address, originTold{Kind: originTell, Records: part})
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
	resend := m.resends(ctx)
	q.ask()
	for len(q.waiting) > 0 && !q.known {
		select {
		case reply := <-q.replies:
			q.add(reply)
		case <-resend:
			q.ask()
		case <-ctx.Done():
			return q.answers, m.coversDomains(q.domains)
		}
	}
	return q.answers, m.coversDomains(q.domains)
}

// resends returns a channel that gets a value each time a question is to be repeated, until the context ends.
func (m *Mesh) resends(ctx context.Context) <-chan struct{} {
	resend := make(chan struct{})
	guard.Go("questions about streams", func() {
		m.clock.Every(ctx, originResendMs, func(clock.Millis) {
			select {
			case resend <- struct{}{}:
			case <-ctx.Done():
			}
		})
	})
	return resend
}

// inquiry is a question about one stream.
type inquiry struct {
	mesh     *Mesh
	question originQuestion
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
		question: originQuestion{Kind: originAsk, Stream: id, Pool: pool},
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
	domain, expected := q.waiting[reply.from]
	if !expected {
		return
	}
	delete(q.waiting, reply.from)
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
		count := max(m.ownersPerStreamLocked()+1, len(m.domainsLocked()))
		for _, owner := range m.streamOwnersLocked(id, count) {
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

// handleOriginMessage processes a datagram about streams.
func (m *Mesh) handleOriginMessage(data []byte, from net.Addr) {
	var err error
	switch originMessageKind(data[1]) {
	case originTell:
		var told originTold
		if err = cbor.Unmarshal(data, &told); err == nil {
			m.recordOrigins(told.Records)
		}
	case originAsk:
		var question originQuestion
		if err = cbor.Unmarshal(data, &question); err == nil {
			m.sendOriginMessage(from.String(), originReply{
				Kind: originAnswer, Number: question.Number, Answer: m.answerOrigin(question.Stream, question.Pool),
			})
		}
	case originAnswer:
		reply := originReply{from: from.String()}
		if err = cbor.Unmarshal(data, &reply); err == nil {
			m.inquiries.resolve(reply.Number, reply)
		}
	case partTell:
		var told partsTold
		if err = cbor.Unmarshal(data, &told); err == nil && m.recordPartEvents(told.Events) {
			m.BroadcastCrashEvents()
		}
	case attemptsAsk, attemptsAnswer:
		err = m.handleAttemptsMessage(data, from)
	case paceFindingKind:
		err = m.handlePaceMessage(data)
	default:
		err = ErrInvalid
	}
	if err != nil {
		m.mu.Lock()
		m.ignored++
		m.mu.Unlock()
	}
}

// sendOriginMessage sends a datagram about streams.
func (m *Mesh) sendOriginMessage(address string, message any) { m.sendMessage(address, message) }
