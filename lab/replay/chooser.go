package replay

import (
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/placement/baseline"
)

// poolName is the one pool of a replay.
const poolName = "runners"

// storeID names the KV store.
const storeID fleet.EndpointID = "store"

// chooser is a policy at one daemon.
type chooser interface {
	place(now time.Time, j *job) (placement.Decision, error)
	answered(now time.Time, j *job, id fleet.EndpointID, l fleet.Load)
	finished(now time.Time, j *job)
	failed(now time.Time, j *job, id fleet.EndpointID)
	load(id fleet.EndpointID, l fleet.Load)
	events(batch placement.EventBatch)
	gate(id fleet.EndpointID, g placement.Availability)
	expire(now time.Time)
}

func newChooser(d *daemon) chooser {
	switch d.b.o.Policy {
	case PolicyOracle:
		return &oracle{b: d.b, d: d}
	case PolicyAllSources, PolicyAnswersOnly, PolicyLoadOnly:
		return newViewChooser(d)
	default:
		return &baseChooser{c: baseline.New(baseline.Kind(d.b.o.Policy), d.b.o.Seed<<8+uint64(d.index), d.b.members())}
	}
}

// viewChooser is the product's own decision code.
type viewChooser struct {
	v               *placement.View
	learns, follows bool
}

func newViewChooser(d *daemon) *viewChooser {
	f := d.b.fleet
	c := &viewChooser{
		v: placement.NewView(placement.Options{
			Zone: d.zone, Daemons: d.b.o.Daemons, PrefillRate: f.PrefillRate, ZoneDelay: d.b.o.ZoneDelay,
		}),
		learns:  d.b.o.Policy != PolicyLoadOnly,
		follows: d.b.o.Policy == PolicyAllSources,
	}
	c.v.SetPool(poolName, d.b.members())
	if f.StoreTokens > 0 {
		c.v.SetStore(storeID)
	}
	return c
}

func (c *viewChooser) place(now time.Time, j *job) (placement.Decision, error) {
	return c.v.Place(now, j.request())
}

func (j *job) request() placement.Request {
	return placement.Request{
		ID: j.id, Pool: poolName, Levels: j.levels, Tokens: j.tokens, Priority: j.priority, Avoid: j.avoid,
	}
}

func (c *viewChooser) answered(now time.Time, j *job, id fleet.EndpointID, l fleet.Load) {
	a := placement.Answer{ID: j.id, Endpoint: id, Incarnation: l.Incarnation, Load: &l}
	if c.learns {
		a.CachedTokens, a.Levels = j.cached, j.levels
	}
	c.v.Answered(now, a)
}

func (c *viewChooser) finished(now time.Time, j *job) { c.v.Finished(now, j.id) }

func (c *viewChooser) failed(now time.Time, j *job, id fleet.EndpointID) {
	c.v.Failed(now, placement.Failure{ID: j.id, Endpoint: id, ConnectionLost: true})
}

func (c *viewChooser) load(id fleet.EndpointID, l fleet.Load) { c.v.LoadReported(id, l) }

func (c *viewChooser) events(batch placement.EventBatch) {
	if c.follows {
		c.v.CacheEvents(batch)
	}
}

func (c *viewChooser) gate(id fleet.EndpointID, g placement.Availability) { c.v.SetAvailability(id, g) }
func (c *viewChooser) expire(now time.Time)                               { c.v.Expire(now) }

// baseChooser is one of the baselines. They learn nothing from answers but the
// load.
type baseChooser struct{ c *baseline.Chooser }

func (c *baseChooser) place(now time.Time, j *job) (placement.Decision, error) {
	id, err := c.c.Place(now, j.request())
	return placement.Decision{Endpoint: id}, err
}

func (c *baseChooser) answered(_ time.Time, _ *job, id fleet.EndpointID, l fleet.Load) {
	c.c.LoadReported(id, l)
}

func (c *baseChooser) load(id fleet.EndpointID, l fleet.Load) { c.c.LoadReported(id, l) }

func (c *baseChooser) gate(id fleet.EndpointID, g placement.Availability) { c.c.SetAvailability(id, g) }
func (c *baseChooser) finished(time.Time, *job)                           {}
func (c *baseChooser) failed(time.Time, *job, fleet.EndpointID)           {}
func (c *baseChooser) events(placement.EventBatch)                        {}
func (c *baseChooser) expire(time.Time)                                   {}
