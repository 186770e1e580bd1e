package standin

import (
	"net/http"
	"slices"

	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/jsonhttp"
)

// orderState is an engine's record of its orders.
type orderState struct {
	newestToken int64
	outstanding string
	// accepted are the orders that were accepted, in the order of their arrival.
	accepted []engine.Order
	// overlaps counts orders that arrived while another was outstanding.
	overlaps int
	// stale counts orders that arrived with a fencing token older than the newest one,
	// at an engine that does not check tokens.
	stale int
}

// OrderCounts summarises the orders that an engine received, and its models.
type OrderCounts struct {
	Accepted []engine.Order
	Overlaps int
	Stale    int
	Models   []string
}

// Orders returns a summary of the engine's orders.
func (e *Engine) Orders() OrderCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return OrderCounts{
		Accepted: slices.Clone(e.orders.accepted), Overlaps: e.orders.overlaps,
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
	status := e.acceptOrder(order)
	w.WriteHeader(status)
}

func (e *Engine) acceptOrder(order engine.Order) int {
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
	e.orders.accepted = append(e.orders.accepted, order)
	e.spawn(func() { e.executeOrder(order) })
	return http.StatusAccepted
}

func (e *Engine) executeOrder(order engine.Order) {
	_ = e.clock.Sleep(e.ctx, e.performance.OrderMs)
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
