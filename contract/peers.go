package contract

import (
	"cmp"
	"slices"
	"time"
)

// peer is the last digest of another daemon.
type peer struct {
	id                    DaemonID
	incarnation, sequence uint64
	lastReceived          float64
	weight                float64 // 1, or less while its fraction of the fleet is taken over
	leaving               bool
	truncated             bool
	floor                 float64
	entries               []DigestEntry
}

// peerDemand is one organisation's demand at the peers, in tokens per second.
type peerDemand struct {
	demand float64
	floors float64 // sum of the floors of the truncated digests that list it
}

// fleetLoad is the load of the whole fleet as the endpoints report it.
type fleetLoad struct {
	known       bool
	at          float64
	utilisation float64 // running and waiting requests over the slots
}

const (
	loadMaxAge      = 10   // seconds
	takeoverBelow   = 0.95 // utilisation; below it, a silent peer is assumed to send nothing
	giveBackAbove   = 1.05 // utilisation; above it, too much has been taken over
	takeoverFactor  = 0.95 // of a silent peer's weight, per refresh
	giveBackStep    = 0.1  // added to a silent peer's weight, per refresh
	forgetPeerAfter = 600  // seconds without a digest
	forgetPeerBelow = 0.05 // weight
)

// MergeDigest stores a neighbour's digest. It returns false for one that isn't
// newer than the stored one, for the daemon's own, and for a new peer when
// MaxPeers are known.
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
	if known && (d.Incarnation < p.incarnation || (d.Incarnation == p.incarnation && d.Sequence <= p.sequence)) {
		return false
	}
	*p = peer{
		id:          from,
		incarnation: d.Incarnation, sequence: d.Sequence, lastReceived: a.clock, weight: 1, leaving: d.Leaving,
		truncated: d.Truncated, floor: d.Floor, entries: append(p.entries[:0], d.Entries...),
	}
	return true
}

// SetDaemonCount sets the number of live daemons on the platform's list, this one
// included; 0 means unknown.
func (a *Admission) SetDaemonCount(now time.Time, live int) {
	a.advance(now)
	a.daemons = max(live, 0)
}

// SetLoad sets the load that the endpoints report: requests of all daemons that
// run or wait there, and the slots of all endpoints.
func (a *Admission) SetLoad(now time.Time, runningAndWaiting, slots int) {
	a.advance(now)
	if slots > 0 {
		a.load = fleetLoad{known: true, at: a.clock, utilisation: float64(runningAndWaiting) / float64(slots)}
	}
}

func (a *Admission) liveDaemons() int {
	if a.daemons > 0 {
		return a.daemons
	}
	return 1 + len(a.peers)
}

func (a *Admission) silent(p *peer) bool {
	return a.clock-p.lastReceived > a.opts.SilentAfter.Seconds()
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

// adjustPeerWeights updates the weights of silent peers. Silence alone doesn't
// lower a weight: a peer that is partitioned rather than stopped goes on using its
// fraction of the fleet, and daemons that took it over would overload the
// endpoints, with requests waiting there and shares no longer kept. A weight is
// lowered in small steps, only while the endpoints report free capacity and at
// least half of the peers send digests (otherwise this daemon is the partitioned
// one), and is raised again when the endpoints fill up.
func (a *Admission) adjustPeerWeights() {
	silent := a.silentPeers()
	mostPeersSend := 2*silent <= len(a.peers)
	fresh := a.load.known && a.clock-a.load.at <= loadMaxAge
	for _, p := range a.peers {
		silence := a.clock - p.lastReceived
		switch {
		case !a.silent(p):
			continue
		case p.leaving:
			p.weight = 0
		case fresh && a.load.utilisation > giveBackAbove && p.weight < 1:
			p.weight = min(p.weight+giveBackStep, 1)
		case fresh && mostPeersSend && a.load.utilisation < takeoverBelow && silence > a.opts.SilentGrace.Seconds():
			p.weight *= takeoverFactor
		}
	}
	a.peers = slices.DeleteFunc(a.peers, func(p *peer) bool {
		return a.clock-p.lastReceived > forgetPeerAfter && p.weight < forgetPeerBelow
	})
	a.dropSurplusPeers()
}

// dropSurplusPeers removes silent peers, the longest silent first, while more
// daemons are known than the platform lists.
func (a *Admission) dropSurplusPeers() {
	if a.daemons == 0 || len(a.peers) < a.daemons {
		return
	}
	bySilence := slices.Clone(a.peers)
	slices.SortStableFunc(bySilence, func(x, y *peer) int { return cmp.Compare(x.lastReceived, y.lastReceived) })
	surplus := len(a.peers) + 1 - a.daemons
	for _, p := range bySilence[:min(surplus, len(bySilence))] {
		if a.silent(p) {
			a.peers = slices.DeleteFunc(a.peers, func(q *peer) bool { return q == p })
		}
	}
}

// refresh recomputes the local weights of the active organisations and the
// fraction of the fleet that this daemon may use.
func (a *Admission) refresh() {
	a.refreshAt = a.clock + a.opts.RefreshInterval.Seconds()
	a.dropIdle()
	a.adjustPeerWeights()
	a.sumPeers()
	a.backlog.weight = 0
	for _, o := range a.activeList {
		o.remoteDemand = a.estimateRemoteDemand(o.hash, a.demand(o))
		o.fraction = a.fraction(o)
		o.localWeight = max(o.contractWeight*o.fraction, minWeight)
		if o.backlogged() {
			a.backlog.weight += o.localWeight
		}
	}
	a.fleetFraction = a.computeFleetFraction()
}

// updateWeight recomputes the organisation's local weight after a change of its
// demand here.
func (a *Admission) updateWeight(o *organisation) {
	o.fraction = a.fraction(o)
	weight := max(o.contractWeight*o.fraction, minWeight)
	if o.backlogged() {
		a.backlog.weight += weight - o.localWeight
	}
	o.localWeight = weight
}

// minWeight avoids a division by zero for an organisation that was removed from
// the contract while its requests run.
const minWeight = 1e-12

func (a *Admission) dropIdle() {
	a.activeList = slices.DeleteFunc(a.activeList, func(o *organisation) bool {
		expired := o.idle() && a.clock-o.lastActive > a.opts.IdleTimeout.Seconds()
		if expired {
			delete(a.active, o.id)
		}
		return expired
	})
}

// sumPeers adds up the peers' digests. When digests come from only a sample of the
// daemons, the sums are scaled up to all of them, as the balancer spreads callers
// evenly.
func (a *Admission) sumPeers() {
	clear(a.peerDemands)
	a.peerFloors = 0
	a.otherDaemons = float64(a.liveDaemons() - 1)
	if len(a.peers) == 0 {
		return
	}
	scale := a.otherDaemons / float64(len(a.peers))
	a.otherDaemons = 0
	for _, p := range a.peers {
		weight := p.weight * scale
		a.otherDaemons += weight
		floor := 0.0
		if p.truncated {
			floor = p.floor * weight
			a.peerFloors += floor
		}
		for _, e := range p.entries {
			s := a.peerDemands[e.Hash]
			s.demand += e.Demand * weight
			s.floors += floor
			a.peerDemands[e.Hash] = s
		}
	}
}

// estimateRemoteDemand estimates an organisation's demand at the other daemons, in
// tokens per second. Where a truncated digest doesn't list it, its demand may be
// anything up to the digest's floor.
func (a *Admission) estimateRemoteDemand(hash uint32, localDemand float64) float64 {
	s := a.peerDemands[hash]
	return s.demand + min(max(a.peerFloors-s.floors, 0), localDemand*a.otherDaemons)
}

// fraction estimates the fraction of an organisation's demand that arrives at
// this daemon. Without data it is one over the number of daemons; priorDemand is
// the weight of that prior, so that a small demand doesn't move it.
func (a *Admission) fraction(o *organisation) float64 {
	daemons := 1 + a.otherDaemons
	if a.collidingHashes[o.hash] {
		return 1 / daemons
	}
	local := a.demand(o)
	remote := o.remoteDemand
	if len(a.peers) == 0 {
		remote = local * a.otherDaemons
	}
	return (local + priorDemand/daemons) / (local + remote + priorDemand)
}
