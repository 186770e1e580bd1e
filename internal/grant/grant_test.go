package grant

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
)

// testMemberState returns the state of one of ten equal upstreams that receive requests from three boxes.
func testMemberState() MemberState {
	return MemberState{Pool: 1, WeightFraction: 0.1, Boxes: 3, BoundPercent: 125, Slots: 1000}
}

func TestLedger(t *testing.T) {
	t.Run("grants up to the load bound", func(t *testing.T) {
		l := NewLedger(DefaultSettings())
		granted := 0
		for inFlight := 1; inFlight <= 40; inFlight++ {
			if ok, _ := l.Ask(Ask{MemberID: 1, Box: 1, InFlight: inFlight, Total: 100}, testMemberState(), 0); ok {
				granted++
			}
		}
		// One box reported a total of 100, so three boxes are assumed to have 300 in flight and the mean is 30.
		assert.Equal(t, 37, granted)
	})
	t.Run("counts the requests of all boxes", func(t *testing.T) {
		l := NewLedger(DefaultSettings())
		l.SetInFlight(1, 2, 37, 0)
		ok, excess := l.Ask(Ask{MemberID: 1, Box: 1, InFlight: 1, Total: 100}, testMemberState(), 0)
		assert.False(t, ok)
		assert.Equal(t, 1, excess)
	})
	t.Run("corrects a lost release with the next report", func(t *testing.T) {
		l := NewLedger(DefaultSettings())
		l.SetInFlight(1, 2, 30, 0)
		l.SetInFlight(1, 2, 5, 10)
		assert.Equal(t, 5, l.InFlight(1))
	})
	t.Run("removes the counts of a box that has left", func(t *testing.T) {
		l := NewLedger(DefaultSettings())
		l.SetInFlight(1, 2, 30, 0)
		l.SetInFlight(1, 3, 2, 0)
		l.RemoveBox(2)
		assert.Equal(t, 2, l.InFlight(1))
	})
	t.Run("expires counts that were not repeated", func(t *testing.T) {
		l := NewLedger(DefaultSettings())
		l.SetInFlight(1, 2, 37, 0)
		ok, _ := l.Ask(Ask{MemberID: 1, Box: 1, InFlight: 1, Total: 100}, testMemberState(), DefaultSettings().CountTTLMs+1)
		assert.True(t, ok)
	})
	t.Run("accepts a new session only below the mean", func(t *testing.T) {
		l := NewLedger(DefaultSettings())
		l.SetInFlight(1, 2, 32, 0)
		ask := Ask{MemberID: 1, Box: 1, InFlight: 1, Total: 100, BelowMean: true}
		ok, _ := l.Ask(ask, testMemberState(), 0)
		assert.False(t, ok)
		ask.BelowMean = false
		ok, _ = l.Ask(ask, testMemberState(), 0)
		assert.True(t, ok)
	})
	t.Run("limits requests to the slots", func(t *testing.T) {
		l := NewLedger(DefaultSettings())
		s := testMemberState()
		s.Slots = 2
		l.SetInFlight(1, 2, 2, 0)
		ok, _ := l.Ask(Ask{MemberID: 1, Box: 1, InFlight: 1, Total: 100}, s, 0)
		assert.False(t, ok)
	})
}

// runSearch runs a search against members that grant, hint or deny, and returns the members asked.
func runSearch(s *Search, reply func(q Question) Reply) (asked []MemberID, granted bool) {
	for {
		q, more := s.Next()
		if !more {
			return asked, false
		}
		asked = append(asked, q.MemberID)
		if s.HandleReply(q, reply(q)) {
			return asked, true
		}
	}
}

func TestSearch(t *testing.T) {
	deny := func(Question) Reply { return Reply{Excess: 1} }
	t.Run("selects the first choice of a known session", func(t *testing.T) {
		asked, granted := runSearch(NewSearch(1, []MemberID{1, 2, 3}, false), func(Question) Reply { return Reply{Granted: true} })
		assert.True(t, granted)
		assert.Equal(t, []MemberID{1}, asked)
	})
	t.Run("selects the member with the session's cached prefix", func(t *testing.T) {
		s := NewSearch(1, []MemberID{1, 2, 3}, false)
		asked, granted := runSearch(s, func(q Question) Reply {
			if q.Lookup {
				return Reply{Hint: 3}
			}
			assert.False(t, q.BelowMean, "a member with the cached prefix may be above the mean")
			return Reply{Granted: true}
		})
		assert.True(t, granted)
		assert.Equal(t, []MemberID{1, 3}, asked)
		assert.False(t, s.MustNotify(3), "the owner gave the hint")
	})
	t.Run("asks the owner of a first choice that does not accept new work", func(t *testing.T) {
		s := NewSearch(1, []MemberID{2, 3}, false)
		asked, _ := runSearch(s, func(q Question) Reply {
			assert.Equal(t, q.WantSlot, q.MemberID != 1)
			return Reply{Granted: q.WantSlot}
		})
		assert.Equal(t, []MemberID{1, 2}, asked)
		assert.True(t, s.MustNotify(2))
	})
	t.Run("ends when all members deny and returns the least loaded one", func(t *testing.T) {
		s := NewSearch(1, []MemberID{1, 2, 3}, false)
		asked, granted := runSearch(s, func(q Question) Reply { return Reply{Excess: 10 - int(q.MemberID)} })
		assert.False(t, granted)
		assert.LessOrEqual(t, len(asked), MaxAsks)
		least, found := s.LeastLoaded()
		assert.True(t, found)
		assert.EqualValues(t, 3, least)
	})
	t.Run("returns no member when all members are closed", func(t *testing.T) {
		s := NewSearch(1, []MemberID{1, 2}, false)
		_, granted := runSearch(s, func(Question) Reply { return Reply{Unavailable: true} })
		assert.False(t, granted)
		_, found := s.LeastLoaded()
		assert.False(t, found)
	})
	t.Run("ends for a new session when its only member denies", func(t *testing.T) {
		_, granted := runSearch(NewSearch(1, []MemberID{1}, true), deny)
		assert.False(t, granted)
	})
}

// newAgentPair returns an agent and an owner to which it can send messages. Setting lose drops the
// agent's messages to the owner.
func newAgentPair(t *testing.T) (requester *Agent, owner Owner, lose *bool) {
	t.Helper()
	lost := false
	var other *Agent
	known := func(MemberID) (MemberState, bool) { return testMemberState(), true }
	requester = NewAgent(1, func(_ string, body []byte) {
		if !lost {
			other.Receive("requester", body)
		}
	}, known, clock.New(), zap.NewNop())
	other = NewAgent(2, func(_ string, body []byte) { requester.Receive("other", body) }, known, clock.New(), zap.NewNop())
	return requester, Owner{Name: "other", Address: "other"}, &lost
}

func TestAgent(t *testing.T) {
	query := Query{Question: Question{MemberID: 7, WantSlot: true, Lookup: true}, Session: 5, InFlight: 1, Total: 100}
	t.Run("asks an owner and gets a hint to the session's member", func(t *testing.T) {
		requester, owner, _ := newAgentPair(t)
		reply, err := requester.Ask(t.Context(), owner, query)
		require.NoError(t, err)
		assert.True(t, reply.Granted)
		requester.NotifyPlacement(owner, 5, 9)
		reply, err = requester.Ask(t.Context(), owner, query)
		require.NoError(t, err)
		assert.EqualValues(t, 9, reply.Hint)
	})
	t.Run("times out on a silent owner and backs off from it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			requester, owner, lost := newAgentPair(t)
			*lost = true
			startedAt := clock.New().Now()
			_, err := requester.Ask(t.Context(), owner, query)
			require.ErrorIs(t, err, ErrNoAnswer)
			assert.Equal(t, askTimeoutMs, clock.New().Now()-startedAt)
			startedAt = clock.New().Now()
			_, err = requester.Ask(t.Context(), owner, query)
			require.ErrorIs(t, err, ErrNoAnswer)
			assert.Zero(t, clock.New().Now()-startedAt)
		})
	})
	t.Run("returns when the context is cancelled", func(t *testing.T) {
		requester, owner, lost := newAgentPair(t)
		*lost = true
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := requester.Ask(ctx, owner, query)
		assert.ErrorIs(t, err, ErrNoAnswer)
	})
}

func FuzzReceive(f *testing.F) {
	f.Add(encodeMessage(kindAsk, askMessage{Box: 1, MemberID: 2}))
	f.Add(encodeMessage(kindReply, replyMessage{Sequence: 1}))
	f.Add(encodeMessage(kindInFlight, inFlightMessage{Box: 1, MemberID: 2, InFlight: 3}))
	f.Add(encodeMessage(kindPlacement, placementMessage{Session: 1, MemberID: 2}))
	f.Fuzz(func(t *testing.T, body []byte) {
		agent := NewAgent(1, func(string, []byte) {}, func(MemberID) (MemberState, bool) { return testMemberState(), true },
			clock.New(), zap.NewNop())
		if err := agent.receive("x", body); err != nil {
			require.ErrorIs(t, err, ErrMalformed)
		}
	})
}
