// Package limits holds the rate limits that endpoints report in their answers: how many
// requests per second they accept from all daemons together.
//
// A daemon reads a limit from an answer and sends it to the others by gossip. So each
// daemon keeps to its fraction before its own first answer, and also receives the end
// of a limit if it sends hardly any requests itself. Package quota divides the limits
// between the daemons.
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

// Limits and durations.
const (
	// maxEndpoints bounds the endpoints in a Table.
	maxEndpoints = 16_384
	// maxEndpointBytes is the length of the longest endpoint key that is stored.
	maxEndpointBytes = 48
	// minRate is the lowest limit that is applied, in requests/s. Without any requests,
	// no answer could end the limit.
	minRate = 0.1
	// entryTTL is how long a limit applies that no answer confirms. The endpoint may no
	// longer exist.
	entryTTL = time.Minute
	// burstTime determines the burst: the requests of this time may be sent at once.
	burstTime = 500 * time.Millisecond
)

// Tolerance is how far the requests to an endpoint may exceed its limit. Requests reach
// the endpoint some time after they were counted.
var Tolerance = quota.Tolerance{Overage: 0.2, Slack: 2}

// Parse parses a limit in requests/s. It returns nil, that is no limit, if the text is
// not a finite number of at least 0; the endpoint then has to shed load by itself.
func Parse(text string) *float64 {
	v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return nil
	}
	return &v
}

// KeyOf returns the key of an endpoint in messages of package quota.
func KeyOf(e fleet.EndpointID) quota.Key { return quota.KeyOf("endpoint/" + string(e)) }

// Change is a limit that was set, changed or removed, for logs.
type Change struct {
	Endpoint fleet.EndpointID
	Limit    *float64 // requests/s; nil: removed
	FromPeer bool     // received from another daemon
	Age      time.Duration
}

// entry is the last known limit of an endpoint.
type entry struct {
	limit      float64 // negative: none
	at         time.Duration
	relaysLeft int // remaining ticks at which it is sent to peers
}

// noLimit is the limit of an endpoint that reports none.
const noLimit = -1.0

// Options configure a Table.
type Options struct {
	Self gossip.Peer
	Rand *rand.Rand // seeded; chooses the peers for gossip
}

// Table holds the limits known to one daemon.
type Table struct {
	peers     *gossip.Peers
	entries   map[fleet.EndpointID]*entry
	syncIndex int // index of the last entry sent in a periodic message
	changes   []Change
}

// NewTable returns an empty Table.
func NewTable(o Options) *Table {
	return &Table{peers: gossip.NewPeers(o.Self, o.Rand), entries: map[fleet.EndpointID]*entry{}}
}

// SetPeers sets the list of all daemons.
func (t *Table) SetPeers(all []gossip.Peer) { t.peers.Set(all) }

// SetFromAnswer sets the limit reported in an answer of the endpoint; nil: no limit.
func (t *Table) SetFromAnswer(now time.Duration, e fleet.EndpointID, limit *float64) {
	reported := noLimit
	if limit != nil {
		reported = *limit
	}
	known := t.entries[e]
	switch {
	case known == nil && reported < 0 || len(e) > maxEndpointBytes:
		return
	case known != nil && known.limit == reported:
		known.at = now
		return
	}
	t.set(now, update{endpoint: e, limit: reported}, false)
	t.peers.SendToSample(gossip.DirectFanout, encode([]update{{endpoint: e, limit: reported}}))
}

func (t *Table) set(now time.Duration, u update, fromPeer bool) {
	if t.entries[u.endpoint] == nil && len(t.entries) >= maxEndpoints {
		return
	}
	t.entries[u.endpoint] = &entry{limit: u.limit, at: now - u.age, relaysLeft: gossip.RelayRounds}
	c := Change{Endpoint: u.endpoint, FromPeer: fromPeer, Age: u.age}
	if u.limit >= 0 {
		c.Limit = &u.limit
	}
	t.changes = append(t.changes, c)
}

// Receive handles a message of another daemon. The error is ErrMalformed.
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

// Tick expires limits and sends the messages that are due. Call it every gossip.TickInterval.
func (t *Table) Tick(now time.Duration) {
	for e, known := range t.entries {
		if now-known.at > entryTTL {
			delete(t.entries, e)
			if known.limit >= 0 {
				t.changes = append(t.changes, Change{Endpoint: e, Age: now - known.at})
			}
			continue
		}
		if known.relaysLeft > 0 {
			known.relaysLeft--
			t.peers.SendToSample(gossip.RelayFanout, encode([]update{updateOf(now, e, known)}))
		}
	}
	if len(t.entries) > 0 && t.peers.SyncDue(now) {
		t.peers.SendToSample(1, encode(t.nextSync(now)))
	}
}

func updateOf(now time.Duration, e fleet.EndpointID, known *entry) update {
	return update{endpoint: e, limit: known.limit, age: min(max(now-known.at, 0), maxAge)}
}

// nextSync returns the next few entries, in turn, for a periodic message.
func (t *Table) nextSync(now time.Duration) []update {
	all := make([]fleet.EndpointID, 0, len(t.entries))
	for e := range t.entries {
		all = append(all, e)
	}
	slices.Sort(all)
	var out []update
	for range min(maxSyncUpdates, len(all)) {
		t.syncIndex = (t.syncIndex + 1) % len(all)
		out = append(out, updateOf(now, all[t.syncIndex], t.entries[all[t.syncIndex]]))
	}
	return out
}

// Limited returns the endpoints that have a limit.
func (t *Table) Limited() []fleet.EndpointID {
	var out []fleet.EndpointID
	for e, known := range t.entries {
		if known.limit >= 0 {
			out = append(out, e)
		}
	}
	return out
}

// Limits returns the limits by key, for package quota.
func (t *Table) Limits() map[quota.Key]quota.Limit {
	out := map[quota.Key]quota.Limit{}
	for e, known := range t.entries {
		if known.limit >= 0 {
			rate := max(known.limit, minRate)
			out[KeyOf(e)] = quota.Limit{PerSecond: rate, Burst: max(1, rate*burstTime.Seconds())}
		}
	}
	return out
}

// Outbox returns the messages to be sent and clears the list.
func (t *Table) Outbox() []gossip.Datagram { return t.peers.TakeOutbox() }

// Changes returns the changes since the last call.
func (t *Table) Changes() []Change {
	out := t.changes
	t.changes = nil
	return out
}
