package quota

import (
	"slices"
	"time"
)

// inFlightAsk is an ask without a reply yet. The zero value is none.
type inFlightAsk struct {
	seq     uint64
	to      Daemon
	sent    time.Duration // first time
	repeats int
	message ask // for repetitions
}

// ask sends the demand of a shard's organisations and the pledge to the owner.
func (n *Node) ask(now time.Duration, i int) {
	s := &n.shards[i]
	if n.awaitsDaemons(now) {
		return
	}
	n.seq++
	q := ask{Nonce: n.o.Nonce, Seq: n.seq, Shard: i, Fraction: n.pledgeFraction()}
	for _, key := range s.keys {
		a := n.accounts[key]
		a.expireLent(now)
		a.admitWaiting(now, s.owner.Name)
		e, some := a.buildEntry(now)
		if len(q.Entries) >= maxEntries {
			continue
		}
		yielding := a.yieldEntries(min(maxYieldEntries, maxEntries-len(q.Entries)-1))
		if some || len(yielding) > 0 {
			q.Entries = append(append(q.Entries, e), yielding...)
		}
	}
	if s.ownPledge.to == s.owner.Address || s.ownPledge.until <= now {
		q.PledgeTTL = pledgeTTL
		s.ownPledge.to, s.ownPledge.until = s.owner.Address, now+pledgeTTL+maxTransit
	}
	s.ownPledge.renews = min(now+pledgeInterval, s.ownPledge.until)
	if s.owner == n.o.Self {
		if r, ok := s.lender.lend(now, n.o.Tolerance, n.o.Self.Address, &q); ok {
			n.handleReply(now, i, &r)
		}
		return
	}
	s.pendingAsk = inFlightAsk{seq: n.seq, to: s.owner, sent: now, message: q}
	n.outbox = append(n.outbox, Datagram{To: s.owner.Address, Data: q.encode()})
}

// repeatAsk sends the pending ask again under its number, so that the owner lends for
// it once and the reply to any copy is accepted. It does not prolong the pledge.
func (n *Node) repeatAsk(now time.Duration, s *shard) {
	f := &s.pendingAsk
	f.repeats++
	q := f.message
	q.PledgeTTL = max(0, q.PledgeTTL-(now-f.sent))
	n.outbox = append(n.outbox, Datagram{To: f.to.Address, Data: q.encode()})
}

// repeatTimeout returns the time after which an ask is repeated first. An ask to a slow
// owner is not repeated before its reply can arrive, but once before the owner is skipped.
func (s *shard) repeatTimeout() time.Duration {
	return min(max(replyTimeout, 2*s.roundTrip), ownerTimeout/2)
}

// handleReply adds the units lent by the owner and decides on the waiting requests.
func (n *Node) handleReply(now time.Duration, i int, r *reply) {
	s := &n.shards[i]
	if r.ShuttingDown {
		s.ownPledge = pledgeState{}
		n.skipOwner(now, i, leavingTTL)
		return
	}
	for j, e := range r.Entries {
		if j > 0 && r.Entries[j-1].Key == e.Key {
			continue // for a yielding request
		}
		a := n.accounts[e.Key]
		if a == nil || a.shard != i {
			continue
		}
		a.expireLent(now)
		a.updatedAt, a.used = now, e.Used
		a.retryAfter, a.deniedUntil = e.RetryAfter, now+e.AskAfter
		n.resolveYielding(now, a, a.addYielding(r.Entries[j+1:]), s.owner.Name)
		a.add(e.Lent)
		n.resolveAsked(now, a, s.owner.Name)
	}
	for _, key := range s.keys {
		if len(n.accounts[key].waiters) > 0 && s.pendingAsk.seq == 0 {
			n.ask(now, i)
			return
		}
	}
}

// admitWaiting admits the waiting requests that the lent tokens cover.
func (a *account) admitWaiting(now time.Duration, owner string) {
	waiting := a.waiters
	a.waiters = nil
	for _, w := range waiting {
		if a.spendRanked(now, w.cost, w.rank) {
			if w.rank > 0 {
				a.countDemand(now, w.cost)
			}
			w.done(Verdict{Admitted: true, Owner: owner, Used: a.used})
		} else {
			a.waiters = append(a.waiters, w)
		}
	}
}

// resolveAsked admits the waiting requests that the lent tokens cover. The others are
// rejected if the owner had no more. If it lent all that was asked for, the balance
// has shrunk since the ask (by expired tokens or a charge), and they are asked for again.
func (n *Node) resolveAsked(now time.Duration, a *account, owner string) {
	a.admitWaiting(now, owner)
	waiting := a.waiters
	a.waiters = nil
	for _, w := range waiting {
		if now >= a.deniedUntil {
			a.waiters = append(a.waiters, w)
			continue
		}
		if !w.asked || w.rank > 0 {
			a.rejected += w.cost
		}
		w.done(n.rejection(now, a, a.deniedUntil, owner))
	}
}

// skipOwner skips the owner for the given time and asks the next daemon. A daemon
// without a reply from several others is probably isolated, and lends to itself
// until a probe is answered.
func (n *Node) skipOwner(now time.Duration, i int, span time.Duration) {
	s := &n.shards[i]
	s.skippedUntil[s.owner.Address] = now + span
	s.pendingAsk, s.owner = inFlightAsk{}, s.chooseOwner(n.o.Self)
	n.ask(now, i)
}

// chooseOwner returns the first daemon that is not skipped, or this one if it seems
// to be isolated.
func (s *shard) chooseOwner(me Daemon) Daemon {
	if s.missed >= maxMissed {
		return me
	}
	for _, next := range s.order {
		if _, skipped := s.skippedUntil[next.Address]; !skipped || next == me {
			return next
		}
	}
	return me
}

// handleProbeReply handles the reply of a skipped daemon. If it ranks before the
// current owner, it becomes the owner.
func (n *Node) handleProbeReply(now time.Duration, i int, r *reply) {
	s := &n.shards[i]
	d := s.pendingProbe.to
	s.pendingProbe = inFlightAsk{}
	if r.ShuttingDown {
		s.skippedUntil[d.Address] = now + leavingTTL
		return
	}
	delete(s.skippedUntil, d.Address)
	s.missed = 0
	if slices.Index(s.order, d) < slices.Index(s.order, s.owner) && s.pendingAsk.seq == 0 {
		s.owner = d
		n.ask(now, i)
	}
}

// handleTimeouts repeats or abandons asks without a reply, and rejects requests after maxWait.
func (n *Node) handleTimeouts(now time.Duration, i int) {
	s := &n.shards[i]
	if f := s.pendingAsk; f.seq != 0 {
		switch waited := now - f.sent; {
		case f.repeats < maxRepeats && waited >= s.repeatTimeout()<<f.repeats:
			n.repeatAsk(now, s)
		case waited >= ownerTimeout:
			s.missed++
			n.skipOwner(now, i, unresponsiveTTL)
		}
	}
	for _, key := range s.keys {
		a := n.accounts[key]
		kept := a.waiters[:0]
		for _, w := range a.waiters {
			if now-w.since < maxWait {
				kept = append(kept, w)
				continue
			}
			w.done(Verdict{RetryAfter: retryOtherDaemon, Age: now - a.updatedAt, Used: a.used})
		}
		a.waiters = kept
	}
}

// probeSkipped sends a probe to the first daemon that was skipped for long enough. A
// daemon that seems to be isolated also probes those that it never asked.
func (n *Node) probeSkipped(now time.Duration, i int) {
	s := &n.shards[i]
	if s.pendingProbe.seq != 0 {
		if now-s.pendingProbe.sent < ownerTimeout {
			return
		}
		s.skippedUntil[s.pendingProbe.to.Address] = now + unresponsiveTTL
		s.pendingProbe = inFlightAsk{}
	}
	for _, d := range s.order {
		if d == n.o.Self {
			return
		}
		until, skipped := s.skippedUntil[d.Address]
		if skipped && now < until || !skipped && s.missed < maxMissed {
			continue
		}
		n.seq++
		q := ask{Nonce: n.o.Nonce, Seq: n.seq, Shard: i, Fraction: n.pledgeFraction()}
		s.pendingProbe = inFlightAsk{seq: n.seq, to: d, sent: now}
		n.outbox = append(n.outbox, Datagram{To: d.Address, Data: q.encode()})
		return
	}
}
