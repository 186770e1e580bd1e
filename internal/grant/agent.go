package grant

import (
	"context"
	"errors"
	"math"
	"sync"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
)

// ErrNoAnswer means that an owner did not reply in time or does not know the member. The requesting
// box then decides by itself.
var ErrNoAnswer = errors.New("owner did not reply")

// Timeouts of questions between boxes of one failure domain.
const (
	// resendMs is the time after which a question is sent a second time.
	resendMs clock.Millis = 12
	// askTimeoutMs is the total time to wait for a reply.
	askTimeoutMs clock.Millis = 30
	// backoffMs is how long no questions are sent to an owner that did not reply.
	backoffMs = clock.Second
)

// Owner is the box that owns a member.
type Owner struct {
	Name    string
	Address string
	// Self is set when the owner is this box.
	Self bool
}

// Agent grants slots on the members that this box owns and requests slots from the owners of other
// members. It is safe for concurrent use.
type Agent struct {
	box         Box
	send        func(address string, body []byte)
	memberState func(memberID MemberID) (MemberState, bool)
	clock       clock.Clock
	logger      *zap.Logger

	mu        sync.Mutex
	ledger    *Ledger
	directory *Directory
	sequence  uint16
	pending   map[uint16]chan Reply
	backoff   map[string]clock.Millis
}

// NewAgent returns an agent. The send function sends a body on the channel. The memberState function
// returns the state of a member in its pool.
func NewAgent(
	box Box, send func(address string, body []byte), memberState func(memberID MemberID) (MemberState, bool),
	c clock.Clock, logger *zap.Logger,
) *Agent {
	return &Agent{
		box: box, send: send, memberState: memberState, clock: c, logger: logger,
		ledger: NewLedger(DefaultSettings()), directory: NewDirectory(),
		pending: map[uint16]chan Reply{}, backoff: map[string]clock.Millis{},
	}
}

// Query is a question together with the requesting box's counts of requests in flight.
type Query struct {
	Question
	Session Session
	// First is set when the member is the session's first choice.
	First    bool
	InFlight int
	Total    int
}

// Ask sends a question to a member's owner.
func (a *Agent) Ask(ctx context.Context, owner Owner, q Query) (Reply, error) {
	message := askMessage{
		Box: a.box, MemberID: q.MemberID, Session: q.Session, Flags: q.flags(),
		InFlight: clamp(q.InFlight), Total: clamp(q.Total),
	}
	if owner.Self {
		return checkKnown(a.decide(message))
	}
	if owner.Address == "" || a.inBackoff(owner.Name) {
		return Reply{}, ErrNoAnswer
	}
	return a.askRemote(ctx, owner, message)
}

func (q Query) flags() byte {
	flags := byte(0)
	for _, f := range []struct {
		set  bool
		flag byte
	}{{q.Lookup, flagLookup}, {q.WantSlot, flagWant}, {q.BelowMean, flagBelowMean}, {q.First, flagFirst}} {
		if f.set {
			flags |= f.flag
		}
	}
	return flags
}

func clamp(count int) uint16 { return uint16(min(max(0, count), math.MaxUint16)) }

// checkKnown returns ErrNoAnswer for a reply of an owner that does not know the member.
func checkKnown(r Reply) (Reply, error) {
	if r.unknown {
		return Reply{}, ErrNoAnswer
	}
	return r, nil
}

// encode returns the body of the reply's datagram.
func (r Reply) encode(sequence uint16) []byte {
	if r.Hint != 0 {
		return encodeMessage(kindHint, hintMessage{Sequence: sequence, Hint: r.Hint})
	}
	flags := byte(0)
	for _, f := range []struct {
		set  bool
		flag byte
	}{{r.Granted, flagGranted}, {r.Unavailable, flagUnavailable}, {r.unknown, flagUnknown}} {
		if f.set {
			flags |= f.flag
		}
	}
	excess := int8(min(max(r.Excess, math.MinInt8), math.MaxInt8))
	return encodeMessage(kindReply, replyMessage{Sequence: sequence, Flags: flags, Excess: excess})
}

func (m replyMessage) reply() Reply {
	return Reply{
		Granted: m.Flags&flagGranted != 0, Unavailable: m.Flags&flagUnavailable != 0,
		unknown: m.Flags&flagUnknown != 0, Excess: int(m.Excess),
	}
}

// askRemote sends the question, and sends it again if no reply arrives in time. The duplicate is
// harmless because counts are absolute.
func (a *Agent) askRemote(ctx context.Context, owner Owner, message askMessage) (Reply, error) {
	replies := a.addPending(&message)
	defer a.removePending(message.Sequence)
	body := encodeMessage(kindAsk, message)
	for _, waitMs := range []clock.Millis{resendMs, askTimeoutMs - resendMs} {
		a.send(owner.Address, body)
		wait, cancel := context.WithTimeout(ctx, waitMs.Duration())
		select {
		case reply := <-replies:
			cancel()
			return checkKnown(reply)
		case <-wait.Done():
			cancel()
		}
	}
	if ctx.Err() == nil {
		a.startBackoff(owner.Name)
		a.logger.Debug("owner did not reply; backing off", zap.String("owner", owner.Name))
	}
	return Reply{}, ErrNoAnswer
}

func (a *Agent) addPending(message *askMessage) <-chan Reply {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	message.Sequence = a.sequence
	replies := make(chan Reply, 1)
	a.pending[message.Sequence] = replies
	return replies
}

func (a *Agent) removePending(sequence uint16) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, sequence)
}

func (a *Agent) inBackoff(owner string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock.Now() < a.backoff[owner]
}

func (a *Agent) startBackoff(owner string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.backoff[owner] = a.clock.Now() + backoffMs
}

// ReportInFlight reports the number of requests that this box has in flight on a member to the
// member's owner.
func (a *Agent) ReportInFlight(owner Owner, memberID MemberID, inFlight int) {
	message := inFlightMessage{Box: a.box, MemberID: memberID, InFlight: clamp(inFlight)}
	if owner.Self {
		a.applyInFlight(message)
		return
	}
	if owner.Address != "" {
		a.send(owner.Address, encodeMessage(kindInFlight, message))
	}
}

// NotifyPlacement informs the owner of a session's first choice of the member that the session was
// sent to.
func (a *Agent) NotifyPlacement(owner Owner, session Session, memberID MemberID) {
	message := placementMessage{Session: session, MemberID: memberID}
	if owner.Self {
		a.applyPlacement(message)
		return
	}
	if owner.Address != "" {
		a.send(owner.Address, encodeMessage(kindPlacement, message))
	}
}

// RemoveBox removes the counts of a box that has left.
func (a *Agent) RemoveBox(box Box) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.RemoveBox(box)
}

// Sessions returns the number of entries in this box's session directory.
func (a *Agent) Sessions() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.directory.Len()
}

// Receive handles a message of the channel.
func (a *Agent) Receive(from string, body []byte) {
	if err := a.receive(from, body); err != nil {
		a.logger.Debug("message dropped", zap.String("from", from), zap.Error(err))
	}
}

func (a *Agent) receive(from string, body []byte) error {
	if len(body) == 0 {
		return ErrMalformed
	}
	switch body[0] {
	case kindAsk:
		return handle(body, func(m askMessage) { a.send(from, a.decide(m).encode(m.Sequence)) })
	case kindReply:
		return handle(body, func(m replyMessage) { a.deliver(m.Sequence, m.reply()) })
	case kindHint:
		return handle(body, func(m hintMessage) { a.deliver(m.Sequence, Reply{Hint: m.Hint}) })
	case kindInFlight:
		return handle(body, a.applyInFlight)
	case kindPlacement:
		return handle(body, a.applyPlacement)
	default:
		return ErrMalformed
	}
}

// handle decodes a message and applies the function to it.
func handle[T any](body []byte, apply func(T)) error {
	message, err := decodeMessage[T](body)
	if err != nil {
		return err
	}
	apply(message)
	return nil
}

func (a *Agent) deliver(sequence uint16, r Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if replies := a.pending[sequence]; replies != nil {
		select {
		case replies <- r:
		default:
			// The reply is a duplicate and is dropped.
		}
	}
}

func (a *Agent) applyInFlight(m inFlightMessage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.SetInFlight(m.MemberID, m.Box, int(m.InFlight), a.clock.Now())
}

func (a *Agent) applyPlacement(m placementMessage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.directory.Set(m.Session, m.MemberID)
}

// decide replies to a question as the member's owner.
func (a *Agent) decide(m askMessage) Reply {
	memberState, known := a.memberState(m.MemberID)
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.Flags&flagLookup != 0 {
		if hint, found := a.directory.Find(m.Session); found && hint != m.MemberID {
			return Reply{Hint: hint}
		}
	}
	switch {
	case m.Flags&flagWant == 0:
		return Reply{}
	case !known:
		return Reply{unknown: true}
	case memberState.Unavailable:
		return Reply{Unavailable: true}
	}
	granted, excess := a.ledger.Ask(Ask{
		MemberID: m.MemberID, Box: m.Box, InFlight: int(m.InFlight), Total: int(m.Total),
		BelowMean: m.Flags&flagBelowMean != 0,
	}, memberState, a.clock.Now())
	if granted && m.Flags&flagFirst != 0 {
		a.directory.Remove(m.Session)
	}
	return Reply{Granted: granted, Excess: excess}
}
