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

// ordersLeaseName names the lease of the one giver of orders.
const ordersLeaseName = "orders"

// leasePollFactor is how many polls of the log pass between reads of the lease
// stream: a lease that lapsed is taken over a little later, and orders wait.
const leasePollFactor = 3

// orderLeader gives orders to endpoints while this daemon holds the lease.
type orderLeader struct {
	daemon *Daemon
	log    *logging.Logger
	keeper *logio.LeaseKeeper
	leader *orders.Leader
}

func newOrderLeader(d *Daemon) *orderLeader {
	s := d.o.Settings
	g := &orderLeader{daemon: d, log: d.o.Logs.For(logging.ComponentOrders)}
	g.keeper = logio.NewLeaseKeeper(logio.LeaseOptions{
		Log:    d.o.Log,
		Name:   ordersLeaseName,
		Holder: fmt.Sprintf("%s/%d", s.Daemon.ID, d.startedAt.UnixNano()),
		TTL:    s.Orders.Lease,
		Poll:   leasePollFactor * s.Platform.PollInterval,
		Seed:   seedOf(s.Daemon.ID, d.startedAt),
		Want:   d.shutdown.ready,
	})
	g.leader = orders.New(orders.Options{
		Lease:      g.keeper,
		FleetState: d.fleetState,
		Dial:       d.o.Dial,
		Observe:    g.observe,
	})
	return g
}

// run competes for the lease and gives orders until ctx ends.
func (g *orderLeader) run(ctx context.Context) error {
	if !g.daemon.o.Settings.Orders.Enabled {
		<-ctx.Done()
		return ctx.Err()
	}
	var running sync.WaitGroup
	running.Go(func() { _ = g.keeper.Run(ctx) })
	err := g.leader.Run(ctx)
	running.Wait()
	return err
}

func (g *orderLeader) observe(e orders.Event) {
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

// fleetState is what this daemon plans orders from.
func (d *Daemon) fleetState(now time.Time) orders.FleetState {
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
