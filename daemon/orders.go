package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/orders"
)

// ordersLease names the lease of the one giver of orders.
const ordersLease = "orders"

// leasePolls is how many polls of the log pass between reads of the lease
// stream: a lease that lapsed is taken over a little later, and orders wait.
const leasePolls = 3

// orderGiver gives orders to endpoints while this daemon holds the lease.
type orderGiver struct {
	daemon *Daemon
	log    *logging.Logger
	keeper *logio.LeaseKeeper
	giver  *orders.Leader
}

func newOrderGiver(d *Daemon) *orderGiver {
	s := d.o.Settings
	g := &orderGiver{daemon: d, log: d.o.Logs.For(logging.ComponentOrders)}
	g.keeper = logio.NewLeaseKeeper(logio.LeaseOptions{
		Log:    d.o.Log,
		Name:   ordersLease,
		Holder: fmt.Sprintf("%s/%d", s.Daemon.ID, d.life.UnixNano()),
		TTL:    s.Orders.Lease,
		Poll:   leasePolls * s.Platform.PollInterval,
		Seed:   seedOf(s.Daemon.ID, d.life),
		Want:   d.shutdown.ready,
	})
	g.giver = orders.New(orders.Options{
		Lease:      g.keeper,
		FleetState: d.situation,
		Dial:       d.o.Dial,
		Observe:    g.observe,
	})
	return g
}

// run competes for the lease and gives orders until ctx ends.
func (g *orderGiver) run(ctx context.Context) error {
	if !g.daemon.o.Settings.Orders.Enabled {
		<-ctx.Done()
		return ctx.Err()
	}
	var running sync.WaitGroup
	running.Go(func() { _ = g.keeper.Run(ctx) })
	err := g.giver.Run(ctx)
	running.Wait()
	return err
}

func (g *orderGiver) observe(e orders.Event) {
	g.daemon.metrics.Scope.Tagged(map[string]string{"kind": string(e.Kind)}).Counter("order_events").Inc(1)
	fields := []any{"kind", string(e.Kind), "fence", int64(e.Fence), "endpoint", string(e.Endpoint)}
	if e.Order != nil {
		fields = append(fields, "order", e.Order.ID)
	}
	if e.Err != nil {
		fields = append(fields, "error", e.Err.Error())
	}
	switch e.Kind {
	case orders.EventLeaseAcquired, orders.EventLeaseLost, orders.EventOrder:
		g.log.Info("Orders to endpoints.", fields...)
	default:
		g.log.Debug("Orders to endpoints.", fields...)
	}
}

// situation is what this daemon plans orders from.
func (d *Daemon) situation(now time.Time) orders.FleetState {
	v := d.manifests.InForce()
	if v == nil {
		return orders.FleetState{}
	}
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return orders.FleetState{
		Manifest:  &v.Manifest,
		Revision:  v.Revision.Offset,
		Endpoints: d.fleet.members.All(now),
	}
}
