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

// Options configure a Node.
type Options struct {
	Self gossip.Peer
	Rand *rand.Rand // seeded; chooses the peers for gossip
}

// Node is the quarantine of one daemon. It is not safe for concurrent use. Outgoing
// messages are collected until Outbox is called, and changes until Changes is.
type Node struct {
	peers     *gossip.Peers
	suspects  suspects
	answers   [2]answers // to requests, and to prompts with segments; see answersOf
	holds     map[Fingerprint]*hold
	reports   []outgoingReport
	syncIndex int // index of the last hold sent in a periodic message
	changes   []Change
}

// hold is the state of a request or segment that is or was held.
type hold struct {
	round      uint64
	cleared    bool
	firstCrash time.Duration
	until      time.Duration                      // when the entry expires
	version    int64                              // newest weights under which an endpoint crashed
	crashes    crashSet                           // empty: not known
	lastCrash  map[fleet.EndpointID]endpointCrash // by endpoint, as far as this daemon knows
	relaysLeft int                                // remaining ticks at which it is sent to peers
}

// outgoingReport is a report that is sent maxReportSends times.
type outgoingReport struct {
	fingerprint Fingerprint
	crash       crash
	owners      []gossip.Peer
	sent        int
	nextSend    time.Duration
}

// NewNode returns a Node without peers and holds.
func NewNode(o Options) *Node {
	return &Node{peers: gossip.NewPeers(o.Self, o.Rand), suspects: newSuspects(), answers: [2]answers{newAnswers(), newAnswers()}, holds: map[Fingerprint]*hold{}}
}

// answersOf returns the answers among which those for the fingerprint are. Segments have
// their own, so that no caller can displace those of requests by inventing segments.
func (n *Node) answersOf(f Fingerprint) *answers {
	if f.IsSegment() {
		return &n.answers[1]
	}
	return &n.answers[0]
}

// SetPeers sets the list of all daemons.
func (n *Node) SetPeers(all []gossip.Peer) { n.peers.Set(all) }

// Held returns the hold by which the request is refused, and false if there is none.
func (n *Node) Held(now time.Duration, id *Identity) (Hold, bool) {
	if len(n.holds) == 0 {
		return Hold{}, false
	}
	own := id.fingerprints()
	for _, f := range own {
		if h := n.active(now, f); h != nil && now >= n.enforcedFrom(f, h) && !n.explained(now, h, own) {
			return n.describe(now, f, h), true
		}
	}
	return Hold{}, false
}

func (n *Node) describe(now time.Duration, f Fingerprint, h *hold) Hold {
	return Hold{Fingerprint: f, Left: h.until - now, Crashes: len(h.crashes)}
}

// active returns the hold of a fingerprint, or nil if it was cleared or has expired.
func (n *Node) active(now time.Duration, f Fingerprint) *hold {
	if h := n.holds[f]; h != nil && !h.cleared && now < h.until {
		return h
	}
	return nil
}

// enforcedFrom returns the time from which a hold is enforced.
func (n *Node) enforcedFrom(f Fingerprint, h *hold) time.Duration {
	decided := h.until - HoldDuration
	switch {
	case !f.IsSegment():
		return decided
	case len(n.peers.Others()) <= gossip.DirectFanout:
		return decided + directConfirmation
	default:
		return decided + gossipConfirmation
	}
}

// explained reports whether all crashes of a hold can be due to something else that is
// held and that the request does not have. The request is then let through: its answer
// acquits what it has, or its crash is one that the other hold does not explain.
func (n *Node) explained(now time.Duration, h *hold, own []Fingerprint) bool {
	if len(h.crashes) == 0 {
		return false
	}
	for f, other := range n.holds {
		if !other.cleared && now < other.until && other.crashes.contains(h.crashes) && !slices.Contains(own, f) {
			return true
		}
	}
	return false
}

// MayRetry reports whether this daemon may send the request to another endpoint after
// the connection to one was lost.
func (n *Node) MayRetry(now time.Duration, id *Identity) bool {
	if _, held := n.Held(now, id); held {
		return false
	}
	for _, f := range id.fingerprints() {
		if n.suspects.count(f, now) >= crashesToStopRetries {
			return false
		}
	}
	return true
}

// EndpointCrashed records that an endpoint crashed while it ran this daemon's request on
// weights of the given version. It returns the fingerprints that the crash counts against.
func (n *Node) EndpointCrashed(now time.Duration, id *Identity, version int64, e fleet.EndpointID) []Fingerprint {
	if len(e) > maxEndpointBytes {
		return nil
	}
	var counted []Fingerprint
	c := crash{e, now, version}
	for _, f := range id.fingerprints() {
		if n.answersOf(f).acquits(f, now, version) {
			continue
		}
		counted = append(counted, f)
		n.reports = append(n.reports, outgoingReport{fingerprint: f, crash: c, owners: n.owners(f), nextSend: now})
		n.recordCrash(now, f, c)
	}
	n.sendReports(now)
	return counted
}

// recordCrash counts a crash, and begins a hold once there are crashesToHold of them.
func (n *Node) recordCrash(now time.Duration, f Fingerprint, c crash) {
	crashes := n.suspects.add(f, c)
	if h := n.active(now, f); h != nil {
		n.addCrash(now, f, h, c)
		return
	}
	if len(crashes) < crashesToHold {
		return
	}
	u := update{fingerprint: f, round: 1, crashAge: now - firstCrash(crashes), left: HoldDuration}
	if h := n.holds[f]; h != nil && now < h.until {
		u.round = h.round + 1
	}
	first := hold{}
	for _, c := range crashes {
		u.crashes.add(first.count(c))
		u.version = max(u.version, c.version)
	}
	if n.apply(now, u, ReasonCrashes) {
		n.holds[f].lastCrash = first.lastCrash
		n.announce(now, f, gossip.DirectFanout)
	}
}

// addCrash adds a crash to a hold and sends it to the other daemons if it is new.
func (n *Node) addCrash(now time.Duration, f Fingerprint, h *hold, c crash) {
	h.version = max(h.version, c.version)
	if h.crashes.add(h.count(c)) {
		h.relaysLeft = gossip.RelayRounds
		n.announce(now, f, gossip.DirectFanout)
	}
}

// endpointCrash is the last known crash of an endpoint under what is held.
type endpointCrash struct {
	at    time.Duration
	count int
}

// count counts a crash and returns its hash. An endpoint may crash again under its key after
// a restart; reports within minCrashInterval are of the same crash.
func (h *hold) count(c crash) uint32 {
	last := h.lastCrash[c.endpoint]
	if last.count == 0 || c.at-last.at >= minCrashInterval {
		if h.lastCrash == nil {
			h.lastCrash = map[fleet.EndpointID]endpointCrash{}
		}
		last.count++
		last.at = c.at
		if len(h.lastCrash) < maxCrashSet || last.count > 1 {
			h.lastCrash[c.endpoint] = last
		}
	}
	return crashHash(c.endpoint, last.count)
}

// Answered records a complete answer to the request on weights of the given version, and
// ends the holds that it contradicts.
func (n *Node) Answered(now time.Duration, id *Identity, version int64) {
	for _, f := range id.fingerprints() {
		n.answersOf(f).add(f, now, version)
		n.suspects.acquit(f, version)
		if h := n.holds[f]; h != nil && h.version <= version {
			n.endHold(now, f, ReasonAnswered)
		}
	}
}

// Lift ends a hold on behalf of the operator. It returns false if there is none.
func (n *Node) Lift(now time.Duration, f Fingerprint) bool {
	n.suspects.clear(f)
	return n.endHold(now, f, ReasonOperator)
}

func (n *Node) endHold(now time.Duration, f Fingerprint, why Reason) bool {
	h := n.active(now, f)
	if h == nil {
		return false
	}
	n.apply(now, update{fingerprint: f, round: h.round, cleared: true, crashAge: now - h.firstCrash, left: h.until - now, version: h.version}, why)
	n.announce(now, f, gossip.DirectFanout)
	return true
}

// apply applies a hold or a clearance, and returns false if it is not newer than the local state.
func (n *Node) apply(now time.Duration, u update, why Reason) bool {
	h := n.holds[u.fingerprint]
	if h != nil && now < h.until && !supersedes(u, h) {
		n.merge(u, h)
		return false
	}
	if h == nil {
		n.evictHold()
	}
	n.holds[u.fingerprint] = &hold{
		round: u.round, cleared: u.cleared, firstCrash: now - u.crashAge, until: now + u.left, relaysLeft: gossip.RelayRounds,
		version: u.version, crashes: u.crashes,
	}
	change := Change{Fingerprint: u.fingerprint, Held: !u.cleared, Reason: why, Left: u.left}
	for _, c := range n.suspects.crashes[u.fingerprint] {
		change.Crashed = append(change.Crashed, c.endpoint)
	}
	n.changes = append(n.changes, change)
	if u.cleared {
		n.suspects.clear(u.fingerprint)
	}
	return true
}

// merge adds the crashes that another daemon knows of to a hold of the same round.
func (n *Node) merge(u update, h *hold) {
	if u.round != h.round || u.cleared || h.cleared {
		return
	}
	h.version = max(h.version, u.version)
	if h.crashes.add(u.crashes...) {
		h.relaysLeft = gossip.RelayRounds
	}
}

// supersedes reports whether the update is newer than the hold. In the same round, a
// clearance is newer than the hold that it ends.
func supersedes(u update, h *hold) bool {
	return u.round > h.round || u.round == h.round && u.cleared && !h.cleared
}

// evictHold removes the hold that expires first if there are maxHolds.
func (n *Node) evictHold() {
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

// Tick expires holds and sends the messages that are due. Call it every gossip.TickInterval.
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
		case h.relaysLeft > 0:
			h.relaysLeft--
			n.announce(now, f, gossip.RelayFanout)
		}
	}
	if len(n.holds) > 0 && n.peers.SyncDue(now) {
		n.syncPeers(now)
	}
}

// sendReports sends each report to the owners of its fingerprint.
func (n *Node) sendReports(now time.Duration) {
	byOwner := map[gossip.Peer][]report{}
	n.reports = slices.DeleteFunc(n.reports, func(r outgoingReport) bool { return r.sent >= maxReportSends })
	for i := range n.reports {
		r := &n.reports[i]
		if now < r.nextSend {
			continue
		}
		r.sent, r.nextSend = r.sent+1, now+reportInterval
		for _, owner := range r.owners {
			byOwner[owner] = append(byOwner[owner], report{r.fingerprint, r.crash.endpoint, now - r.crash.at, r.crash.version})
		}
	}
	for to, all := range byOwner {
		for chunk := range slices.Chunk(all, maxReports) {
			n.peers.Send(to, encodeReports(chunk))
		}
	}
}

// owners returns the daemons that count the crashes of a request. They are the same at
// all daemons with the same list.
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

// announce sends the state of a hold to the given number of peers.
func (n *Node) announce(now time.Duration, f Fingerprint, peers int) {
	n.peers.SendToSample(peers, encodeHolds([]update{n.updateOf(now, f)}))
}

func (n *Node) updateOf(now time.Duration, f Fingerprint) update {
	h := n.holds[f]
	return update{
		fingerprint: f, round: h.round, cleared: h.cleared, crashAge: min(now-h.firstCrash, HoldDuration+crashTTL), left: max(h.until-now, 0),
		version: h.version, crashes: h.crashes,
	}
}

// syncPeers sends the next few holds, in turn, to one peer.
func (n *Node) syncPeers(now time.Duration) {
	all := make([]Fingerprint, 0, len(n.holds))
	for f := range n.holds {
		all = append(all, f)
	}
	slices.SortFunc(all, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	var next []update
	for range min(maxSyncHolds, len(all)) {
		n.syncIndex = (n.syncIndex + 1) % len(all)
		next = append(next, n.updateOf(now, all[n.syncIndex]))
	}
	n.peers.SendToSample(1, encodeHolds(next))
}

// Receive handles a message of another daemon. The error is ErrMalformed.
func (n *Node) Receive(now time.Duration, data []byte) error {
	if len(data) > 0 && data[0] == kindReport {
		all, err := decodeReports(data)
		for _, r := range all {
			n.handleReport(now, r)
		}
		return err
	}
	all, err := decodeHolds(data)
	for _, u := range all {
		n.handleUpdate(now, u)
	}
	return err
}

// handleReport counts a crash reported by another daemon, unless an answer at this daemon
// acquits the request or segment.
func (n *Node) handleReport(now time.Duration, r report) {
	if at := now - r.age; !n.answersOf(r.fingerprint).acquits(r.fingerprint, at, r.version) {
		n.recordCrash(now, r.fingerprint, crash{r.endpoint, at, r.version})
	}
}

// handleUpdate applies an update of another daemon. It ends a hold that an answer at this
// daemon contradicts.
func (n *Node) handleUpdate(now time.Duration, u update) {
	if u.left <= 0 || !n.apply(now, u, ReasonReceived) {
		return
	}
	if !u.cleared && n.answersOf(u.fingerprint).acquits(u.fingerprint, now-u.crashAge, u.version) {
		n.endHold(now, u.fingerprint, ReasonAnswered)
	}
}

// StoredHold is a hold as it is stored outside the daemons, for daemons that restart.
type StoredHold struct {
	Fingerprint Fingerprint
	Round       uint64        // of several holds for a request the highest round applies
	Age         time.Duration // of the first crash
	Left        time.Duration
	Version     int64    // newest weights under which an endpoint crashed
	Crashes     []uint32 // hashes of the crashes
}

// HoldToStore returns the hold of a request, and false if it is not held.
func (n *Node) HoldToStore(now time.Duration, f Fingerprint) (StoredHold, bool) {
	if n.active(now, f) == nil {
		return StoredHold{}, false
	}
	u := n.updateOf(now, f)
	return StoredHold{Fingerprint: f, Round: u.round, Age: u.crashAge, Left: u.left, Version: u.version, Crashes: u.crashes}, true
}

// RestoreHold applies a stored hold. All daemons read the store, so it is not sent to
// peers.
func (n *Node) RestoreHold(now time.Duration, stored StoredHold) {
	u := update{fingerprint: stored.Fingerprint, round: stored.Round, crashAge: stored.Age, left: min(stored.Left, HoldDuration), version: stored.Version}
	u.crashes.add(stored.Crashes...)
	n.handleUpdate(now, u)
	if h := n.holds[stored.Fingerprint]; h != nil && !h.cleared {
		h.relaysLeft = 0
	}
}

// Outbox returns the messages to be sent and clears the list.
func (n *Node) Outbox() []gossip.Datagram { return n.peers.TakeOutbox() }

// Changes returns the holds that began or ended since the last call.
func (n *Node) Changes() []Change {
	out := n.changes
	n.changes = nil
	return out
}

// Holds returns all holds by fingerprint, also those that are not enforced yet.
func (n *Node) Holds(now time.Duration) map[Fingerprint]Hold {
	out := map[Fingerprint]Hold{}
	for f := range n.holds {
		if h := n.active(now, f); h != nil {
			out[f] = n.describe(now, f, h)
		}
	}
	return out
}
