package retry

import "sync"

// Budgets holds one budget a pool. It is safe for concurrent use.
type Budgets struct {
	partPercent int
	reserve     int
	options     []Option

	mu    sync.Mutex
	pools map[string]*Budget
}

// NewBudgets returns budgets that each allow this part of first attempts, and a
// reserve of retries beside. The options hold for each.
func NewBudgets(partPercent, reserve int, options ...Option) *Budgets {
	return &Budgets{partPercent: partPercent, reserve: reserve, options: options, pools: map[string]*Budget{}}
}

// First counts a first attempt at a pool.
func (b *Budgets) First(pool string) { b.of(pool).First() }

// Take asks for one retry at a pool.
func (b *Budgets) Take(pool string) bool { return b.of(pool).Take() }

// SetReserve changes how many retries a budget holds at most, as when the number
// of boxes that share the reserve changes.
func (b *Budgets) SetReserve(retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserve = retries
	for _, budget := range b.pools {
		budget.setReserve(retries)
	}
}

func (b *Budgets) of(pool string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.pools[pool]
	if budget == nil {
		budget = NewBudget(b.partPercent, append([]Option{WithReserve(b.reserve)}, b.options...)...)
		b.pools[pool] = budget
	}
	return budget
}
