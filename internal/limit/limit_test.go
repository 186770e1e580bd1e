package limit

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/table"
)

func settings() QueueSettings {
	return QueueSettings{MaxWaiting: 10_000, MaxWaitingPerFlow: 10_000, MaxWaitMs: 60 * clock.Second}
}

func flow(name string) Flow { return Flow{Name: name, Weight: 100} }

func enter(ctx context.Context, q *Queue, name string) error {
	_, err := q.Acquire(ctx, flow(name), farDeadline)
	return err
}

func assertRefused(t *testing.T, q *Queue, deadline clock.Millis, want error) {
	t.Helper()
	_, err := q.Acquire(t.Context(), flow("a"), deadline)
	assert.ErrorIs(t, err, want)
}

const farDeadline = clock.Millis(1 << 50)

func anyFlow(Flow) bool { return true }

func TestFairQueue(t *testing.T) {
	t.Run("serves organisations by weight", func(t *testing.T) {
		q := newFairQueue()
		for range 300 {
			q.push(&waiter{flow: Flow{Name: "small", Weight: 100}})
			q.push(&waiter{flow: Flow{Name: "large", Weight: 200}})
		}
		served := map[string]int{}
		for range 300 {
			served[q.pop(anyFlow).flow.Name]++
		}
		assert.InDelta(t, 200, served["large"], creditRequests)
		assert.InDelta(t, 100, served["small"], creditRequests)
	})
	t.Run("serves an organisation with few requests before one with many", func(t *testing.T) {
		q := newFairQueue()
		for range 1000 {
			q.push(&waiter{flow: flow("busy")})
		}
		for range 100 {
			q.pop(anyFlow)
		}
		q.push(&waiter{flow: flow("quiet")})
		assert.Equal(t, "quiet", q.pop(anyFlow).flow.Name)
	})
	t.Run("serves the higher priority first at equal start tags", func(t *testing.T) {
		q := newFairQueue()
		q.push(&waiter{flow: Flow{Name: "a", Weight: 1, Priority: 1}})
		q.push(&waiter{flow: Flow{Name: "b", Weight: 1, Priority: 9}})
		assert.Equal(t, "b", q.pop(anyFlow).flow.Name)
	})
}

func TestQueue(t *testing.T) {
	t.Run("refuses immediately when the queue is full", func(t *testing.T) {
		s := settings()
		s.MaxWaiting = 0
		q := NewQueue(s, func() int { return 0 }, clock.New().Now)
		assertRefused(t, q, farDeadline, ErrQueueFull)
	})
	t.Run("limits the waiting requests of one organisation", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := settings()
			s.MaxWaitingPerFlow = 1
			q := NewQueue(s, func() int { return 0 }, clock.New().Now)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- enter(ctx, q, "a") }()
			synctest.Wait()
			assertRefused(t, q, farDeadline, ErrQueueFull)
			cancel()
			assert.ErrorIs(t, <-done, context.Canceled)
		})
	})
	t.Run("refuses after the maximum wait", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			q := NewQueue(settings(), func() int { return 0 }, clock.New().Now)
			startedAt := clock.New().Now()
			require.ErrorIs(t, enter(t.Context(), q, "a"), ErrWaitedTooLong)
			assert.Equal(t, 60*clock.Second, clock.New().Now()-startedAt)
			_, waiting := q.QueueLengths()
			assert.Zero(t, waiting)
		})
	})
	t.Run("refuses immediately when the deadline would expire in the queue", func(t *testing.T) {
		now := clock.Millis(0)
		q := NewQueue(settings(), func() int { return 1 }, func() clock.Millis { return now })
		for range 10 {
			permit, err := q.Acquire(t.Context(), flow("a"), farDeadline)
			require.NoError(t, err)
			now += 500
			permit.Release()
		}
		require.NoError(t, enter(t.Context(), q, "a"))
		_, err := q.Acquire(t.Context(), flow("b"), now+100)
		require.ErrorIs(t, err, ErrDeadline)
		assert.Positive(t, q.ExpectedWaitMs(flow("b")))
	})
	t.Run("admits waiting requests when the capacity grows", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			capacity := 0
			q := NewQueue(settings(), func() int { return capacity }, clock.New().Now)
			done := make(chan error)
			go func() { done <- enter(t.Context(), q, "a") }()
			synctest.Wait()
			capacity = 1
			q.AdmitWaiting()
			require.NoError(t, <-done)
		})
	})
}

func TestDemandFraction(t *testing.T) {
	t.Run("adds up to one over boxes that know each other's demand", func(t *testing.T) {
		demands := []float64{90, 5, 5, 0, 0, 0, 0, 0, 0}
		sum := 0.0
		for _, own := range demands {
			sum += Demand{Own: own, Others: 100 - own, Boxes: 9, KnownBoxes: 8}.Fraction()
		}
		assert.InDelta(t, 1, sum, 1e-9)
	})
	t.Run("follows demand to within a few percent", func(t *testing.T) {
		assert.InDelta(t, 0.9, Demand{Own: 90, Others: 10, Boxes: 9, KnownBoxes: 8}.Fraction(), 0.03)
	})
	t.Run("is the even share without contact to other boxes", func(t *testing.T) {
		assert.InDelta(t, 1.0/9, Demand{Own: 90, Boxes: 9}.Fraction(), 1e-9)
	})
}

func TestSlotsShare(t *testing.T) {
	t.Run("adds up to all slots", func(t *testing.T) {
		for _, used := range [][]float64{{0, 0, 0}, {30, 2, 1}, {200, 50, 50}} {
			sum, all := 0.0, used[0]+used[1]+used[2]
			for _, own := range used {
				sum += Slots{Own: own, Others: all - own, Boxes: 3, KnownBoxes: 2}.Share(100)
			}
			assert.InDelta(t, 100, sum, 1e-9)
		}
	})
	t.Run("leaves an idle box slots for a burst", func(t *testing.T) {
		assert.InDelta(t, 20, Slots{Own: 0, Others: 40, Boxes: 3, KnownBoxes: 2}.Share(100), 1e-9)
	})
	t.Run("is even when no other box's use is known", func(t *testing.T) {
		assert.InDelta(t, 100.0/3, Slots{Boxes: 3}.Share(100), 1)
	})
}

func TestOrganisations(t *testing.T) {
	now := clock.Millis(1_000_000)
	share := 0.5
	limits := func() *Organisations {
		return NewOrganisations(func(string) float64 { return share }, func() clock.Millis { return now })
	}
	t.Run("enforce this box's share of a rate limit", func(t *testing.T) {
		o := limits()
		row := &table.Organisation{Name: "choir", RatePerS: 20}
		accepted := 0
		for range 100 {
			for range 10 {
				if _, err := o.Acquire(row); err == nil {
					accepted++
				} else {
					require.ErrorIs(t, err, ErrRate)
				}
			}
			now += 100
		}
		assert.InDelta(t, 100, accepted, 11)
	})
	t.Run("return the time to wait before a retry", func(t *testing.T) {
		o := limits()
		row := &table.Organisation{Name: "choir", RatePerS: 2}
		_, err := o.Acquire(row)
		require.NoError(t, err)
		wait, err := o.Acquire(row)
		require.ErrorIs(t, err, ErrRate)
		assert.InDelta(t, 1000, int64(wait), 2)
	})
	t.Run("enforce this box's share of a limit on requests in flight", func(t *testing.T) {
		o := limits()
		row := &table.Organisation{Name: "choir", MaxInFlight: 4}
		for range 2 {
			_, err := o.Acquire(row)
			require.NoError(t, err)
		}
		_, err := o.Acquire(row)
		require.ErrorIs(t, err, ErrConcurrency)
		o.Release("choir")
		_, err = o.Acquire(row)
		assert.NotErrorIs(t, err, ErrConcurrency)
	})
}
