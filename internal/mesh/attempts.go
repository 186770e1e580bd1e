package mesh

import (
	"context"
	"net"

	"github.com/fxamacker/cbor/v2"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// maxWitnesses is how many boxes are asked about a pool at once. Some of them may have lost the same paths.
const maxWitnesses = 3

const (
	// attemptsAsk asks how the attempts of a box at a pool went, and attemptsAnswer answers.
	attemptsAsk    originMessageKind = 20
	attemptsAnswer originMessageKind = 21
)

type (
	// attemptsQuestion asks for the attempts at a pool that began within a span of ages.
	attemptsQuestion struct {
		_    struct{} `cbor:",toarray"`
		Kind originMessageKind
		// Number is chosen by the asking box.
		Number       uint32
		Pool         namekey.Key
		FromMs, ToMs clock.Millis
	}
	// attemptsReply answers a question.
	attemptsReply struct {
		_      struct{} `cbor:",toarray"`
		Kind   originMessageKind
		Number uint32
		Attempts
		// from is the address of the box that answered.
		from string
	}
)

// Attempts are the attempts of a box at a pool, and how many of them have got a response.
type Attempts struct {
	Started, Answered int
}

// AskAttempts asks some boxes how their attempts at a pool went that began within a span of ages. It returns the
// answers that arrive within originTimeoutMs.
func (m *Mesh) AskAttempts(ctx context.Context, pool namekey.Key, fromMs, toMs clock.Millis) []Attempts {
	ctx, cancel := m.clock.WithTimeout(ctx, originTimeoutMs)
	defer cancel()
	waiting := m.witnesses(pool)
	question := attemptsQuestion{Kind: attemptsAsk, Pool: pool, FromMs: fromMs, ToMs: toMs}
	var replies chan attemptsReply
	question.Number, replies = m.attemptInquiries.start(len(waiting))
	defer m.attemptInquiries.finish(question.Number)
	list := []Attempts{}
	resend := m.resends(ctx)
	ask := func() {
		for address := range waiting {
			m.sendOriginMessage(address, question)
		}
	}
	ask()
	for len(waiting) > 0 {
		select {
		case reply := <-replies:
			if waiting[reply.from] {
				delete(waiting, reply.from)
				list = append(list, reply.Attempts)
			}
		case <-resend:
			ask()
		case <-ctx.Done():
			return list
		}
	}
	return list
}

// witnesses returns the addresses of some boxes that don't report that they can't reach a pool.
func (m *Mesh) witnesses(pool namekey.Key) map[string]bool {
	now := m.clock.Monotonic()
	m.mu.Lock()
	defer m.mu.Unlock()
	candidates := m.forwardCandidatesLocked(ForwardRequest{Pool: pool}, now)
	m.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	addresses := map[string]bool{}
	for _, p := range candidates[:min(maxWitnesses, len(candidates))] {
		addresses[p.Address] = true
	}
	return addresses
}

func (m *Mesh) handleAttemptsMessage(data []byte, from net.Addr) error {
	if originMessageKind(data[1]) == attemptsAnswer {
		reply := attemptsReply{from: from.String()}
		err := cbor.Unmarshal(data, &reply)
		if err == nil {
			m.attemptInquiries.resolve(reply.Number, reply)
		}
		return err
	}
	var question attemptsQuestion
	if err := cbor.Unmarshal(data, &question); err != nil {
		return err
	}
	reply := attemptsReply{Kind: attemptsAnswer, Number: question.Number}
	reply.Started, reply.Answered = m.attemptsBetween(question.Pool, question.FromMs, question.ToMs)
	m.sendOriginMessage(from.String(), reply)
	return nil
}
