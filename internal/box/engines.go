package box

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/lease"
	"dooryard.example/dooryard/internal/logstream"
	"dooryard.example/dooryard/internal/placement"
	"dooryard.example/dooryard/internal/table"
	"dooryard.example/dooryard/internal/transport"
)

// Intervals and timeouts of engine management.
const (
	// enginePollIntervalMs is how often an owner polls its engines for their state. A draining
	// engine is known everywhere within this interval plus one request.
	enginePollIntervalMs = 2 * clock.Second
	engineTimeoutMs      = 1 * clock.Second
	orderIntervalMs      = 2 * clock.Second
)

// leaseStream returns the name of the log stream of a failure domain's lease. Only the box that holds
// the lease sends orders to the domain's engines.
func leaseStream(domain string) string { return "orders-" + domain }

func (b *Box) buildLease(context.Context) error {
	holder := fmt.Sprintf("%s@%d", b.settings.Box, b.clock.Now())
	b.lease = lease.NewKeeper(leaseStream(b.settings.FailureDomain), holder,
		logstream.Log{Append: b.append, Read: b.readLog}, b.shouldSendOrders, b.clock, b.logger)
	return nil
}

// shouldSendOrders reports whether this box should send the orders of its failure domain. Only
// the first live box by name does, unless it is draining, so that boxes don't compete for the lease.
func (b *Box) shouldSendOrders() bool {
	live := b.gossip.Live()
	return len(live) > 0 && live[0] == b.settings.Box && !b.draining.Load()
}

// pollEngines polls the engines that this box owns for their load, their models and whether
// they are draining.
func (b *Box) pollEngines(ctx context.Context) {
	b.clock.Every(ctx, enginePollIntervalMs, func(clock.Millis) {
		for _, row := range b.pools.Owned() {
			b.pollEngine(ctx, row)
		}
		b.admit.AdmitWaiting()
	})
}

func (b *Box) pollEngine(ctx context.Context, row *table.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeoutMs.Duration())
	defer cancel()
	load, err := b.engineClient(row).Load(ctx)
	if err != nil {
		b.logger.Debug("polling engine load failed", zap.String("upstream", row.Name), zap.Error(err))
		return
	}
	b.pools.Report(row.Name, load.InFlight)
	b.pools.ReportState(row.Name, load.Draining, load.Models)
}

func (b *Box) engineClient(row *table.Upstream) engine.Client {
	return engine.Client{URL: "http://" + row.Address, Client: b.engineHTTP}
}

// sendOrders reconciles the engines' models with the table while this box holds the lease. It
// sends each engine one order at a time.
func (b *Box) sendOrders(ctx context.Context) {
	due := newOrderQueue()
	b.clock.Every(ctx, orderIntervalMs, func(clock.Millis) {
		engines := slices.DeleteFunc(slices.Clone(b.store.State().Upstreams()), func(row *table.Upstream) bool {
			return row.Kind != table.KindEngine || row.FailureDomain != b.settings.FailureDomain
		})
		if _, holds := b.lease.Held(); !holds {
			due = newOrderQueue()
			return
		}
		for _, row := range due.next(engines) {
			held, holds := b.lease.Held()
			if !holds {
				return
			}
			due.update(row, b.sendNextOrder(ctx, row, held))
		}
	})
}

// orderQueue selects the engines to check: those whose row has changed or whose models do not
// match the table yet, and one other engine per round, in rotation, so that every engine is
// checked eventually. This keeps the cost of checking low regardless of the number of engines.
type orderQueue struct {
	converged map[string]*table.Upstream
	round     int
}

func newOrderQueue() *orderQueue { return &orderQueue{converged: map[string]*table.Upstream{}} }

func (q *orderQueue) next(engines []*table.Upstream) []*table.Upstream {
	due := []*table.Upstream{}
	for i, row := range engines {
		if q.converged[row.Name] != row || i == q.round%len(engines) {
			due = append(due, row)
		}
	}
	q.round++
	return due
}

func (q *orderQueue) update(row *table.Upstream, converged bool) {
	delete(q.converged, row.Name)
	if converged {
		q.converged[row.Name] = row
	}
}

// sendNextOrder sends an engine its next order, if any. It reports whether the engine's models
// match the table.
func (b *Box) sendNextOrder(ctx context.Context, row *table.Upstream, held lease.Held) bool {
	ctx, cancel := context.WithTimeout(ctx, engineTimeoutMs.Duration())
	defer cancel()
	client := b.engineClient(row)
	state, err := client.Orders(ctx)
	if err != nil {
		return false
	}
	order, needed := placement.Decide(row, state, placement.Lease{
		Token: held.Token, UntilMs: held.UntilMs, SinceMs: held.SinceMs, DurationMs: lease.DurationMs,
	}, b.clock.Now())
	if !needed {
		return placement.Converged(row, state)
	}
	if order.Action == engine.ActionLoad && !b.reserveLoad(ctx, order.Model) {
		return false
	}
	order.ID = ulid.Make().String()
	// The connection checks the clock once more right before it writes, so that a holder that
	// was paused sends nothing under an expired lease.
	err = client.Order(transport.WithSendDeadline(ctx, b.clock, held.UntilMs), order)
	b.countOrder(row, order, err)
	return false
}

// reserveLoad reserves a load at the weight store, which limits the number of concurrent
// loads.
func (b *Box) reserveLoad(ctx context.Context, model string) bool {
	if b.settings.Platform.WeightStoreURL == "" {
		return true
	}
	err := b.weights.Reserve(ctx, model)
	if err != nil && !errors.Is(err, backing.ErrThrottled) {
		b.logger.Debug("reserving a load at the weight store failed", zap.Error(err))
	}
	return err == nil
}

func (b *Box) countOrder(row *table.Upstream, order engine.Order, err error) {
	if err != nil {
		b.metrics.OrdersRefused.Add(1)
		b.logger.Warn("order failed", zap.String("upstream", row.Name), zap.String("model", order.Model), zap.Error(err))
		return
	}
	b.metrics.OrdersGiven.Add(1)
	b.logger.Info("order sent to engine", zap.String("upstream", row.Name), zap.String("action", string(order.Action)),
		zap.String("model", order.Model), zap.Int64("token", order.Token))
}

func (b *Box) newEngineHTTP() *http.Client {
	return b.controlClient(func() string { return "" })
}
