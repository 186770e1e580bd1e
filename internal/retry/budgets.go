package retry

import "sync"

// Budgets holds one retry budget per pool. It is safe for concurrent use.
type Budgets struct {
	percent int
	reserve int
	options []Option

	mu    sync.Mutex
	pools map[string]*Budget
}

// NewBudgets returns budgets that each limit retries to a percentage of first attempts plus a
// reserve. The options apply to every budget.
func NewBudgets(percent, reserve int, options ...Option) *Budgets {
	return &Budgets{percent: percent, reserve: reserve, options: options, pools: map[string]*Budget{}}
}

// RecordAttempt records a first attempt at a pool.
func (b *Budgets) RecordAttempt(pool string) { b.forPool(pool).RecordAttempt() }

// TryRetry spends one retry from the pool's budget. It returns false if the balance is too low.
func (b *Budgets) TryRetry(pool string) bool { return b.forPool(pool).TryRetry() }

// ReturnRetry gives back a retry of TryRetry that was not made.
func (b *Budgets) ReturnRetry(pool string) { b.forPool(pool).ReturnRetry() }

// CanRetry reports whether the pool's budget allows a retry now, without spending it.
func (b *Budgets) CanRetry(pool string) bool { return b.forPool(pool).CanRetry() }

// SetReserve changes the reserve of each budget, in retries, for example when the number of boxes that
// share the reserve changes.
func (b *Budgets) SetReserve(retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserve = retries
	for _, budget := range b.pools {
		budget.setReserve(retries)
	}
}

func (b *Budgets) forPool(pool string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.pools[pool]
	if budget == nil {
		budget = NewBudget(b.percent, append([]Option{WithReserve(b.reserve)}, b.options...)...)
		b.pools[pool] = budget
	}
	return budget
}
