// Package limits holds what a daemon knows of the limits that endpoints name in their
// answers: how many requests a second they take of all daemons together.
//
// A daemon learns a limit from an answer and tells the others, so that each keeps to
// its part before its own first answer, and hears of a limit's end though it may send
// next to nothing itself. How the requests are parted is decided in package quota.
//
// The package does no I/O and reads no clock. A Table is not safe for concurrent use.
package limits

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/quota"
)

// Bounds and times.
const (
	// maxEndpoints bounds the endpoints whose limit is known.
	maxEndpoints = 16_384
	// endpointBytes is the longest key of an endpoint.
	endpointBytes = 48
	// least is the lowest rate that is kept to, in requests/s. Without any request no
	// answer would tell that the limit is over.
	least = 0.1
	// entryTTL is how long a limit counts that no answer of its endpoint repeats. The
	// endpoint may have ended.
	entryTTL = time.Minute
	// burstTime is the time for which an endpoint may be sent its rate at once.
	burstTime = 500 * time.Millisecond
)

// Tolerance is how far the requests to an endpoint may pass its limit. Requests are on
// their way for a moment after they were counted.
var Tolerance = quota.Tolerance{Overage: 0.2, Slack: 2}

// Parse reads a limit in requests a second. One that is no such number counts as none:
// the endpoint sheds load by itself then.
func Parse(text string) *float64 {
	v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return nil
	}
	return &v
}

// KeyOf names an endpoint in messages of package quota.
func KeyOf(e fleet.EndpointID) quota.Key { return quota.KeyOf("endpoint/" + string(e)) }

// Change is a limit that was named, changed or ended, for logs.
type Change struct {
	Endpoint fleet.EndpointID
	Limit    *float64 // requests/s; nil: none any more
	FromPeer bool     // another daemon told it
	Age      time.Duration
}

// entry is what an endpoint last said.
type entry struct {
	limit  float64 // negative: none
	at     time.Duration
	relays int // ticks at which it is still passed on
}

// none is the limit of an endpoint that names none.
const none = -1.0

// Options are what a Table needs.
type Options struct {
	Self gossip.Peer
	Rand *rand.Rand // seeded; draws the peers that are told
}

// Table is one daemon's knowledge.
type Table struct {
	peers   *gossip.Peers
	entries map[fleet.EndpointID]*entry
	turn    int // of the entries, in messages with what is known
	changes []Change
}

// NewTable returns a Table that knows no limits.
func NewTable(o Options) *Table {
	return &Table{peers: gossip.NewPeers(o.Self, o.Rand), entries: map[fleet.EndpointID]*entry{}}
}

// SetPeers takes the list of all daemons.
func (t *Table) SetPeers(all []gossip.Peer) { t.peers.Set(all) }

// SetFromAnswer takes what an answer of the endpoint named; nil: no limit.
func (t *Table) SetFromAnswer(now time.Duration, e fleet.EndpointID, limit *float64) {
	said := none
	if limit != nil {
		said = *limit
	}
	known := t.entries[e]
	switch {
	case known == nil && said < 0 || len(e) > endpointBytes:
		return
	case known != nil && known.limit == said:
		known.at = now
		return
	}
	t.set(now, update{endpoint: e, limit: said}, false)
	t.peers.Tell(gossip.DirectPeers, encode([]update{{endpoint: e, limit: said}}))
}

func (t *Table) set(now time.Duration, u update, fromPeer bool) {
	if t.entries[u.endpoint] == nil && len(t.entries) >= maxEndpoints {
		return
	}
	t.entries[u.endpoint] = &entry{limit: u.limit, at: now - u.age, relays: gossip.RelayTimes}
	c := Change{Endpoint: u.endpoint, FromPeer: fromPeer, Age: u.age}
	if u.limit >= 0 {
		c.Limit = &u.limit
	}
	t.changes = append(t.changes, c)
}

// Receive takes a message of another daemon. The error is ErrMessage.
func (t *Table) Receive(now time.Duration, data []byte) error {
	all, err := decode(data)
	for _, u := range all {
		known := t.entries[u.endpoint]
		switch at := now - u.age; {
		case known == nil && u.limit < 0, u.age > entryTTL:
		case known == nil || known.limit != u.limit && at > known.at:
			t.set(now, u, true)
		case known.limit == u.limit:
			known.at = max(known.at, at)
		}
	}
	return err
}

// Tick does what is due with time alone.
func (t *Table) Tick(now time.Duration) {
	for e, w := range t.entries {
		if now-w.at > entryTTL {
			delete(t.entries, e)
			if w.limit >= 0 {
				t.changes = append(t.changes, Change{Endpoint: e, Age: now - w.at})
			}
			continue
		}
		if w.relays > 0 {
			w.relays--
			t.peers.Tell(gossip.RelayPeers, encode([]update{updateOf(now, e, w)}))
		}
	}
	if len(t.entries) > 0 && t.peers.SyncDue(now) {
		t.peers.Tell(1, encode(t.next(now)))
	}
}

func updateOf(now time.Duration, e fleet.EndpointID, w *entry) update {
	return update{endpoint: e, limit: w.limit, age: min(max(now-w.at, 0), maxAge)}
}

// next returns some of what is known, in turn.
func (t *Table) next(now time.Duration) []update {
	all := make([]fleet.EndpointID, 0, len(t.entries))
	for e := range t.entries {
		all = append(all, e)
	}
	slices.Sort(all)
	var out []update
	for range min(syncUpdates, len(all)) {
		t.turn = (t.turn + 1) % len(all)
		out = append(out, updateOf(now, all[t.turn], t.entries[all[t.turn]]))
	}
	return out
}

// Limited lists the endpoints that have a limit.
func (t *Table) Limited() []fleet.EndpointID {
	var out []fleet.EndpointID
	for e, w := range t.entries {
		if w.limit >= 0 {
			out = append(out, e)
		}
	}
	return out
}

// Limits returns the limits by their keys, as package quota takes them.
func (t *Table) Limits() map[quota.Key]quota.Limit {
	out := map[quota.Key]quota.Limit{}
	for e, w := range t.entries {
		if w.limit >= 0 {
			rate := max(w.limit, least)
			out[KeyOf(e)] = quota.Limit{PerSecond: rate, Burst: max(1, rate*burstTime.Seconds())}
		}
	}
	return out
}

// Outbox returns what is to be sent, and forgets it.
func (t *Table) Outbox() []gossip.Datagram { return t.peers.Outbox() }

// Changes returns the limits that changed, and forgets them.
func (t *Table) Changes() []Change {
	out := t.changes
	t.changes = nil
	return out
}
