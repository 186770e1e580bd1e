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

// standing is one of ten equal upstreams that three boxes send to.
func standing() Standing {
	return Standing{Pool: 1, Part: 0.1, Boxes: 3, BoundPercent: 125, Slots: 1000}
}

func TestLedger(t *testing.T) {
	t.Run("grants up to the set multiple of the mean", func(t *testing.T) {
		l := NewLedger(DefaultSettings())
		granted := 0
		for held := 1; held <= 40; held++ {
			if ok, _ := l.Ask(Ask{Place: 1, Box: 1, Held: held, Total: 100}, standing(), 0); ok {
				granted++
			}
		}
		// One box told a total of 100, so three run 300 and the mean is 30.
		assert.Equal(t, 37, granted)
	})
	t.Run("counts all boxes", func(t *testing.T) {
		l := NewLedger(DefaultSettings())
		l.Hold(1, 2, 37, 0)
		ok, over := l.Ask(Ask{Place: 1, Box: 1, Held: 1, Total: 100}, standing(), 0)
		assert.False(t, ok)
		assert.Equal(t, 1, over)
	})
	t.Run("makes good a lost release by the next message", func(t *testing.T) {
		l := NewLedger(DefaultSettings())
		l.Hold(1, 2, 30, 0)
		l.Hold(1, 2, 5, 10)
		assert.Equal(t, 5, l.InFlight(1))
	})
	t.Run("frees what a gone box held", func(t *testing.T) {
		l := NewLedger(DefaultSettings())
		l.Hold(1, 2, 30, 0)
		l.Hold(1, 3, 2, 0)
		l.Forget(2)
		assert.Equal(t, 2, l.InFlight(1))
	})
	t.Run("forgets counts that were not told again", func(t *testing.T) {
		l := NewLedger(DefaultSettings())
		l.Hold(1, 2, 37, 0)
		ok, _ := l.Ask(Ask{Place: 1, Box: 1, Held: 1, Total: 100}, standing(), DefaultSettings().HoldMs+1)
		assert.True(t, ok)
	})
	t.Run("settles a session only below the mean", func(t *testing.T) {
		l := NewLedger(DefaultSettings())
		l.Hold(1, 2, 32, 0)
		ask := Ask{Place: 1, Box: 1, Held: 1, Total: 100, Settle: true}
		ok, _ := l.Ask(ask, standing(), 0)
		assert.False(t, ok)
		ask.Settle = false
		ok, _ = l.Ask(ask, standing(), 0)
		assert.True(t, ok)
	})
	t.Run("keeps the slots", func(t *testing.T) {
		l := NewLedger(DefaultSettings())
		s := standing()
		s.Slots = 2
		l.Hold(1, 2, 2, 0)
		ok, _ := l.Ask(Ask{Place: 1, Box: 1, Held: 1, Total: 100}, s, 0)
		assert.False(t, ok)
	})
}

// search runs a search against places that grant, hint or deny, and returns the
// places asked.
func search(s *Search, reply func(q Question) Reply) (asked []Place, granted bool) {
	for {
		q, more := s.Next()
		if !more {
			return asked, false
		}
		asked = append(asked, q.Place)
		if s.Hear(q, reply(q)) {
			return asked, true
		}
	}
}

func TestSearch(t *testing.T) {
	deny := func(Question) Reply { return Reply{Over: 1} }
	t.Run("takes the first choice of a returning session", func(t *testing.T) {
		asked, granted := search(NewSearch(1, []Place{1, 2, 3}, false), func(Question) Reply { return Reply{Granted: true} })
		assert.True(t, granted)
		assert.Equal(t, []Place{1}, asked)
	})
	t.Run("goes where the session is warm", func(t *testing.T) {
		s := NewSearch(1, []Place{1, 2, 3}, false)
		asked, granted := search(s, func(q Question) Reply {
			if q.Lookup {
				return Reply{Hint: 3}
			}
			assert.False(t, q.Settle, "a warm place may be above the mean")
			return Reply{Granted: true}
		})
		assert.True(t, granted)
		assert.Equal(t, []Place{1, 3}, asked)
		assert.False(t, s.News(3), "its owner knows")
	})
	t.Run("asks the first choice's owner though it takes nothing", func(t *testing.T) {
		s := NewSearch(1, []Place{2, 3}, false)
		asked, _ := search(s, func(q Question) Reply {
			assert.Equal(t, q.Want, q.Place != 1)
			return Reply{Granted: q.Want}
		})
		assert.Equal(t, []Place{1, 2}, asked)
		assert.True(t, s.News(2))
	})
	t.Run("ends when all deny, with the least loaded", func(t *testing.T) {
		s := NewSearch(1, []Place{1, 2, 3}, false)
		asked, granted := search(s, func(q Question) Reply { return Reply{Over: 10 - int(q.Place)} })
		assert.False(t, granted)
		assert.LessOrEqual(t, len(asked), MaxAsks)
		least, found := s.Least()
		assert.True(t, found)
		assert.EqualValues(t, 3, least)
	})
	t.Run("has nobody left when all places are closed", func(t *testing.T) {
		s := NewSearch(1, []Place{1, 2}, false)
		_, granted := search(s, func(Question) Reply { return Reply{Closed: true} })
		assert.False(t, granted)
		_, found := s.Least()
		assert.False(t, found)
	})
	t.Run("ends for a new session too", func(t *testing.T) {
		_, granted := search(NewSearch(1, []Place{1}, true), deny)
		assert.False(t, granted)
	})
}

// pair is two agents that hear each other unless lost.
func pair(t *testing.T) (asker *Agent, owner Owner, lose *bool) {
	t.Helper()
	lost := false
	var other *Agent
	known := func(Place) (Standing, bool) { return standing(), true }
	asker = NewAgent(1, func(_ string, body []byte) {
		if !lost {
			other.Receive("asker", body)
		}
	}, known, clock.New(), zap.NewNop())
	other = NewAgent(2, func(_ string, body []byte) { asker.Receive("other", body) }, known, clock.New(), zap.NewNop())
	return asker, Owner{Name: "other", Address: "other"}, &lost
}

func TestAgent(t *testing.T) {
	question := Asking{Question: Question{Place: 7, Want: true, Lookup: true}, Session: 5, Held: 1, Total: 100}
	t.Run("asks an owner and hears of a session's place", func(t *testing.T) {
		asker, owner, _ := pair(t)
		reply, err := asker.Ask(t.Context(), owner, question)
		require.NoError(t, err)
		assert.True(t, reply.Granted)
		asker.News(owner, 5, 9)
		reply, err = asker.Ask(t.Context(), owner, question)
		require.NoError(t, err)
		assert.EqualValues(t, 9, reply.Hint)
	})
	t.Run("gives up on a silent owner soon, and leaves it alone for a while", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			asker, owner, lost := pair(t)
			*lost = true
			began := clock.New().Now()
			_, err := asker.Ask(t.Context(), owner, question)
			require.ErrorIs(t, err, ErrNoAnswer)
			assert.Equal(t, askTimeoutMs, clock.New().Now()-began)
			began = clock.New().Now()
			_, err = asker.Ask(t.Context(), owner, question)
			require.ErrorIs(t, err, ErrNoAnswer)
			assert.Zero(t, clock.New().Now()-began)
		})
	})
	t.Run("gives up when the caller leaves", func(t *testing.T) {
		asker, owner, lost := pair(t)
		*lost = true
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := asker.Ask(ctx, owner, question)
		assert.ErrorIs(t, err, ErrNoAnswer)
	})
}

func FuzzReceive(f *testing.F) {
	f.Add(encodeMessage(kindAsk, askMessage{Box: 1, Place: 2}))
	f.Add(encodeMessage(kindReply, replyMessage{Sequence: 1}))
	f.Add(encodeMessage(kindHold, holdMessage{Box: 1, Place: 2, Held: 3}))
	f.Add(encodeMessage(kindNews, newsMessage{Session: 1, Place: 2}))
	f.Fuzz(func(t *testing.T, body []byte) {
		agent := NewAgent(1, func(string, []byte) {}, func(Place) (Standing, bool) { return standing(), true },
			clock.New(), zap.NewNop())
		if err := agent.receive("x", body); err != nil {
			require.ErrorIs(t, err, ErrMalformed)
		}
	})
}
