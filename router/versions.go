package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/merlindock/merlindock/weights"
)

// Weights of the choice between versions, and times.
const (
	// newerLead is how much more work an engine with the newest weights takes
	// than its part of the engines, while a rollout is under way. Work on older
	// weights loses worth by the second; too strong a lead sends everything to
	// the few engines that are done, and less is served in all.
	newerLead = 1.3
	// beginSlack is how long before the bound on older weights a request must have
	// begun on them: the naming may have been read late, and the withdrawal of a
	// request takes a moment to reach its engine.
	beginSlack = 500 * time.Millisecond
	// beginLeast is the least time a request is given to begin in.
	beginLeast = 300 * time.Millisecond
	// beginDoubt and beginDoubtOnce are how many times the expected time until the
	// first event must be left for a request that may be placed anew and for one
	// that may not: the latter is lost when it is withdrawn. Waits are foretold
	// within a factor of two for nine prompts of ten.
	beginDoubt     = 1.5
	beginDoubtOnce = 3
)

// clockSlack is how far the times of day of two machines may be apart.
const clockSlack = 3 * time.Second

// guessAge is the age, as a part of the bound, of a version that was there when
// the daemon started, until the lease tells more.
const guessAge = 0.5

// keptNames bounds the versions of a model whose naming is remembered.
const keptNames = 16

// naming is one version that the operator named.
type naming struct {
	version int64
	since   time.Duration // when this daemon read it first, by the boot clock
	// guessed says that it was there when the daemon started, so that since
	// says nothing of when it was named.
	guessed bool
}

// named holds the versions that the operator named for a model, oldest first.
// Each bounds the use of all versions before it, also once it was overtaken
// itself.
type named []naming

// newest is the version to bring engines to; 0: none was named.
func (n named) newest() int64 {
	if len(n) == 0 {
		return 0
	}
	return n[len(n)-1].version
}

// add takes a further version.
func (n named) add(next naming) named {
	out := append(slices.Clone(n), next)
	return out[max(0, len(out)-keptNames):]
}

// noBound is the time left for weights that were not replaced.
const noBound = time.Duration(math.MaxInt64)

// left is how long a request may still wait before it begins on the version: until
// beginSlack before the first one that was named after it is as old as the bound.
//
// A prompt may wait in its engine for seconds. If it began past the bound, its
// caller would get the answer of weights that were to be out of use by then. So
// the time goes with the request, which is withdrawn when it is over.
func (n named) left(version int64, now, bound time.Duration) time.Duration {
	for _, after := range n {
		if after.version > version {
			return after.since + bound - beginSlack - now
		}
	}
	return noBound
}

// told takes another daemon's word on when a version was named.
func (n named) told(now time.Duration, wall time.Time, at weights.VersionTime) named {
	age := max(0, wall.Sub(time.UnixMilli(at.UnixMs))) + clockSlack
	said := naming{version: at.Version, since: now - age}
	i, found := slices.BinarySearchFunc(n, at.Version, func(m naming, v int64) int { return cmp.Compare(m.version, v) })
	out := slices.Clone(n)
	switch {
	case found && out[i].guessed:
		out[i] = said
	case !found && i < len(out):
		// It was overtaken before this daemon started.
		out = slices.Insert(out, i, said)
	}
	return out
}

// versions are the weight versions that a request may be bound to.
type versions struct {
	first     int64         // 0: no engine may serve
	firstLeft time.Duration // how long a request may wait before it begins on it
	others    []otherVersion
}

// otherVersion is a version that a request takes if it loses less there.
type otherVersion struct {
	version int64
	loss    float64 // that its work brings, as a part of the objective
	left    time.Duration
}

// otherVersions bounds the versions beside the first that are weighed.
const otherVersions = 3

// chooseVersions picks the weight versions for a request from the number of
// engines that have each; allowed tells whether a version may still be used.
// at is the hash of the shared part of the prompt, so that requests that share it
// move to the newer weights together and meet their cache there. lead is how
// much more than their part the engines with the newest weights get.
//
// The pattern: versions are named faster than the engines take them, or nobody
// gives orders for a while. Most engines then have weights that were replaced
// twice. If only the newest two versions counted, they would idle while the few
// engines that have those are overrun.
func chooseVersions(engines map[int64]int, allowed func(int64) bool, at uint64, lead float64) versions {
	var all []int64
	count := 0
	for v, n := range engines {
		if n > 0 && allowed(v) {
			all = append(all, v)
			count += n
		}
	}
	if len(all) == 0 {
		return versions{}
	}
	slices.SortFunc(all, func(a, b int64) int { return cmp.Compare(b, a) })
	newest, older := all[0], all[1:]
	drawn := float64(at) / math.MaxUint64
	part := min(1, lead*float64(engines[newest])/float64(count))
	if len(older) == 0 || drawn <= part {
		return versions{first: newest, others: others(older, oldLoss)}
	}
	first := drawOlder(engines, older, (drawn-part)/(1-part))
	rest := slices.DeleteFunc(slices.Clone(all), func(v int64) bool { return v == first })
	return versions{first: first, others: others(rest, earlyLoss)}
}

// drawOlder chooses one of the older versions by its part of their engines.
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

func others(all []int64, loss float64) []otherVersion {
	var out []otherVersion
	for _, v := range all[:min(len(all), otherVersions)] {
		out = append(out, otherVersion{version: v, loss: loss})
	}
	return out
}

// orElse fills in what the lane's own engines do not offer from all engines of the
// model, as chooseVersions chose from them.
//
// When the first engines have new weights, they may be the only ones for short
// prompts. Without the older ones as another way, all short prompts of the fleet
// would queue there, or be turned away if they fail.
func (v versions) orElse(all versions) versions {
	if v.first == 0 {
		return all
	}
	add := append([]otherVersion{{version: all.first}}, all.others...)
	for _, o := range add {
		known := o.version == 0 || o.version == v.first ||
			slices.ContainsFunc(v.others, func(x otherVersion) bool { return x.version == o.version })
		if !known && len(v.others) < otherVersions {
			v.others = append(v.others, otherVersion{version: o.version, loss: oldLoss})
		}
	}
	return v
}
