package placement

import (
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

// MaxAnnouncements bounds the announcements waiting to be sent. Beyond it the oldest are
// dropped; the other daemons then get the same information later, from events and answers.
const MaxAnnouncements = 256

// Announcement informs another daemon that a prefix is about to be computed on an endpoint,
// or that an endpoint's cache is lost.
//
// Until the first token of that request, no answer and no event shows the prefix. Other
// daemons that receive requests with the same document in that time would have it computed
// again elsewhere. Only prefixes without a known holder are announced, so that the number
// of announcements grows with the documents and not with the requests.
//
// An engine may crash and restart before its next load report. Only the daemons with open
// requests there notice; the others would rely on a cache that was lost.
type Announcement struct {
	Key         prefix.Key
	Endpoint    fleet.EndpointID
	Incarnation fleet.Incarnation
	CacheLost   bool // the connection was lost; Key is unused
	// Tokens is the number of prompt tokens to prefill there. Only one announcement of each
	// request carries it: no other daemon sees this work before the next load report.
	Tokens   int
	Priority contract.Priority
	At       time.Time
}

// recordPlacement records that a request was sent to the endpoint, where the ends of its
// messages will soon be cached. Those without a probable holder there are queued as
// announcements to the other daemons.
func (v *View) recordPlacement(now time.Time, ep int32, r *Request, tokens int) {
	e := &v.endpoints[ep]
	for i := range sharedCount(r.Levels) {
		l := &r.Levels[i]
		if !l.Message {
			continue
		}
		t := v.prefixes.touch(l.Key)
		if h := t.holderOf(ep); h != nil && v.probability(now, h) > coldThreshold {
			continue
		}
		t.addHolder(holder{endpoint: ep, generation: e.generation, eventGaps: e.eventGaps, inFlight: true, confirmedAt: now})
		v.outbox.push(Announcement{
			Key: l.Key, Endpoint: e.id, Incarnation: e.incarnation, Tokens: tokens, Priority: r.Priority, At: now,
		})
		tokens = 0
	}
}

// coldThreshold is the probability of being cached at or below which a prefix is announced.
const coldThreshold = 0.5

// TakeAnnouncements appends the queued announcements to dst and clears the queue. Call it
// about every 100 ms and send the result to the neighbours.
func (v *View) TakeAnnouncements(dst []Announcement) []Announcement {
	for {
		n, ok := v.outbox.pop()
		if !ok {
			return dst
		}
		dst = append(dst, n)
	}
}

// ReceiveAnnouncements applies announcements of another daemon. Those for another
// incarnation of the endpoint, or from before its cache was lost, are ignored.
func (v *View) ReceiveAnnouncements(all []Announcement) {
	for _, n := range all {
		e := v.endpointOf(n.Endpoint)
		if e == nil || n.Incarnation != e.incarnation || n.At.Before(e.cacheLostAt) {
			continue
		}
		if n.CacheLost {
			v.loseCache(e, n.At)
			continue
		}
		ep := v.byID[n.Endpoint]
		v.reserveForPeer(&n, ep)
		t := v.prefixes.touch(n.Key)
		if h := t.holderOf(ep); h != nil && h.generation == e.generation && !h.confirmedAt.Before(n.At) {
			continue
		}
		t.addHolder(holder{endpoint: ep, generation: e.generation, eventGaps: e.eventGaps, inFlight: true, confirmedAt: n.At})
	}
}

// peerOwner marks the owner IDs of reservations for requests of other daemons. These end
// with a load report or their expiry, since their answers do not arrive here.
const peerOwner = 1 << 63

func (v *View) reserveForPeer(n *Announcement, ep int32) {
	e := &v.endpoints[ep]
	if n.Tokens <= 0 || n.Priority < 0 || n.Priority >= contract.PriorityCount || !n.At.After(e.loadAt) {
		return
	}
	v.peerReservations++
	v.reserve(n.At, &Request{ID: peerOwner | v.peerReservations, Priority: n.Priority}, ep, n.Tokens)
}

// lossDedupWindow is the time within which losses of one endpoint, seen by several requests
// and daemons, are announced once.
const lossDedupWindow = time.Second

// loseCache drops what is known of the endpoint's cache. It returns false if a loss was
// already announced within lossDedupWindow.
func (v *View) loseCache(e *endpoint, at time.Time) bool {
	v.forgetCache(e, at)
	if !e.connectionLostAt.IsZero() && at.Before(e.connectionLostAt.Add(lossDedupWindow)) {
		return false
	}
	e.connectionLostAt = at
	return true
}

// outbox is a ring buffer of announcements.
type outbox struct {
	ring [MaxAnnouncements]Announcement
	head int
	size int
}

func (o *outbox) push(n Announcement) {
	if o.size == MaxAnnouncements {
		o.pop()
	}
	o.ring[(o.head+o.size)%MaxAnnouncements] = n
	o.size++
}

func (o *outbox) pop() (Announcement, bool) {
	if o.size == 0 {
		return Announcement{}, false
	}
	n := o.ring[o.head]
	o.ring[o.head] = Announcement{}
	o.head = (o.head + 1) % MaxAnnouncements
	o.size--
	return n, true
}
