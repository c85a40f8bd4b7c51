package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/internal/hash"
)

// Options are what a Node needs.
type Options struct {
	Self gossip.Peer
	Rand *rand.Rand // seeded; draws the daemons that are told
}

// Node is one daemon's part in holding requests. It is not safe for concurrent use.
// What it wants to send is collected until Outbox is called, what it decided until
// Changes is.
type Node struct {
	peers    *gossip.Peers
	suspects suspects
	answers  answers
	holds    map[Fingerprint]*hold
	reports  []outgoingReport
	turn     int // of the holds, in messages with what is held
	changes  []Change
}

// hold is what is known of a request that was held.
type hold struct {
	round   uint64
	cleared bool
	since   time.Duration // the first of the ends
	until   time.Duration // when it is forgotten
	relays  int           // ticks at which it is still passed on
}

// outgoingReport is a report that is sent several times.
type outgoingReport struct {
	fingerprint Fingerprint
	end         end
	owners      []gossip.Peer
	sent        int
	due         time.Duration // the next time
}

// NewNode returns a Node that knows no other daemons and holds nothing.
func NewNode(o Options) *Node {
	return &Node{peers: gossip.NewPeers(o.Self, o.Rand), suspects: newSuspects(), answers: newAnswers(), holds: map[Fingerprint]*hold{}}
}

// SetPeers takes the list of all daemons.
func (n *Node) SetPeers(all []gossip.Peer) { n.peers.Set(all) }

// Held tells whether the request is held.
func (n *Node) Held(now time.Duration, f Fingerprint) (Hold, bool) {
	h := n.holds[f]
	if h == nil || h.cleared || now >= h.until {
		return Hold{}, false
	}
	return Hold{Left: h.until - now, Crashes: n.suspects.count(f, now)}, true
}

// MayRetry tells whether this daemon may send the request to another endpoint after
// it was lost at one.
func (n *Node) MayRetry(now time.Duration, f Fingerprint) bool {
	_, held := n.Held(now, f)
	return !held && n.suspects.count(f, now) < endsToRepeat
}

// EndpointCrashed takes that an endpoint ended while it ran this daemon's request.
func (n *Node) EndpointCrashed(now time.Duration, f Fingerprint, e fleet.EndpointID) {
	if n.answers.clears(f, now) || len(e) > endpointBytes {
		return
	}
	n.reports = append(n.reports, outgoingReport{fingerprint: f, end: end{e, now}, owners: n.owners(f), due: now})
	n.judge(now, f, end{e, now})
	n.sendReports(now)
}

// judge counts an end, and holds the request if it was at too many.
func (n *Node) judge(now time.Duration, f Fingerprint, e end) {
	ends := n.suspects.add(f, e)
	if len(ends) < endsToHold {
		return
	}
	round := uint64(1)
	if h := n.holds[f]; h != nil && now < h.until {
		if !h.cleared {
			return
		}
		round = h.round + 1
	}
	if n.apply(now, update{fingerprint: f, round: round, since: now - first(ends), left: HoldDuration}, ReasonCrashes) {
		n.tell(now, f, gossip.DirectPeers)
	}
}

// Answered takes that an endpoint gave a whole answer of the request.
func (n *Node) Answered(now time.Duration, f Fingerprint) {
	n.answers.add(f, now)
	n.suspects.clear(f)
	n.lift(now, f, ReasonAnswered)
}

// Lift ends a hold by the operator's word. It returns false if there is none.
func (n *Node) Lift(now time.Duration, f Fingerprint) bool {
	n.suspects.clear(f)
	return n.lift(now, f, ReasonOperator)
}

func (n *Node) lift(now time.Duration, f Fingerprint, why Reason) bool {
	h := n.holds[f]
	if h == nil || h.cleared || now >= h.until {
		return false
	}
	n.apply(now, update{fingerprint: f, round: h.round, cleared: true, since: now - h.since, left: h.until - now}, why)
	n.tell(now, f, gossip.DirectPeers)
	return true
}

// apply takes a hold or a clearance if it is newer than what is known.
func (n *Node) apply(now time.Duration, t update, why Reason) bool {
	h := n.holds[t.fingerprint]
	if h != nil && now < h.until && !newer(t, h) {
		return false
	}
	if h == nil {
		n.makeRoom()
	}
	n.holds[t.fingerprint] = &hold{
		round: t.round, cleared: t.cleared, since: now - t.since, until: now + t.left, relays: gossip.RelayTimes,
	}
	c := Change{Fingerprint: t.fingerprint, Held: !t.cleared, Reason: why, Left: t.left}
	for _, e := range n.suspects.ends[t.fingerprint] {
		c.Crashed = append(c.Crashed, e.endpoint)
	}
	n.changes = append(n.changes, c)
	if t.cleared {
		n.suspects.clear(t.fingerprint)
	}
	return true
}

func newer(t update, h *hold) bool {
	return t.round > h.round || t.round == h.round && t.cleared && !h.cleared
}

// makeRoom forgets the hold that ends first if there are too many.
func (n *Node) makeRoom() {
	if len(n.holds) < maxHolds {
		return
	}
	var first Fingerprint
	var until time.Duration
	for f, h := range n.holds {
		if until == 0 || h.until < until {
			first, until = f, h.until
		}
	}
	delete(n.holds, first)
}

// Tick does what is due with time alone.
func (n *Node) Tick(now time.Duration) {
	n.sendReports(now)
	for f, h := range n.holds {
		switch {
		case now >= h.until:
			delete(n.holds, f)
			n.suspects.clear(f)
			if !h.cleared {
				n.changes = append(n.changes, Change{Fingerprint: f, Reason: ReasonExpired})
			}
		case h.relays > 0:
			h.relays--
			n.tell(now, f, gossip.RelayPeers)
		}
	}
	if len(n.holds) > 0 && n.peers.SyncDue(now) {
		n.sync(now)
	}
}

// sendReports sends each report to the owners of its fingerprint.
func (n *Node) sendReports(now time.Duration) {
	byOwner := map[gossip.Peer][]report{}
	n.reports = slices.DeleteFunc(n.reports, func(r outgoingReport) bool { return r.sent >= reportTimes })
	for i := range n.reports {
		r := &n.reports[i]
		if now < r.due {
			continue
		}
		r.sent, r.due = r.sent+1, now+reportEvery
		for _, owner := range r.owners {
			byOwner[owner] = append(byOwner[owner], report{r.fingerprint, r.end.endpoint, now - r.end.at})
		}
	}
	for to, all := range byOwner {
		for part := range slices.Chunk(all, maxReports) {
			n.peers.Send(to, encodeReports(part))
		}
	}
}

// owners are the daemons that count the ends of a request, the same ones at all
// daemons that know the same list.
func (n *Node) owners(f Fingerprint) []gossip.Peer {
	rank := func(p gossip.Peer) uint64 { return hash.Text(string(f[:]) + "/quarantine/" + p.Name) }
	var best []gossip.Peer
	for _, p := range n.peers.Others() {
		at, _ := slices.BinarySearchFunc(best, p, func(a, b gossip.Peer) int { return cmp.Compare(rank(a), rank(b)) })
		if at < ownerCount {
			best = slices.Insert(best, at, p)
			best = best[:min(len(best), ownerCount)]
		}
	}
	return best
}

// tell tells daemons of the hold of a request.
func (n *Node) tell(now time.Duration, f Fingerprint, peers int) {
	n.peers.Tell(peers, encodeHolds([]update{n.updateOf(now, f)}))
}

func (n *Node) updateOf(now time.Duration, f Fingerprint) update {
	h := n.holds[f]
	return update{
		fingerprint: f, round: h.round, cleared: h.cleared, since: min(now-h.since, HoldDuration+evidenceTime), left: max(h.until-now, 0),
	}
}

// sync tells some daemon of some holds, in turn.
func (n *Node) sync(now time.Duration) {
	all := make([]Fingerprint, 0, len(n.holds))
	for f := range n.holds {
		all = append(all, f)
	}
	slices.SortFunc(all, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	var next []update
	for range min(syncHolds, len(all)) {
		n.turn = (n.turn + 1) % len(all)
		next = append(next, n.updateOf(now, all[n.turn]))
	}
	n.peers.Tell(1, encodeHolds(next))
}

// Receive takes a message of another daemon.
func (n *Node) Receive(now time.Duration, data []byte) error {
	if len(data) > 0 && data[0] == kindReport {
		all, err := decodeReports(data)
		for _, r := range all {
			n.reported(now, r)
		}
		return err
	}
	all, err := decodeHolds(data)
	for _, t := range all {
		n.receiveUpdate(now, t)
	}
	return err
}

// reported takes another daemon's report. A request that was answered here since is
// none that ends every endpoint.
func (n *Node) reported(now time.Duration, r report) {
	if at := now - r.age; !n.answers.clears(r.fingerprint, at) {
		n.judge(now, r.fingerprint, end{r.endpoint, at})
	}
}

// receiveUpdate takes another daemon's word of a hold, and contradicts it if the request was
// answered here since the first of the ends.
func (n *Node) receiveUpdate(now time.Duration, t update) {
	if t.left <= 0 || !n.apply(now, t, ReasonReceived) {
		return
	}
	if !t.cleared && n.answers.clears(t.fingerprint, now-t.since) {
		n.lift(now, t.fingerprint, ReasonAnswered)
	}
}

// StoredHold is a hold as it is kept outside the daemons, for those that start anew.
type StoredHold struct {
	Fingerprint Fingerprint
	Round       uint64        // of the holds of one request the later round counts
	Age         time.Duration // of the first of the ends
	Left        time.Duration
}

// HoldToStore returns the hold of a request; false if it is not held.
func (n *Node) HoldToStore(now time.Duration, f Fingerprint) (StoredHold, bool) {
	if _, held := n.Held(now, f); !held {
		return StoredHold{}, false
	}
	t := n.updateOf(now, f)
	return StoredHold{Fingerprint: f, Round: t.round, Age: t.since, Left: t.left}, true
}

// RestoreHold takes a hold that was kept. All daemons read it, so it is not passed on.
func (n *Node) RestoreHold(now time.Duration, k StoredHold) {
	n.receiveUpdate(now, update{fingerprint: k.Fingerprint, round: k.Round, since: k.Age, left: min(k.Left, HoldDuration)})
	if h := n.holds[k.Fingerprint]; h != nil && !h.cleared {
		h.relays = 0
	}
}

// Outbox returns what is to be sent, and forgets it.
func (n *Node) Outbox() []gossip.Datagram { return n.peers.Outbox() }

// Changes returns the holds that began or ended, and forgets them.
func (n *Node) Changes() []Change {
	out := n.changes
	n.changes = nil
	return out
}

// Holds lists the requests that are held, by fingerprint.
func (n *Node) Holds(now time.Duration) map[Fingerprint]Hold {
	out := map[Fingerprint]Hold{}
	for f := range n.holds {
		if h, held := n.Held(now, f); held {
			out[f] = h
		}
	}
	return out
}
