package router

import (
	"math"
	"time"
)

// Weights of the choice between versions, and times.
const (
	// newerLead is how much more work an engine with the newest weights takes
	// than its part of the engines, while a rollout is under way. Work on older
	// weights loses worth by the second; too strong a lead sends everything to
	// the few engines that are done, and less is served in all.
	newerLead = 1.3
	// versionMargin ends the use of older weights before the bound, for the
	// time that a request is on its way and waits at the engine.
	versionMargin = 2500 * time.Millisecond
)

// named is the weight version that the operator named for a model.
type named struct {
	version int64
	since   time.Duration // when this daemon read it first, by the boot clock
}

// oldAllowed tells whether a request may still begin on older weights.
func (n named) oldAllowed(now, bound time.Duration) bool {
	return now-n.since < bound-versionMargin
}

// chooseVersion picks the weight version for a request from the number of
// engines that have each. hash is that of the shared part of the prompt, so
// that requests that share it move to the newer weights together and meet their
// cache there. It returns 0 if no engine may serve.
func chooseVersion(engines map[int64]int, n named, oldAllowed bool, hash uint64) int64 {
	newest, all := int64(0), 0
	for v, count := range engines {
		newest = max(newest, v)
		all += count
	}
	if all == 0 || (newest < n.version && !oldAllowed) {
		return 0
	}
	if engines[newest] == all || (!oldAllowed && engines[newest] > 0) {
		return newest
	}
	if !oldAllowed {
		return 0
	}
	part := min(1, newerLead*float64(engines[newest])/float64(all))
	if float64(hash) < part*math.MaxUint64 {
		return newest
	}
	older := int64(0)
	for v, count := range engines {
		if v < newest && count > 0 {
			older = max(older, v)
		}
	}
	return older
}
