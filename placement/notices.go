package placement

import (
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

// MaxAnnouncements bounds the notices that wait to be sent. When it is reached the
// oldest are dropped: the others then learn from events and answers, later.
const MaxAnnouncements = 256

// Announcement tells another daemon that a prefix is about to be computed somewhere,
// or that an endpoint's cache is gone.
//
// Until the first token of that request no answer and no event shows it. Other
// daemons that get further questions on the same document in that time would
// have it computed once more. A notice is sent for a cold prefix only, so
// their number follows the documents and not the requests.
//
// An engine may crash and be back empty before its next load report. Only the
// daemons that had requests there have seen it; the others would count on a
// cache that is gone.
type Announcement struct {
	Key         prefix.Key
	Endpoint    fleet.EndpointID
	Incarnation fleet.Incarnation
	CacheLost   bool // the connection was lost; Key is not used
	// Tokens is the work that goes there with the prefix, on one notice of
	// each request: until the next load report no other daemon sees it.
	Tokens   int
	Priority contract.Priority
	At       time.Time
}

// note writes down that a request has gone to the endpoint: there, the ends of
// its messages will soon be cached. Those that nothing was believed of are put
// into the outbox for the other daemons.
func (v *View) note(now time.Time, ep int32, r *Request, tokens int) {
	e := &v.endpoints[ep]
	for i := range shared(r.Levels) {
		l := &r.Levels[i]
		if !l.Message {
			continue
		}
		t := v.prefixes.touch(l.Key)
		if h := t.holderOf(ep); h != nil && v.belief(now, h) > noticeDoubt {
			continue
		}
		t.hold(holder{endpoint: ep, life: e.life, gaps: e.gaps, coming: true, seen: now})
		v.outbox.push(Announcement{
			Key: l.Key, Endpoint: e.id, Incarnation: e.incarnation, Tokens: tokens, Priority: r.Priority, At: now,
		})
		tokens = 0
	}
}

// noticeDoubt is the belief below which a prefix counts as cold.
const noticeDoubt = 0.5

// TakeAnnouncements appends what other daemons should hear of to dst and forgets it.
// Call it every 100 ms or so and send the result to the neighbours.
func (v *View) TakeAnnouncements(dst []Announcement) []Announcement {
	for {
		n, ok := v.outbox.pop()
		if !ok {
			return dst
		}
		dst = append(dst, n)
	}
}

// ReceiveAnnouncements takes notices of another daemon. One of another life of the endpoint
// is ignored.
func (v *View) ReceiveAnnouncements(all []Announcement) {
	for _, n := range all {
		e := v.endpointOf(n.Endpoint)
		if e == nil || n.Incarnation != e.incarnation || n.At.Before(e.emptied) {
			continue
		}
		if n.CacheLost {
			v.loseCache(e, n.At)
			continue
		}
		ep := v.byID[n.Endpoint]
		v.reserveForPeer(&n, ep)
		t := v.prefixes.touch(n.Key)
		if h := t.holderOf(ep); h != nil && h.life == e.life && !h.seen.Before(n.At) {
			continue
		}
		t.hold(holder{endpoint: ep, life: e.life, gaps: e.gaps, coming: true, seen: n.At})
	}
}

// peerOwner marks the owners of reservations for what other daemons have sent.
// They end with a load report or their expiry, since no answer comes here.
const peerOwner = 1 << 63

func (v *View) reserveForPeer(n *Announcement, ep int32) {
	e := &v.endpoints[ep]
	if n.Tokens <= 0 || n.Priority < 0 || n.Priority >= contract.PriorityCount || !n.At.After(e.loadAt) {
		return
	}
	v.peerWork++
	v.reserve(n.At, &Request{ID: peerOwner | v.peerWork, Priority: n.Priority}, ep, n.Tokens)
}

// sameLoss is the time within which losses of one endpoint, seen by several
// requests and daemons, are told to the others once.
const sameLoss = time.Second

// loseCache forgets what the endpoint has cached. It returns false if the
// others have been told of a loss just before.
func (v *View) loseCache(e *endpoint, at time.Time) bool {
	v.forgetCache(e, at)
	if !e.lost.IsZero() && at.Before(e.lost.Add(sameLoss)) {
		return false
	}
	e.lost = at
	return true
}

// outbox is a ring of notices.
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
