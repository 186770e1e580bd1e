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

// Times of looking after engines.
const (
	// engineReportMs is how often an owner asks its engines for their state: a
	// leaving one is known everywhere within this and one question.
	engineReportMs  = 2 * clock.Second
	engineTimeoutMs = 1 * clock.Second
	ordersMs        = 2 * clock.Second
)

// leaseStream is the log stream of a failure domain's right to give orders.
func leaseStream(domain string) string { return "orders-" + domain }

func (b *Box) buildLease(context.Context) error {
	holder := fmt.Sprintf("%s@%d", b.settings.Box, b.clock.Now())
	b.lease = lease.NewKeeper(leaseStream(b.settings.FailureDomain), holder,
		logstream.Log{Append: b.append, Read: b.readLog}, b.wantsOrders, b.clock, b.logger)
	return nil
}

// wantsOrders reports whether this box should give the orders of its failure
// domain: the first live box by name does, so that boxes don't race.
func (b *Box) wantsOrders() bool {
	live := b.gossip.Live()
	return len(live) > 0 && live[0] == b.settings.Box && !b.draining.Load()
}

// watchEngines asks the engines that this box owns for their load, their models
// and whether they leave.
func (b *Box) watchEngines(ctx context.Context) {
	b.clock.Every(ctx, engineReportMs, func(clock.Millis) {
		for _, row := range b.pools.Owned() {
			b.watchEngine(ctx, row)
		}
		b.admit.Poke()
	})
}

func (b *Box) watchEngine(ctx context.Context, row *table.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeoutMs.Duration())
	defer cancel()
	load, err := b.engineClient(row).Load(ctx)
	if err != nil {
		b.logger.Debug("no load report", zap.String("upstream", row.Name), zap.Error(err))
		return
	}
	b.pools.Report(row.Name, load.InFlight)
	b.pools.ReportState(row.Name, load.Leaving, load.Models)
}

func (b *Box) engineClient(row *table.Upstream) engine.Client {
	return engine.Client{URL: "http://" + row.Address, Client: b.engineHTTP}
}

// giveOrders brings the engines' models in line with the table, one order at a
// time for each engine, while this box holds the lease.
func (b *Box) giveOrders(ctx context.Context) {
	due := newOrderQueue()
	b.clock.Every(ctx, ordersMs, func(clock.Millis) {
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
			due.settle(row, b.orderEngine(ctx, row, held))
		}
	})
}

// orderQueue is which engines to look at: those whose row changed or whose
// models are not yet as the table says, and one other in turn, so that looking
// costs little however many there are.
type orderQueue struct {
	settled map[string]*table.Upstream
	turn    int
}

func newOrderQueue() *orderQueue { return &orderQueue{settled: map[string]*table.Upstream{}} }

func (q *orderQueue) next(engines []*table.Upstream) []*table.Upstream {
	due := []*table.Upstream{}
	for i, row := range engines {
		if q.settled[row.Name] != row || i == q.turn%len(engines) {
			due = append(due, row)
		}
	}
	q.turn++
	return due
}

func (q *orderQueue) settle(row *table.Upstream, done bool) {
	delete(q.settled, row.Name)
	if done {
		q.settled[row.Name] = row
	}
}

// orderEngine gives an engine its next order, if any. It returns true when the
// engine's models are as the table says.
func (b *Box) orderEngine(ctx context.Context, row *table.Upstream, held lease.Held) bool {
	ctx, cancel := context.WithTimeout(ctx, engineTimeoutMs.Duration())
	defer cancel()
	client := b.engineClient(row)
	state, err := client.Orders(ctx)
	if err != nil {
		return false
	}
	order, needed := placement.Decide(row, state, placement.Lease{
		Token: held.Token, UntilMs: held.UntilMs, SinceMs: held.SinceMs, SpanMs: lease.SpanMs,
	}, b.clock.Now())
	if !needed {
		return placement.Settled(row, state)
	}
	if order.Action == engine.ActionLoad && !b.mayLoad(ctx, order.Model) {
		return false
	}
	order.ID = ulid.Make().String()
	// The last look at the clock is the connection's, right before it writes: a
	// holder that was paused sends nothing under a lease that has ended.
	err = client.Order(transport.SendBefore(ctx, b.clock, held.UntilMs), order)
	b.countOrder(row, order, err)
	return false
}

// mayLoad asks the weight store, which bounds how many loads run at once.
func (b *Box) mayLoad(ctx context.Context, model string) bool {
	if b.settings.Platform.WeightStoreURL == "" {
		return true
	}
	err := b.weights.Reserve(ctx, model)
	if err != nil && !errors.Is(err, backing.ErrThrottled) {
		b.logger.Debug("weight store unavailable", zap.Error(err))
	}
	return err == nil
}

func (b *Box) countOrder(row *table.Upstream, order engine.Order, err error) {
	if err != nil {
		b.metrics.OrdersRefused.Add(1)
		b.logger.Warn("order not taken", zap.String("upstream", row.Name), zap.String("model", order.Model), zap.Error(err))
		return
	}
	b.metrics.OrdersGiven.Add(1)
	b.logger.Info("order given", zap.String("upstream", row.Name), zap.String("action", string(order.Action)),
		zap.String("model", order.Model), zap.Int64("token", order.Token))
}

func (b *Box) newEngineHTTP() *http.Client {
	return b.controlClient(func() string { return "" })
}
