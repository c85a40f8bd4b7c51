package replay

import (
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/placement/baseline"
)

// poolName names the only pool of a replay.
const poolName = "runners"

// storeID is the endpoint ID of the KV store.
const storeID fleet.EndpointID = "store"

// chooser applies a placement policy at one daemon.
type chooser interface {
	place(now time.Time, j *job) (placement.Decision, error)
	answered(now time.Time, j *job, id fleet.EndpointID, l fleet.Load)
	finished(now time.Time, j *job)
	failed(now time.Time, j *job, id fleet.EndpointID)
	loadReported(id fleet.EndpointID, l fleet.Load)
	cacheEvents(batch placement.EventBatch)
	setAvailability(id fleet.EndpointID, availability placement.Availability)
	expire(now time.Time)
}

func newChooser(d *daemon) chooser {
	switch d.b.options.Policy {
	case PolicyOracle:
		return &oracle{b: d.b, d: d}
	case PolicyAllSources, PolicyAnswersOnly, PolicyLoadOnly:
		return newViewChooser(d)
	default:
		return &baselineChooser{c: baseline.New(baseline.Kind(d.b.options.Policy), d.b.options.Seed<<8+uint64(d.index), d.b.members())}
	}
}

// viewChooser places requests with the daemon's own placement code.
type viewChooser struct {
	view                    *placement.View
	usesAnswers, usesEvents bool
}

func newViewChooser(d *daemon) *viewChooser {
	f := d.b.fleet
	c := &viewChooser{
		view: placement.NewView(placement.Options{
			Zone: d.zone, Daemons: d.b.options.Daemons, PrefillRate: f.PrefillRate, ZoneDelay: d.b.options.ZoneDelay,
		}),
		usesAnswers: d.b.options.Policy != PolicyLoadOnly,
		usesEvents:  d.b.options.Policy == PolicyAllSources,
	}
	c.view.SetPool(poolName, d.b.members())
	if f.StoreTokens > 0 {
		c.view.SetStore(storeID)
	}
	return c
}

func (c *viewChooser) place(now time.Time, j *job) (placement.Decision, error) {
	return c.view.Place(now, j.request())
}

func (j *job) request() placement.Request {
	return placement.Request{
		ID: j.id, Pool: poolName, Levels: j.levels, Tokens: j.tokens, Priority: j.priority, Avoid: j.avoid,
	}
}

func (c *viewChooser) answered(now time.Time, j *job, id fleet.EndpointID, l fleet.Load) {
	a := placement.Answer{ID: j.id, Endpoint: id, Incarnation: l.Incarnation, Load: &l}
	if c.usesAnswers {
		a.CachedTokens, a.Levels = j.cached, j.levels
	}
	c.view.Answered(now, a)
}

func (c *viewChooser) finished(now time.Time, j *job) { c.view.Finished(now, j.id) }

func (c *viewChooser) failed(now time.Time, j *job, id fleet.EndpointID) {
	c.view.Failed(now, placement.Failure{ID: j.id, Endpoint: id, ConnectionLost: true})
}

func (c *viewChooser) loadReported(id fleet.EndpointID, l fleet.Load) { c.view.LoadReported(id, l) }

func (c *viewChooser) cacheEvents(batch placement.EventBatch) {
	if c.usesEvents {
		c.view.CacheEvents(batch)
	}
}

func (c *viewChooser) setAvailability(id fleet.EndpointID, availability placement.Availability) {
	c.view.SetAvailability(id, availability)
}
func (c *viewChooser) expire(now time.Time) { c.view.Expire(now) }

// baselineChooser places requests with a baseline policy. Baselines use the
// load that comes with an answer, and nothing else of it.
type baselineChooser struct{ c *baseline.Chooser }

func (c *baselineChooser) place(now time.Time, j *job) (placement.Decision, error) {
	id, err := c.c.Place(now, j.request())
	return placement.Decision{Endpoint: id}, err
}

func (c *baselineChooser) answered(_ time.Time, _ *job, id fleet.EndpointID, l fleet.Load) {
	c.c.LoadReported(id, l)
}

func (c *baselineChooser) loadReported(id fleet.EndpointID, l fleet.Load) { c.c.LoadReported(id, l) }

func (c *baselineChooser) setAvailability(id fleet.EndpointID, availability placement.Availability) {
	c.c.SetAvailability(id, availability)
}
func (c *baselineChooser) finished(time.Time, *job)                 {}
func (c *baselineChooser) failed(time.Time, *job, fleet.EndpointID) {}
func (c *baselineChooser) cacheEvents(placement.EventBatch)         {}
func (c *baselineChooser) expire(time.Time)                         {}
