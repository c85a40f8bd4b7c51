// Package limits holds what a daemon knows of the limits that endpoints name in their
// answers: how many requests a second they take of all daemons together.
//
// A daemon learns a limit from an answer and tells the others, so that each keeps to
// its part before its own first answer, and hears of a limit's end though it may send
// next to nothing itself. How the requests are parted is decided in package quota.
//
// The package does no I/O and reads no clock. A Book is not safe for concurrent use.
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
	// wordTime is how long a word counts that no answer of its endpoint repeats. The
	// endpoint may have ended.
	wordTime = time.Minute
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
	Told     bool     // by another daemon
	Age      time.Duration
}

// word is what an endpoint last said.
type word struct {
	limit  float64 // negative: none
	at     time.Duration
	relays int // ticks at which it is still passed on
}

// none is the limit of an endpoint that names none.
const none = -1.0

// Options are what a Book needs.
type Options struct {
	Me   gossip.Peer
	Rand *rand.Rand // seeded; draws the daemons that are told
}

// Book is one daemon's knowledge.
type Book struct {
	peers   *gossip.Peers
	words   map[fleet.EndpointID]*word
	turn    int // of the words, in messages with what is known
	changes []Change
}

// NewBook returns a Book that knows no limits.
func NewBook(o Options) *Book {
	return &Book{peers: gossip.NewPeers(o.Me, o.Rand), words: map[fleet.EndpointID]*word{}}
}

// SetPeers takes the list of all daemons.
func (b *Book) SetPeers(all []gossip.Peer) { b.peers.Set(all) }

// Answered takes what an answer of the endpoint named; nil: no limit.
func (b *Book) Answered(now time.Duration, e fleet.EndpointID, limit *float64) {
	said := none
	if limit != nil {
		said = *limit
	}
	known := b.words[e]
	switch {
	case known == nil && said < 0 || len(e) > endpointBytes:
		return
	case known != nil && known.limit == said:
		known.at = now
		return
	}
	b.set(now, told{endpoint: e, limit: said}, false)
	b.peers.Tell(gossip.DirectPeers, encode([]told{{endpoint: e, limit: said}}))
}

func (b *Book) set(now time.Duration, t told, heard bool) {
	if b.words[t.endpoint] == nil && len(b.words) >= maxEndpoints {
		return
	}
	b.words[t.endpoint] = &word{limit: t.limit, at: now - t.age, relays: gossip.RelayTimes}
	c := Change{Endpoint: t.endpoint, Told: heard, Age: t.age}
	if t.limit >= 0 {
		c.Limit = &t.limit
	}
	b.changes = append(b.changes, c)
}

// Receive takes a message of another daemon. The error is ErrMessage.
func (b *Book) Receive(now time.Duration, data []byte) error {
	all, err := decode(data)
	for _, t := range all {
		known := b.words[t.endpoint]
		switch at := now - t.age; {
		case known == nil && t.limit < 0, t.age > wordTime:
		case known == nil || known.limit != t.limit && at > known.at:
			b.set(now, t, true)
		case known.limit == t.limit:
			known.at = max(known.at, at)
		}
	}
	return err
}

// Tick does what is due with time alone.
func (b *Book) Tick(now time.Duration) {
	for e, w := range b.words {
		if now-w.at > wordTime {
			delete(b.words, e)
			if w.limit >= 0 {
				b.changes = append(b.changes, Change{Endpoint: e, Age: now - w.at})
			}
			continue
		}
		if w.relays > 0 {
			w.relays--
			b.peers.Tell(gossip.RelayPeers, encode([]told{toldOf(now, e, w)}))
		}
	}
	if len(b.words) > 0 && b.peers.SyncDue(now) {
		b.peers.Tell(1, encode(b.next(now)))
	}
}

func toldOf(now time.Duration, e fleet.EndpointID, w *word) told {
	return told{endpoint: e, limit: w.limit, age: min(max(now-w.at, 0), maxAge)}
}

// next returns some of what is known, in turn.
func (b *Book) next(now time.Duration) []told {
	all := make([]fleet.EndpointID, 0, len(b.words))
	for e := range b.words {
		all = append(all, e)
	}
	slices.Sort(all)
	var out []told
	for range min(syncWords, len(all)) {
		b.turn = (b.turn + 1) % len(all)
		out = append(out, toldOf(now, all[b.turn], b.words[all[b.turn]]))
	}
	return out
}

// Limited lists the endpoints that have a limit.
func (b *Book) Limited() []fleet.EndpointID {
	var out []fleet.EndpointID
	for e, w := range b.words {
		if w.limit >= 0 {
			out = append(out, e)
		}
	}
	return out
}

// Limits returns the limits by their keys, as package quota takes them.
func (b *Book) Limits() map[quota.Key]quota.Limit {
	out := map[quota.Key]quota.Limit{}
	for e, w := range b.words {
		if w.limit >= 0 {
			rate := max(w.limit, least)
			out[KeyOf(e)] = quota.Limit{PerSecond: rate, Burst: max(1, rate*burstTime.Seconds())}
		}
	}
	return out
}

// Outbox returns what is to be sent, and forgets it.
func (b *Book) Outbox() []gossip.Datagram { return b.peers.Outbox() }

// Changes returns the limits that changed, and forgets them.
func (b *Book) Changes() []Change {
	out := b.changes
	b.changes = nil
	return out
}
