package contract

import (
	"cmp"
	"slices"
	"time"
)

// peer is the last that another daemon said of itself.
type peer struct {
	id              DaemonID
	epoch, sequence uint64
	heard           float64
	weight          float64 // 1, or less when its part is being taken over
	leaving         bool
	truncated       bool
	floor           float64
	entries         []DigestEntry
}

// peerDemand is what the peers told of one organisation.
type peerDemand struct {
	demand float64
	floors float64 // of the truncated digests that list it
}

// fleetLoad is what the endpoints say of the whole fleet.
type fleetLoad struct {
	known bool
	at    float64
	part  float64 // running and waiting requests over the slots
}

const (
	loadFresh     = 10   // seconds
	loadRoom      = 0.95 // below it, a silent peer seems to spend nothing
	loadFull      = 1.05 // above it, too much has been taken over
	releaseStep   = 0.95 // a refresh
	returnStep    = 0.1
	forgetAfter   = 600 // seconds of silence
	releasedBelow = 0.05
)

// MergeDigest takes a neighbour's digest. It reports false for one that is not
// newer than what is known, and when MaxPeers are known already.
func (a *Admission) MergeDigest(now time.Time, from DaemonID, d Digest) bool {
	a.advance(now)
	if from == a.opts.Daemon {
		return false
	}
	i, known := slices.BinarySearchFunc(a.peers, from, func(p *peer, id DaemonID) int {
		return cmp.Compare(p.id, id)
	})
	if !known {
		if len(a.peers) >= MaxPeers {
			return false
		}
		a.peers = slices.Insert(a.peers, i, &peer{id: from})
	}
	p := a.peers[i]
	if known && (d.Incarnation < p.epoch || (d.Incarnation == p.epoch && d.Sequence <= p.sequence)) {
		return false
	}
	*p = peer{
		id:    from,
		epoch: d.Incarnation, sequence: d.Sequence, heard: a.clock, weight: 1, leaving: d.Leaving,
		truncated: d.Truncated, floor: d.Floor, entries: append(p.entries[:0], d.Entries...),
	}
	return true
}

// SetDaemonCount tells how many daemons are live by the platform's list, this one
// included; 0 when it isn't known.
func (a *Admission) SetDaemonCount(now time.Time, live int) {
	a.advance(now)
	a.daemons = max(live, 0)
}

// SetLoad tells how full the endpoints say they are: requests that run or
// wait, of all daemons, over the slots.
func (a *Admission) SetLoad(now time.Time, runningAndWaiting, slots int) {
	a.advance(now)
	if slots > 0 {
		a.load = fleetLoad{known: true, at: a.clock, part: float64(runningAndWaiting) / float64(slots)}
	}
}

func (a *Admission) liveDaemons() int {
	if a.daemons > 0 {
		return a.daemons
	}
	return 1 + len(a.peers)
}

func (a *Admission) silent(p *peer) bool {
	return a.clock-p.heard > a.opts.SilentAfter.Seconds()
}

func (a *Admission) silentPeers() int {
	n := 0
	for _, p := range a.peers {
		if a.silent(p) {
			n++
		}
	}
	return n
}

// releasePeers decides what becomes of the part of silent peers. Silence alone
// frees nothing: a peer that is cut off, rather than dead, goes on spending its
// part, and daemons that took it over would together send more than the fleet
// can do, seen as waiting requests at the endpoints and shares that are off. A
// part is taken over in small steps, only while the endpoints report room and
// most of the peers are heard (else it is this daemon that is cut off), and is
// given back when the endpoints fill up.
func (a *Admission) releasePeers() {
	silent := a.silentPeers()
	heardMost := 2*silent <= len(a.peers)
	fresh := a.load.known && a.clock-a.load.at <= loadFresh
	for _, p := range a.peers {
		silence := a.clock - p.heard
		switch {
		case !a.silent(p):
			continue
		case p.leaving:
			p.weight = 0
		case fresh && a.load.part > loadFull && p.weight < 1:
			p.weight = min(p.weight+returnStep, 1)
		case fresh && heardMost && a.load.part < loadRoom && silence > a.opts.SilentGrace.Seconds():
			p.weight *= releaseStep
		}
	}
	a.peers = slices.DeleteFunc(a.peers, func(p *peer) bool {
		return a.clock-p.heard > forgetAfter && p.weight < releasedBelow
	})
	a.dropDead()
}

// dropDead forgets silent peers when the platform's list counts fewer daemons
// than are known.
func (a *Admission) dropDead() {
	if a.daemons == 0 || len(a.peers) < a.daemons {
		return
	}
	bySilence := slices.Clone(a.peers)
	slices.SortStableFunc(bySilence, func(x, y *peer) int { return cmp.Compare(x.heard, y.heard) })
	surplus := len(a.peers) + 1 - a.daemons
	for _, p := range bySilence[:min(surplus, len(bySilence))] {
		if a.silent(p) {
			a.peers = slices.DeleteFunc(a.peers, func(q *peer) bool { return q == p })
		}
	}
}

// refresh works out anew what part of the fleet this daemon spends and for
// whom.
func (a *Admission) refresh() {
	a.refreshAt = a.clock + a.opts.RefreshInterval.Seconds()
	a.dropIdle()
	a.releasePeers()
	a.sumPeers()
	a.backlog.weight = 0
	for _, o := range a.list {
		o.there = a.elsewhere(o.hash, a.demand(o))
		o.fraction = a.fraction(o)
		o.weight = max(o.share*o.fraction, minWeight)
		if o.backlogged() {
			a.backlog.weight += o.weight
		}
	}
	a.part = a.partOfFleet()
}

// reweigh takes a change of the organisation's demand here into account.
func (a *Admission) reweigh(o *organisation) {
	o.fraction = a.fraction(o)
	weight := max(o.share*o.fraction, minWeight)
	if o.backlogged() {
		a.backlog.weight += weight - o.weight
	}
	o.weight = weight
}

// minWeight keeps the arithmetic finite for an organisation that has left the
// contract while its requests run.
const minWeight = 1e-12

func (a *Admission) dropIdle() {
	a.list = slices.DeleteFunc(a.list, func(o *organisation) bool {
		gone := o.idle() && a.clock-o.seen > a.opts.IdleTimeout.Seconds()
		if gone {
			delete(a.active, o.id)
		}
		return gone
	})
}

// sumPeers adds up the peers' digests. Where only a sample of the daemons is
// heard, the rest is taken to be like the sample, as the balancer spreads
// callers evenly.
func (a *Admission) sumPeers() {
	clear(a.sums)
	a.floors = 0
	a.others = float64(a.liveDaemons() - 1)
	if len(a.peers) == 0 {
		return
	}
	scale := a.others / float64(len(a.peers))
	a.others = 0
	for _, p := range a.peers {
		weight := p.weight * scale
		a.others += weight
		floor := 0.0
		if p.truncated {
			floor = p.floor * weight
			a.floors += floor
		}
		for _, e := range p.entries {
			s := a.sums[e.Hash]
			s.demand += e.Demand * weight
			s.floors += floor
			a.sums[e.Hash] = s
		}
	}
}

// elsewhere estimates an organisation's demand at the other daemons. One that
// a full digest leaves out may ask for anything up to the digest's floor there.
func (a *Admission) elsewhere(hash uint32, here float64) float64 {
	s := a.sums[hash]
	return s.demand + min(max(a.floors-s.floors, 0), here*a.others)
}

// fraction is the part of an organisation's demand that comes to this daemon;
// its weight here is that part of its share. With nothing known it is one over
// the number of daemons, and priorDemand holds it there until there is enough
// to tell.
func (a *Admission) fraction(o *organisation) float64 {
	daemons := 1 + a.others
	if a.clashes[o.hash] {
		return 1 / daemons
	}
	here := a.demand(o)
	there := o.there
	if len(a.peers) == 0 {
		there = here * a.others
	}
	return (here + priorDemand/daemons) / (here + there + priorDemand)
}
