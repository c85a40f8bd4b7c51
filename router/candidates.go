package router

import (
	"slices"
	"sync"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/pools"
	"github.com/merlindock/merlindock/prefix"
)

// Penalties of candidates in addition to their wait, as fractions of the latency
// objective. A candidate with a lower penalty is preferred until its wait is longer by
// the difference.
const (
	// oldVersionPenalty is for weights that were replaced: such work earns a fifth less
	// credit, and seven tenths less if the answer is late.
	oldVersionPenalty = 0.3
	// newVersionPenalty is for newer weights while the prompt's shared segment is still
	// read from caches of the older ones.
	newVersionPenalty = 0.2
	// nonPreferredPenalty is for an engine other than the preferred endpoint of the
	// shared segment. It fetches the segment from there, and both then keep it in
	// memory.
	nonPreferredPenalty = 0.5
	// otherSubpoolPenalty is for engines of the other subpool: a short prompt waits
	// there for the chunks of a long one that is being read, and for the next one.
	otherSubpoolPenalty = 0.4
	// lastResortPenalty is for a candidate that is taken only if no other has an
	// engine.
	lastResortPenalty = 100
	// lowWaitFraction is the expected wait, as a fraction of the latency objective, up
	// to which the first candidate is taken without evaluating the others.
	lowWaitFraction = 0.2
)

// candidate is a possible placement of a prompt: a pool of engines with one weight
// version.
type candidate struct {
	pool          string
	levels        func() []prefix.Level
	held          func() *placement.PrefixLocations // where the prompt's prefix is cached; nil: unknown
	subpool       subpool                           // of the engines
	version       int64
	nonPreferred  bool             // excludes the preferred endpoint of the shared segment
	penalty       float64          // in addition to the wait, as a fraction of the objective
	beginWithin   time.Duration    // time until it must have begun; 0 or noTimeLimit: unlimited
	notRepeatable bool             // it cannot be placed again once it was sent
	fetchFrom     fleet.EndpointID // holds the prefix and can transfer it; empty: unknown
	retained      bool             // engines keep what they read for a while
}

// beginsInTime reports whether the prompt will probably begin before the time bound on
// its weights.
func (c *candidate) beginsInTime(first time.Duration) bool {
	if c.beginWithin == 0 || c.beginWithin == noTimeLimit {
		return true
	}
	factor := waitSafetyFactor
	if c.notRepeatable {
		factor = waitSafetyFactorOnce
	}
	return time.Duration(factor*float64(first)) <= c.beginWithin
}

// listCandidates returns the candidates for a prompt. The first one is taken if its
// wait is low.
//
// During a rollout, the few engines with the new weights have cold caches and get more
// than their share of work, while those with older weights have free capacity. Also,
// the prompts of one hot segment may fill its preferred endpoint while others are idle.
// Each prompt is therefore placed where it costs least instead of being late or
// refused. An overloaded fleet has no idle engines, so there segments stay at their
// preferred endpoints.
func listCandidates(req *forward.PlacementRequest, v versionChoice, in subpool, lookup prefixLocations) []candidate {
	once := req.Route != nil && !req.Route.Repeatable()
	to := func(o otherVersion) func(in subpool, extraPenalty float64) candidate {
		levels, held := levelsOf(req, o.version), locationsOf(req, o.version, lookup)
		return func(in subpool, extraPenalty float64) candidate {
			return candidate{
				pool: pools.ModelPool(req.Service.Name, req.In.Model, o.version, in), levels: levels, held: held,
				subpool: in, version: o.version, penalty: o.penalty + extraPenalty, beginWithin: o.beginWithin, notRepeatable: once,
			}
		}
	}
	first := to(otherVersion{version: v.first, beginWithin: v.firstBeginWithin})
	// A long prompt among short ones delays dozens of them.
	otherSubpool, otherPenalty := subpoolShort, float64(lastResortPenalty)
	out := []candidate{first(in, 0)}
	if in == subpoolLong {
		nonPreferred := out[0]
		nonPreferred.nonPreferred, nonPreferred.penalty = true, nonPreferredPenalty
		out = append(out, nonPreferred)
	} else {
		otherSubpool, otherPenalty = subpoolLong, otherSubpoolPenalty
	}
	out = append(out, first(otherSubpool, otherPenalty))
	for _, o := range v.others {
		other := to(o)
		out = append(out, other(in, 0), other(otherSubpool, otherPenalty))
	}
	return out
}

// shortageSubpoolPenalty replaces otherSubpoolPenalty while the service is short of capacity.
// With the latter, prompts would wait for 0.4 of their objective while engines of the other
// subpool have free slots, and others would be refused.
const shortageSubpoolPenalty = 0.1

// useOtherSubpool lets short prompts use the engines for long ones while the service is short
// of capacity.
func useOtherSubpool(all []candidate) {
	for i := range all {
		if all[i].subpool == subpoolLong {
			all[i].penalty += shortageSubpoolPenalty - otherSubpoolPenalty
		}
	}
}

// prefixLocations returns where the prefix of a prompt is cached under a salt; nil:
// unknown.
type prefixLocations func(req *forward.PlacementRequest, salt string) *placement.PrefixLocations

// locationsOf returns a function that looks up the cached prefix of a prompt on first
// use.
func locationsOf(req *forward.PlacementRequest, version int64, lookup prefixLocations) func() *placement.PrefixLocations {
	return sync.OnceValue(func() *placement.PrefixLocations {
		if lookup == nil || len(req.In.Parts) == 0 {
			return nil
		}
		return lookup(req, salt(req, version))
	})
}

// levelsOf returns a function that computes the shared prefixes of a prompt under a
// version on first use, as most prompts need those of one version only.
func levelsOf(req *forward.PlacementRequest, version int64) func() []prefix.Level {
	return sync.OnceValue(func() []prefix.Level {
		return prefix.SegmentLevels(seedOf(req, version), req.In.Parts)
	})
}

// evaluatedCandidate is a candidate with the placement decision for it.
type evaluatedCandidate struct {
	candidate
	request  placement.Request
	decision placement.Decision
	endpoint *directory.Endpoint // that can take the request; nil: not determined
}

// cost returns the cost of the candidate as a fraction of the latency objective:
// expected time to the first token plus penalty.
func (c *evaluatedCandidate) cost(target time.Duration) float64 {
	return c.decision.ExpectedFirstToken.Seconds()/max(target, time.Millisecond).Seconds() + c.penalty
}

// lowWait reports whether the expected wait is low enough to skip the other candidates.
func (c *evaluatedCandidate) lowWait(target time.Duration) bool {
	return c.decision.ExpectedWait <= time.Duration(lowWaitFraction*float64(target))
}

// evaluator is the part of placement that evaluates one pool.
type evaluator interface {
	Select(now time.Time, r placement.Request) (placement.Decision, error)
}

// bestCandidate evaluates the candidates and returns the one with the lowest cost,
// without reserving anything. It returns placement.ErrNoEndpoint if no candidate has an
// engine that can begin in time.
func bestCandidate(now time.Time, v evaluator, r placement.Request, all []candidate, target time.Duration) (evaluatedCandidate, error) {
	var best evaluatedCandidate
	err := placement.ErrNoEndpoint
	eachCandidate(now, v, r, all, func(i int, next *evaluatedCandidate) bool {
		if err != nil || next.cost(target) < best.cost(target) {
			best, err = *next, nil
		}
		return i > 0 || !next.lowWait(target)
	})
	return best, err
}

// idleCandidate returns the candidate with the lowest cost among those with a low wait,
// and false if there is none. Engines are compared by their wait alone, not by what they
// cache.
func idleCandidate(now time.Time, v evaluator, r placement.Request, all []candidate, target time.Duration) (evaluatedCandidate, bool) {
	byWait := slices.DeleteFunc(slices.Clone(all), func(c candidate) bool { return c.nonPreferred })
	for i := range byWait {
		byWait[i].levels, byWait[i].held = func() []prefix.Level { return nil }, nil
	}
	var best evaluatedCandidate
	found := false
	eachCandidate(now, v, r, byWait, func(_ int, next *evaluatedCandidate) bool {
		if next.lowWait(target) && (!found || next.cost(target) < best.cost(target)) {
			best, found = *next, true
		}
		return true
	})
	return best, found
}

// eachCandidate passes the candidates that have an engine which can begin in time to visit,
// with their index, until it returns false.
func eachCandidate(now time.Time, v evaluator, r placement.Request, all []candidate, visit func(i int, next *evaluatedCandidate) bool) {
	var preferred fleet.EndpointID
	for i, at := range all {
		if at.nonPreferred && preferred == "" {
			continue
		}
		next := evaluatedCandidate{candidate: at, request: r}
		next.request.Pool, next.request.Levels = at.pool, at.levels()
		if at.held != nil {
			next.request.Locations = at.held()
		}
		if at.nonPreferred {
			next.request.Avoid = append(slices.Clone(r.Avoid), preferred)
		}
		d, err := v.Select(now, next.request)
		if err != nil {
			continue // another candidate may have an engine
		}
		if i == 0 {
			preferred = d.Endpoint
		}
		if !at.beginsInTime(d.ExpectedFirstToken) {
			continue
		}
		next.decision = d
		if at.nonPreferred {
			next.decision.Reason, next.decision.AlternateEndpoint = placement.ReasonSpill, preferred
		}
		if !visit(i, &next) {
			return
		}
	}
}
