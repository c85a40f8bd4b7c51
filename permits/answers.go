package permits

import (
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/gossip"
)

// Answer is what an answer shows of its endpoint.
type Answer struct {
	Rejected bool
	// Limit is the number of rejections/s that crash the endpoint; nil: it is not brittle.
	Limit *float64
	Load  *fleet.Load // nil: not reported
}

// Rejection is what the daemon knew of an endpoint that rejected a request for want of room.
type Rejection struct {
	Permitted bool // by an owner
	Known     bool // that the endpoint may be brittle
	Owner     string
	UnderWay  int // permits of this daemon, with that of the request
	// AnswerAge and RejectionAge are the times since the previous answer and the previous
	// rejection; negative: there was none.
	AnswerAge, RejectionAge time.Duration
}

// Observation is what an answer told of an endpoint.
type Observation struct {
	Began     bool       // requests to it need permits from now on
	Rejection *Rejection // nil: it is not a rejection by a brittle endpoint
}

// Answered records an answer to the request with the given permit; 0: it had none.
func (n *Node) Answered(now time.Duration, to Target, id ID, a Answer) (out Observation) {
	e := n.endpoints[to.ID]
	if a.Limit == nil {
		if e == nil && n.notices.brittle(now, serviceKey(to.Service)) {
			e = &endpoint{}
			n.endpoints[to.ID] = e
		}
		if e != nil {
			e.brittle, e.answeredAt = false, now
		}
		return out
	}
	known := n.Required(now, to)
	if e == nil {
		e = &endpoint{}
		n.endpoints[to.ID] = e
	}
	h := n.held[id]
	if a.Rejected {
		out.Rejection = &Rejection{Permitted: h != nil, Known: known, UnderWay: n.underWay(to.ID), AnswerAge: age(now, e.answeredAt), RejectionAge: age(now, e.rejectedAt)}
		if h != nil {
			out.Rejection.Owner = h.owner.Name
		}
		e.rejectedAt = now
	}
	out.Began = !e.brittle
	e.brittle, e.limit, e.answeredAt = true, *a.Limit, now
	n.notices.answered(now, serviceKey(to.Service))
	r := answerReport(to, a)
	r.permitted = h != nil
	if h != nil && !a.Rejected {
		h.answer, h.answeredAt = &r, now
		return out
	}
	n.tell(now, n.ownerOf(now, to, h), r)
	return out
}

// underWay returns the number of permits held for an endpoint.
func (n *Node) underWay(to fleet.EndpointID) int {
	count := 0
	for _, h := range n.held {
		if h.target == to {
			count++
		}
	}
	return count
}

// ownerOf returns the owner that lent a permit; nil: the one that would lend one.
func (n *Node) ownerOf(now time.Duration, to Target, h *permit) gossip.Peer {
	if h != nil {
		return h.owner
	}
	return n.chooseOwner(now, to.key())
}

func answerReport(to Target, a Answer) report {
	r := report{key: to.key(), rejected: a.Rejected, answered: true, limit: *a.Limit}
	if l := a.Load; l != nil && l.Slots > 0 {
		r.reports = true
		r.occupied, r.waiting, r.slots = clampSlots(l.Running+l.Waiting), clampSlots(l.Waiting), clampSlots(l.Slots)
	}
	return r
}

func clampSlots(n int) int { return min(max(n, 0), maxSlots) }

// age returns the time since at; negative if at is 0.
func age(now, at time.Duration) time.Duration {
	if at == 0 {
		return -1
	}
	return now - at
}
