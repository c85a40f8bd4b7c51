package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/merlindock/merlindock/weights"
)

// Parameters for the choice between weight versions.
const (
	// newestVersionFactor is how much more work an engine with the newest weights gets
	// than its share while a rollout is under way. Work on older weights loses value
	// every second, but a larger factor would send everything to the few engines that
	// are done, and less would be served in total.
	newestVersionFactor = 1.3
	// beginSlack is how long before the time bound on older weights a request must have
	// begun on them. The record that names new weights may have been read late, and
	// withdrawing a request takes a moment to reach its engine.
	beginSlack = 500 * time.Millisecond
	// minBeginTime is the minimum time that a request is given to begin.
	minBeginTime = 300 * time.Millisecond
	// waitSafetyFactor and waitSafetyFactorOnce are the multiples of the expected time
	// until the first event that must remain, for requests that can be placed again and
	// for those that cannot. The latter are lost when they are withdrawn. Nine of ten
	// waits are predicted within a factor of two.
	waitSafetyFactor     = 1.5
	waitSafetyFactorOnce = 3
)

// clockSlack is the maximum assumed difference between the wall clocks of two machines.
const clockSlack = 3 * time.Second

// guessedAgeFraction is the assumed age of a version that existed when the daemon
// started, as a fraction of the time bound, until the lease provides the actual time.
const guessedAgeFraction = 0.5

// maxNamedVersions bounds the history of named versions of a model.
const maxNamedVersions = 16

// namedVersion is a version that the operator named.
type namedVersion struct {
	version int64
	since   time.Duration // first read by this daemon, boot clock
	// guessed reports that the version existed when the daemon started, so that since
	// does not show when it was named.
	guessed bool
}

// versionHistory holds the versions that the operator named for a model, oldest first.
// Each version bounds the use of all versions before it, even after it was replaced
// itself.
type versionHistory []namedVersion

// newest returns the version that engines should load; 0: none was named.
func (h versionHistory) newest() int64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].version
}

// add returns the history with a further version, limited to maxNamedVersions.
func (h versionHistory) add(next namedVersion) versionHistory {
	out := append(slices.Clone(h), next)
	return out[max(0, len(out)-maxNamedVersions):]
}

// noTimeLimit is the time left for weights that were not replaced.
const noTimeLimit = time.Duration(math.MaxInt64)

// timeToBegin returns how long a request may still wait before it begins on the
// version: until beginSlack before the next named version reaches the age of the time
// bound.
//
// A prompt may wait in its engine for seconds. If it began after the bound, its caller
// would get an answer from weights that should be out of use. The request therefore
// carries this time and is withdrawn when it is over.
func (h versionHistory) timeToBegin(version int64, now, bound time.Duration) time.Duration {
	for _, after := range h {
		if after.version > version {
			return after.since + bound - beginSlack - now
		}
	}
	return noTimeLimit
}

// reportedVersion returns a version with the time at which another daemon reports that it
// was named.
func reportedVersion(now time.Duration, wall time.Time, at weights.VersionTime) namedVersion {
	age := max(0, wall.Sub(time.UnixMilli(at.UnixMs)))
	if !at.Guessed {
		age += clockSlack
	}
	return namedVersion{version: at.Version, since: now - age, guessed: at.Guessed}
}

// withReported returns the history with the time at which another daemon reports that a
// version was named.
func (h versionHistory) withReported(now time.Duration, wall time.Time, at weights.VersionTime) versionHistory {
	return h.merge(reportedVersion(now, wall, at))
}

// find returns the index of a version, or where it belongs.
func (h versionHistory) find(version int64) (int, bool) {
	return slices.BinarySearchFunc(h, version, func(m namedVersion, v int64) int { return cmp.Compare(m.version, v) })
}

// merge returns the history with a reported version. A guess is replaced by a fact, or by
// an earlier guess: that of a daemon that found the version when it started before this
// one. This daemon's own guess comes back with its claims.
func (h versionHistory) merge(reported namedVersion) versionHistory {
	i, found := h.find(reported.version)
	out := slices.Clone(h)
	switch {
	case found && out[i].guessed && (!reported.guessed || reported.since < out[i].since-clockSlack):
		out[i] = reported
	case !found && i < len(out):
		// The version was replaced before this daemon started.
		out = slices.Insert(out, i, reported)
	}
	for i := 1; i < len(out); i++ {
		out[i].since = max(out[i].since, out[i-1].since) // reported times are inexact
	}
	return out
}

// put returns the history with a reported version, in place of an earlier report of it. A
// guess does not replace a fact.
func (h versionHistory) put(reported namedVersion) versionHistory {
	i, found := h.find(reported.version)
	out := slices.Clone(h)
	switch {
	case !found:
		out = slices.Insert(out, i, reported)
	case out[i].guessed || !reported.guessed:
		out[i] = reported
	}
	return out[max(0, len(out)-maxNamedVersions):]
}

// versionChoice holds the weight versions that a request may be bound to.
type versionChoice struct {
	first            int64         // 0: no engine can serve the request
	firstBeginWithin time.Duration // how long the request may wait before it begins
	others           []otherVersion
}

// otherVersion is an alternative that a request takes if it costs less there.
type otherVersion struct {
	version     int64
	penalty     float64 // as a fraction of the latency objective
	beginWithin time.Duration
}

// maxOtherVersions bounds the alternatives to the first version.
const maxOtherVersions = 3

// chooseVersions chooses the weight versions for a request from the number of engines
// that have each version. allowed reports whether a version may still be used. at is
// the hash of the shared segment of the prompt, so that requests with the same segment
// move to the newer weights together and find it in the cache there. lead is the factor
// by which engines with the newest weights get more than their share.
//
// Older versions are included because versions may be named faster than engines load
// them, or no daemon may be giving orders for a while. Most engines then have weights
// that were replaced twice. If only the newest two versions were considered, those
// engines would idle while the few with newer weights are overloaded.
func chooseVersions(engines map[int64]int, allowed func(int64) bool, at uint64, lead float64) versionChoice {
	var all []int64
	count := 0
	for v, n := range engines {
		if n > 0 && allowed(v) {
			all = append(all, v)
			count += n
		}
	}
	if len(all) == 0 {
		return versionChoice{}
	}
	slices.SortFunc(all, func(a, b int64) int { return cmp.Compare(b, a) })
	newest, older := all[0], all[1:]
	drawn := float64(at) / math.MaxUint64
	share := min(1, lead*float64(engines[newest])/float64(count))
	if len(older) == 0 || drawn <= share {
		return versionChoice{first: newest, others: makeOtherVersions(older, oldVersionPenalty)}
	}
	first := drawOlder(engines, older, (drawn-share)/(1-share))
	rest := slices.DeleteFunc(slices.Clone(all), func(v int64) bool { return v == first })
	return versionChoice{first: first, others: makeOtherVersions(rest, newVersionPenalty)}
}

// drawOlder chooses one of the older versions in proportion to their engines.
func drawOlder(engines map[int64]int, older []int64, drawn float64) int64 {
	count := 0
	for _, v := range older {
		count += engines[v]
	}
	left := drawn * float64(count)
	for _, v := range older {
		left -= float64(engines[v])
		if left <= 0 {
			return v
		}
	}
	return older[len(older)-1]
}

// makeOtherVersions returns the first maxOtherVersions versions as alternatives with the
// same penalty.
func makeOtherVersions(all []int64, penalty float64) []otherVersion {
	var out []otherVersion
	for _, v := range all[:min(len(all), maxOtherVersions)] {
		out = append(out, otherVersion{version: v, penalty: penalty})
	}
	return out
}

// fillFrom adds versions that the subpool's own engines lack from all, which was chosen
// among all engines of the model.
//
// The first engines to load new weights may be the only ones for short prompts. Without
// the older versions as alternatives, all short prompts of the fleet would queue there,
// or be refused if those engines fail.
func (v versionChoice) fillFrom(all versionChoice) versionChoice {
	if v.first == 0 {
		return all
	}
	add := append([]otherVersion{{version: all.first}}, all.others...)
	for _, o := range add {
		known := o.version == 0 || o.version == v.first ||
			slices.ContainsFunc(v.others, func(x otherVersion) bool { return x.version == o.version })
		if !known && len(v.others) < maxOtherVersions {
			v.others = append(v.others, otherVersion{version: o.version, penalty: oldVersionPenalty})
		}
	}
	return v
}
