package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/platform/standin"
)

// visited returns a ledger of requests that a box sent to a server, one each 200 ms; say is what
// the server said to the first.
func visited(count int, say func(a *standin.Arrival)) *ledger {
	l := newLedger()
	began := time.Now()
	for i := range count {
		at := began.Add(time.Duration(i) * 200 * time.Millisecond)
		call := standin.Call{ID: fmt.Sprint("w", i), Kind: standin.Safe}
		a := standin.Arrival{RequestID: call.ID, Server: "s@1", At: at}
		if i == 0 {
			say(&a)
		}
		l.noteArrival(a)
		l.noteOutcome(standin.Outcome{
			Call: call, Box: "b", Sent: at, Ended: at, Status: http.StatusServiceUnavailable, Whole: true,
		})
	}
	return l
}

// TestCheckWords sends to servers as boxes would that don't hear what servers say.
func TestCheckWords(t *testing.T) {
	const rest = "rest that a server asked for"
	asks := func(a *standin.Arrival) { a.RestMs = 2000 }
	leaves := func(a *standin.Arrival) { a.Leaving = true }
	t.Run("three requests in a rest are found", func(t *testing.T) {
		// 1.0, 1.2 and 1.4 s after the refusal.
		assertFinds(t, visited(8, asks), rest)
	})
	t.Run("two aren't, nor what comes at once or after it", func(t *testing.T) {
		assert.Empty(t, visited(7, asks).check())
		assert.Empty(t, visited(20, func(a *standin.Arrival) { a.RestMs = 1300 }).check())
	})
	t.Run("a box that was struck meanwhile is excused", func(t *testing.T) {
		l := visited(8, asks)
		l.touch.begin("b", time.Now())
		assert.Empty(t, l.check())
	})
	t.Run("so is one whose link to the server was", func(t *testing.T) {
		l := visited(8, asks)
		l.touch.begin("s", time.Now())
		assert.Empty(t, l.check())
	})
	t.Run("a request later than may be after an answer that says leaving is found", func(t *testing.T) {
		assertFinds(t, visited(13, leaves), "no new work after an answer that says leaving")
		assert.Empty(t, visited(12, leaves).check())
	})
}
