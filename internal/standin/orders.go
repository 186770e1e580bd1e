package standin

import (
	"net/http"
	"slices"

	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/jsonhttp"
)

// orderState is what an engine knows of its orders.
type orderState struct {
	newestToken int64
	outstanding string
	// taken are the orders that were carried out or begun, in order.
	taken []engine.Order
	// overlaps counts orders that came while another was outstanding.
	overlaps int
	// stale counts orders taken with a token older than the newest seen, by an
	// engine that does not check.
	stale int
}

// OrderCounts are what an engine has seen of orders.
type OrderCounts struct {
	Taken    []engine.Order
	Overlaps int
	Stale    int
	Models   []string
}

// Orders returns what the engine has seen of orders.
func (e *Engine) Orders() OrderCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return OrderCounts{
		Taken: slices.Clone(e.orders.taken), Overlaps: e.orders.overlaps,
		Stale: e.orders.stale, Models: slices.Clone(e.models),
	}
}

func (e *Engine) serveOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := engine.OrderState{
		Models: slices.Clone(e.models), NewestToken: e.orders.newestToken, Outstanding: e.orders.outstanding,
	}
	e.mu.Unlock()
	jsonhttp.Write(w, state)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !readJSON(w, r, &order) {
		return
	}
	status := e.takeOrder(order)
	w.WriteHeader(status)
}

func (e *Engine) takeOrder(order engine.Order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Token < e.orders.newestToken {
		if e.checksTokens {
			return http.StatusConflict
		}
		e.orders.stale++
	}
	if e.orders.outstanding != "" {
		e.orders.overlaps++
		return http.StatusTooEarly
	}
	e.orders.newestToken = max(e.orders.newestToken, order.Token)
	e.orders.outstanding = order.ID
	e.orders.taken = append(e.orders.taken, order)
	e.spawn(func() { e.carryOut(order) })
	return http.StatusAccepted
}

func (e *Engine) carryOut(order engine.Order) {
	_ = e.clock.Sleep(e.ctx, e.speed.OrderMs)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.outstanding = ""
	at := slices.Index(e.models, order.Model)
	switch {
	case order.Action == engine.ActionLoad && at < 0:
		e.models = append(e.models, order.Model)
	case order.Action == engine.ActionUnload && at >= 0:
		e.models = slices.Delete(e.models, at, at+1)
	}
}
