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
	// versionMargin ends the use of older weights before the bound, for the
	// time that a request is on its way and waits at the engine.
	versionMargin = 2500 * time.Millisecond
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

// allowed tells whether a request may still begin on the version: the first one
// that was named after it is not older than the bound.
func (n named) allowed(version int64, now, bound time.Duration) bool {
	for _, after := range n {
		if after.version > version {
			return now-after.since < bound-versionMargin
		}
	}
	return true
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
