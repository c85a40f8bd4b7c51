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

// ordersLeaseName is the name of the lease that the rollout leader holds.
const ordersLeaseName = "orders"

// leasePollFactor is the poll interval of the lease stream in poll intervals of
// the manifest log. An expired lease is taken over a little later, which only
// delays orders.
const leasePollFactor = 3

// orderLeader sends orders to endpoints while this daemon holds the rollout
// lease.
type orderLeader struct {
	daemon *Daemon
	log    *logging.Logger
	keeper *logio.LeaseKeeper
	leader *orders.Leader
}

func newOrderLeader(d *Daemon) *orderLeader {
	s := d.o.Settings
	l := &orderLeader{daemon: d, log: d.o.Logs.For(logging.ComponentOrders)}
	l.keeper = logio.NewLeaseKeeper(logio.LeaseOptions{
		Log:        d.o.Log,
		Name:       ordersLeaseName,
		Holder:     fmt.Sprintf("%s/%d", s.Daemon.ID, d.startedAt.UnixNano()),
		TTL:        s.Orders.Lease,
		Poll:       leasePollFactor * s.Platform.PollInterval,
		Seed:       seedOf(s.Daemon.ID, d.startedAt),
		ShouldHold: d.shutdown.ready,
	})
	l.leader = orders.New(orders.Options{
		Lease:      l.keeper,
		FleetState: d.fleetState,
		Dial:       d.o.Dial,
		Observe:    l.observe,
	})
	return l
}

// run competes for the lease and sends orders while it holds it, until ctx
// ends.
func (l *orderLeader) run(ctx context.Context) error {
	if !l.daemon.o.Settings.Orders.Enabled {
		<-ctx.Done()
		return ctx.Err()
	}
	var running sync.WaitGroup
	running.Go(func() { _ = l.keeper.Run(ctx) })
	err := l.leader.Run(ctx)
	running.Wait()
	return err
}

func (l *orderLeader) observe(e orders.Event) {
	l.daemon.metrics.Scope.Tagged(map[string]string{"kind": string(e.Kind)}).Counter("order_events").Inc(1)
	fields := []any{"kind", string(e.Kind), "fence", int64(e.Fence), "endpoint", string(e.Endpoint)}
	if e.Order != nil {
		fields = append(fields, "order", e.Order.ID)
	}
	if e.Err != nil {
		fields = append(fields, "error", e.Err.Error())
	}
	switch e.Kind {
	case orders.EventLeaseAcquired, orders.EventLeaseLost, orders.EventOrder:
		l.log.Info("Rollout leader event.", fields...)
	default:
		l.log.Debug("Rollout leader event.", fields...)
	}
}

// fleetState returns the input of rollout planning: the manifest in force and
// the endpoints. It is empty before the first manifest.
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
