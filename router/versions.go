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
func (n named) told(now time.Duration, wall time.Time, at weights.NamedAt) named {
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
	first     int64   // 0: no engine may serve
	other     int64   // 0: none
	otherLoss float64 // that the other one's work brings, as a part of the objective
	// firstLeft and otherLeft are how long a request may wait before it begins.
	firstLeft, otherLeft time.Duration
}

// chooseVersions picks the weight versions for a request from the number of
// engines that have each; allowed tells whether a version may still be used.
// hash is that of the shared part of the prompt, so that requests that share it
// move to the newer weights together and meet their cache there. lead is how
// much more than their part the engines with the newest weights get.
func chooseVersions(engines map[int64]int, allowed func(int64) bool, hash uint64, lead float64) versions {
	newest, older, all := int64(0), int64(0), 0
	for v, count := range engines {
		if count == 0 || !allowed(v) {
			continue
		}
		all += count
		if v > newest {
			newest, older = v, newest
		} else {
			older = max(older, v)
		}
	}
	if older == 0 {
		return versions{first: newest}
	}
	part := min(1, lead*float64(engines[newest])/float64(all))
	if float64(hash) <= part*math.MaxUint64 {
		return versions{first: newest, other: older, otherLoss: oldLoss}
	}
	return versions{first: older, other: newest, otherLoss: earlyLoss}
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
	if v.other != 0 {
		return v
	}
	v.otherLoss = oldLoss
	switch {
	case all.first != v.first:
		v.other = all.first
	default:
		v.other = all.other
	}
	return v
}
