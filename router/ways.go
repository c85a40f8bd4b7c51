package router

import (
	"slices"
	"sync"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/pools"
	"github.com/merlindock/merlindock/prefix"
)

// What a way costs beside its wait, as a part of the objective: so much longer
// may the wait of a better way be.
const (
	// oldLoss is for weights that were replaced: such work earns a fifth less,
	// and a late answer seven tenths less.
	oldLoss = 0.3
	// earlyLoss is for newer weights where the prompt's shared part is still
	// read from caches of the older ones.
	earlyLoss = 0.2
	// awayLoss is for an engine that is not the home of the shared part. It
	// fetches what the home has, and both then keep it in their memory.
	awayLoss = 0.5
	// laneLoss is for engines of the other lane: a short prompt waits there for
	// the pieces of a long one that is being read, and the next.
	laneLoss = 0.4
	// lastLoss is for a way that is taken only if no other leads anywhere.
	lastLoss = 100
	// easyPart is the part of the objective up to which the expected wait of the
	// first way is good enough.
	easyPart = 0.2
)

// way is one possibility to place a prompt.
type way struct {
	pool    string
	levels  func() []prefix.Level
	held    func() *placement.Held // where the prompt's beginning is; nil: not known
	lane    lane                   // of the engines
	version int64
	away    bool             // not at the home of the shared part
	loss    float64          // beside the wait, as a part of the objective
	left    time.Duration    // until it must have begun there; 0 or noBound: any time
	once    bool             // it may not be placed anew once it was sent
	from    fleet.EndpointID // holds the beginning and can pass it on; empty: not known
	kept    bool             // engines keep what they read for a while
}

// inTime tells whether the prompt will probably have begun before the bound on
// its weights.
func (w *way) inTime(first time.Duration) bool {
	if w.left == 0 || w.left == noBound {
		return true
	}
	doubt := beginDoubt
	if w.once {
		doubt = beginDoubtOnce
	}
	return time.Duration(doubt*float64(first)) <= w.left
}

// ways lists the possibilities, the one that is taken if it is easy first.
//
// The pattern: during a rollout the few engines that have the new weights are
// cold and get more work than their part, while those with the older weights
// have room; and the prompts of one hot shared part fill its home while others
// idle. Each prompt then goes where it loses least, instead of being late or
// turned away. An overloaded fleet has no engine that idles, so that shared
// parts stay at their homes there.
func ways(w *forward.PlacementRequest, v versions, in lane, where whereabouts) []way {
	once := w.Route != nil && !w.Route.Repeatable()
	to := func(o otherVersion) func(l lane, loss float64) way {
		levels, held := levelsOf(w, o.version), heldOf(w, o.version, where)
		return func(l lane, loss float64) way {
			return way{
				pool: pools.OfModel(w.Service.Name, w.In.Model, o.version, l), levels: levels, held: held,
				lane: l, version: o.version, loss: o.loss + loss, left: o.left, once: once,
			}
		}
	}
	first := to(otherVersion{version: v.first, left: v.firstLeft})
	// A long prompt among short ones holds up dozens of them.
	otherLane, crossing := laneShort, float64(lastLoss)
	out := []way{first(in, 0)}
	if in == laneLong {
		away := out[0]
		away.away, away.loss = true, awayLoss
		out = append(out, away)
	} else {
		otherLane, crossing = laneLong, laneLoss
	}
	out = append(out, first(otherLane, crossing))
	for _, o := range v.others {
		other := to(o)
		out = append(out, other(in, 0), other(otherLane, crossing))
	}
	return out
}

// whereabouts tells where the beginning of a prompt is held under a salt; nil: not
// known.
type whereabouts func(w *forward.PlacementRequest, salt string) *placement.Held

// heldOf asks where a prompt's beginning is, once it is needed.
func heldOf(w *forward.PlacementRequest, version int64, where whereabouts) func() *placement.Held {
	return sync.OnceValue(func() *placement.Held {
		if where == nil || len(w.In.Parts) == 0 {
			return nil
		}
		return where(w, salt(w, version))
	})
}

// levelsOf names the shared beginnings of a prompt under a version. They are worked
// out when they are first asked for: most prompts need those of one version.
func levelsOf(w *forward.PlacementRequest, version int64) func() []prefix.Level {
	return sync.OnceValue(func() []prefix.Level {
		return prefix.Chain(seedOf(w, version), w.In.Parts)
	})
}

// weighed is a way and where it leads.
type weighed struct {
	way
	request  placement.Request
	decision placement.Decision
}

// cost is what the way loses, as a part of the objective.
func (w *weighed) cost(target time.Duration) float64 {
	return w.decision.ExpectedFirst.Seconds()/max(target, time.Millisecond).Seconds() + w.loss
}

// easy tells whether the prompt need not wait there.
func (w *weighed) easy(target time.Duration) bool {
	return w.decision.ExpectedWait <= time.Duration(easyPart*float64(target))
}

// weigher is the part of placement that weighs one pool.
type weigher interface {
	Weigh(now time.Time, r placement.Request) (placement.Decision, error)
}

// bestWay weighs the ways and returns the one that loses least. It reserves
// nothing. The error is placement.ErrNoEndpoint if no way leads anywhere.
func bestWay(now time.Time, v weigher, r placement.Request, all []way, target time.Duration) (weighed, error) {
	var best weighed
	var home fleet.EndpointID
	err := placement.ErrNoEndpoint
	for i, at := range all {
		if at.away && home == "" {
			continue
		}
		next := weighed{way: at, request: r}
		next.request.Pool, next.request.Levels = at.pool, at.levels()
		if at.held != nil {
			next.request.Held = at.held()
		}
		if at.away {
			next.request.Avoid = append(slices.Clone(r.Avoid), home)
		}
		d, failed := v.Weigh(now, next.request)
		if failed != nil {
			continue // another way may lead somewhere
		}
		if i == 0 {
			home = d.Endpoint
		}
		if !at.inTime(d.ExpectedFirst) {
			continue
		}
		next.decision = d
		if at.away {
			next.decision.Reason, next.decision.Peer = placement.ReasonSpill, home
		}
		if err != nil || next.cost(target) < best.cost(target) {
			best, err = next, nil
		}
		if i == 0 && next.easy(target) {
			break
		}
	}
	return best, err
}
