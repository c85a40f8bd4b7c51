package reach

import (
	"math/rand/v2"
	"time"
)

// Peer is another daemon.
type Peer struct {
	Name    string
	Address string
	Zone    string
}

const (
	// helperAvoidance is how long a daemon that could not help is asked only if there is
	// no other.
	helperAvoidance = 2 * time.Second
	// maxPreferred bounds the helpers among which relayed connections are divided.
	maxPreferred = 3
)

// Helpers chooses the daemons that are asked to relay connections. Those of the daemon's
// own zone are near, but may be cut off together with it.
type Helpers struct {
	zone         string
	rng          *rand.Rand
	near, far    []Peer
	avoidedUntil map[string]time.Duration // by address
	preferred    []Peer                   // that helped last
}

// NewHelpers returns Helpers without daemons, for a daemon of the zone.
func NewHelpers(zone string, rng *rand.Rand) *Helpers {
	return &Helpers{zone: zone, rng: rng, avoidedUntil: map[string]time.Duration{}}
}

// Set replaces the list of daemons, which must not contain the daemon itself.
func (h *Helpers) Set(all []Peer) {
	h.near, h.far = nil, nil
	known := make(map[string]bool, len(all))
	for _, p := range all {
		known[p.Address] = true
		if p.Zone == h.zone {
			h.near = append(h.near, p)
		} else {
			h.far = append(h.far, p)
		}
	}
	for address := range h.avoidedUntil {
		if !known[address] {
			delete(h.avoidedUntil, address)
		}
	}
	kept := h.preferred[:0]
	for _, p := range h.preferred {
		if known[p.Address] {
			kept = append(kept, p)
		}
	}
	h.preferred = kept
}

// Choose returns up to limit distinct daemons to ask: one that helped before, and daemons
// of the own and of other zones by turns, beginning with either. Avoided ones come last.
// Until maxPreferred have helped, every other call asks another one first.
func (h *Helpers) Choose(now time.Duration, limit int) []Peer {
	var out, avoided []Peer
	seen := map[string]bool{}
	add := func(p Peer) {
		if seen[p.Address] {
			return
		}
		seen[p.Address] = true
		if now < h.avoidedUntil[p.Address] {
			avoided = append(avoided, p)
		} else {
			out = append(out, p)
		}
	}
	explore := len(h.preferred) < maxPreferred && h.rng.IntN(2) == 0
	if !explore {
		h.addPreferred(add)
	}
	// Looking at a few more than asked for is enough to find some that are not avoided
	// without a pass over a thousand daemons.
	turn := h.rng.IntN(2)
	for i := 0; i < 4*limit && len(out) < limit; i++ {
		from := h.near
		if (i+turn)%2 == 1 || len(from) == 0 {
			from = h.far
		}
		if len(from) == 0 {
			from = h.near
		}
		if len(from) > 0 {
			add(from[h.rng.IntN(len(from))])
		}
		if i == 0 && explore {
			h.addPreferred(add)
		}
	}
	out = append(out, avoided...)
	return out[:min(limit, len(out))]
}

func (h *Helpers) addPreferred(add func(Peer)) {
	if n := len(h.preferred); n > 0 {
		add(h.preferred[h.rng.IntN(n)])
	}
}

// Helped records that a daemon reached an endpoint for this one.
func (h *Helpers) Helped(p Peer) {
	delete(h.avoidedUntil, p.Address)
	for _, known := range h.preferred {
		if known.Address == p.Address {
			return
		}
	}
	if len(h.preferred) < maxPreferred {
		h.preferred = append(h.preferred, p)
	}
}

// Failed records that a daemon did not help.
func (h *Helpers) Failed(now time.Duration, p Peer) {
	h.avoidedUntil[p.Address] = now + helperAvoidance
	for i, known := range h.preferred {
		if known.Address == p.Address {
			h.preferred = append(h.preferred[:i], h.preferred[i+1:]...)
			return
		}
	}
}
