// Package reach tracks which endpoints a daemon reaches over its own connections. It
// decides whether to connect to an endpoint directly or through another daemon, and which
// daemons to ask.
//
// An endpoint that accepts no connection may be down, or the daemon may be cut off from
// it. The difference shows when another daemon reaches it. The package does no I/O and
// reads no clock. Its types are not safe for concurrent use.
package reach

import (
	"math/rand/v2"
	"time"
)

const (
	// isolationPaths is the number of endpoints that have to be reached through other
	// daemons, with no direct connection established in between, until the daemon counts
	// as cut off from all endpoints.
	isolationPaths = 3
	// recoveryPaths is the number of endpoints to which direct connections have to succeed
	// one after the other until it no longer does.
	recoveryPaths = 2
	// probeInterval is the mean time between two direct connections that are opened only to
	// find out whether a path is back.
	probeInterval = 500 * time.Millisecond
	// lostLifetime is how long a lost path is remembered that is neither used nor probed
	// with success.
	lostLifetime = time.Minute
	// maxLost bounds the lost paths that are remembered.
	maxLost = 1024
)

// lostPath is a path over which direct connections fail while relayed ones succeed.
type lostPath struct {
	confirmedAt time.Duration
	probedAt    time.Duration
	silent      bool // no packet answered the direct connection
}

// Loss describes a path that turned out to be lost.
type Loss struct {
	New      bool // the path was not known to be lost
	Isolated bool // the daemon counts as isolated from now on
	// Silent states that packets get no answer over the path or, with Isolated, over some
	// lost path, so that open connections are of no use either.
	Silent bool
}

// Tracker holds the paths from this daemon to endpoints that are known to be lost. Times
// are those of one monotonic clock.
type Tracker struct {
	rng       *rand.Rand
	failing   map[string]bool // direct connections failed since the last relayed one; true: silently
	lost      map[string]lostPath
	streak    map[string]bool // lost since a direct connection last succeeded
	isolated  bool
	recovered map[string]bool // reached directly, one after the other, while isolated
	nextProbe time.Duration
}

// NewTracker returns a Tracker that considers all paths intact.
func NewTracker(rng *rand.Rand) *Tracker {
	return &Tracker{
		rng: rng, failing: map[string]bool{}, lost: map[string]lostPath{}, streak: map[string]bool{}, recovered: map[string]bool{},
	}
}

// Isolated reports whether the daemon counts as cut off from all endpoints.
func (t *Tracker) Isolated() bool { return t.isolated }

// Lost returns the number of lost paths.
func (t *Tracker) Lost() int { return len(t.lost) }

// Suspicious reports whether some path is lost.
func (t *Tracker) Suspicious() bool { return t.isolated || len(t.lost) > 0 }

// UseRelay reports whether to connect to the address through another daemon.
func (t *Tracker) UseRelay(address string) bool {
	_, lost := t.lost[address]
	return t.isolated || lost
}

// DirectFailed records that a direct connection could not be established. silent states
// that no packet answered.
func (t *Tracker) DirectFailed(address string, silent bool) {
	clear(t.recovered)
	if len(t.failing) < maxLost {
		t.failing[address] = silent
	}
}

// DirectWorked records that a direct connection was established. It reports whether the
// daemon no longer counts as isolated because of it.
func (t *Tracker) DirectWorked(now time.Duration, address string) (ended bool) {
	delete(t.failing, address)
	delete(t.lost, address)
	clear(t.streak)
	t.nextProbe = now // other paths are probably back as well
	if !t.isolated {
		return false
	}
	t.recovered[address] = true
	if len(t.recovered) < recoveryPaths && len(t.lost) > 0 {
		return false
	}
	t.reset()
	return true
}

func (t *Tracker) reset() {
	t.isolated = false
	clear(t.failing)
	clear(t.lost)
	clear(t.streak)
	clear(t.recovered)
}

// RelayWorked records that another daemon reached the address, and returns what that shows
// of the path to it.
func (t *Tracker) RelayWorked(now time.Duration, address string) Loss {
	before, known := t.lost[address]
	silent, failing := t.failing[address]
	if !known && (!failing || len(t.lost) >= maxLost) {
		return Loss{}
	}
	delete(t.failing, address)
	if !known {
		t.streak[address] = true
	}
	if !t.Suspicious() {
		t.nextProbe = now + t.pause()
	}
	t.lost[address] = lostPath{confirmedAt: now, probedAt: max(now, before.probedAt), silent: silent || before.silent}
	found := Loss{New: !known, Silent: silent}
	if !t.isolated && len(t.streak) >= isolationPaths {
		t.isolated, found.Isolated = true, true
		for _, p := range t.lost {
			found.Silent = found.Silent || p.silent
		}
	}
	return found
}

// RelayFailed records that other daemons do not reach the address either.
func (t *Tracker) RelayFailed(address string) {
	delete(t.failing, address)
	delete(t.lost, address)
	delete(t.streak, address)
}

// Probe returns an address to which a direct connection is to be opened now, to find out
// whether its path is back. It returns false if none is due.
func (t *Tracker) Probe(now time.Duration) (string, bool) {
	for address, p := range t.lost {
		if now-p.confirmedAt > lostLifetime {
			delete(t.lost, address)
		}
	}
	if t.isolated && len(t.lost) == 0 {
		t.reset()
	}
	if len(t.lost) == 0 || now < t.nextProbe {
		return "", false
	}
	best := ""
	for address, p := range t.lost {
		if best == "" || p.probedAt < t.lost[best].probedAt || p.probedAt == t.lost[best].probedAt && address < best {
			best = address
		}
	}
	p := t.lost[best]
	p.probedAt = now
	t.lost[best] = p
	t.nextProbe = now + t.pause()
	return best, true
}

// pause is random, so that daemons that were cut off together do not probe together.
func (t *Tracker) pause() time.Duration {
	return time.Duration((0.75 + t.rng.Float64()/2) * float64(probeInterval))
}
