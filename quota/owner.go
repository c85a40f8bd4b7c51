package quota

import "time"

// pledge is a daemon's part of the limits, lent to this owner for a while.
type pledge struct {
	nonce uint64 // of the daemon's process
	seq   uint64 // of its newest question
	part  float64
	until time.Duration
}

// ledger is the owner's side of one shard.
type ledger struct {
	pledges map[string]pledge // by the daemon's address
	buckets map[Key]*bucket
	sum     float64 // of the parts that are pledged
}

func newLedger() ledger {
	return ledger{pledges: map[string]pledge{}, buckets: map[Key]*bucket{}}
}

// part is what this owner may lend of the limits.
func (l *ledger) part(t Tolerance) float64 { return min(1, l.sum*t.makeUp()) }

// advance accrues and drops the pledges that are over.
func (l *ledger) advance(now time.Duration, t Tolerance) {
	part := l.part(t)
	for _, b := range l.buckets {
		b.advance(now, part)
	}
	l.sum = 0
	for from, p := range l.pledges {
		if p.until <= now {
			delete(l.pledges, from)
			continue
		}
		l.sum += p.part
	}
}

// setLimits takes the limits of the shard's organisations. A new bucket begins
// empty: whoever lent before may have lent the burst.
func (l *ledger) setLimits(now time.Duration, limits map[Key]Limit) {
	for key, limit := range limits {
		b := l.buckets[key]
		if b == nil {
			b = &bucket{at: now}
			l.buckets[key] = b
		}
		b.limit = limit
	}
	for key := range l.buckets {
		if _, ok := limits[key]; !ok {
			delete(l.buckets, key)
		}
	}
}

// answer takes a pledge and lends what the question asks for. It returns false
// for a question that came twice, or after a newer one.
func (l *ledger) answer(now time.Duration, t Tolerance, from string, q *ask) (reply, bool) {
	p, known := l.pledges[from]
	if known && p.nonce == q.Nonce && q.Seq <= p.seq {
		return reply{}, false
	}
	l.sum -= p.part
	p = pledge{nonce: q.Nonce, seq: q.Seq, part: q.Part, until: now + q.Hold}
	if q.Hold <= 0 {
		// The daemon's part is elsewhere. Its number of the question counts all the
		// same.
		p.part, p.until = 0, now+pledgeTime
	}
	l.sum += p.part
	l.pledges[from] = p
	part := l.part(t)
	out := reply{Seq: q.Seq, Shard: q.Shard}
	for i := range q.Entries {
		e := &q.Entries[i]
		b := l.buckets[e.Key]
		if b == nil {
			out.Entries = append(out.Entries, replyEntry{Key: e.Key, Again: denialSpan, Retry: denialSpan})
			continue
		}
		b.advance(now, part)
		lent, again, retry := b.lend(now, part, t.overdraft(), e)
		out.Entries = append(out.Entries, replyEntry{Key: e.Key, Lent: lent, Again: again, Retry: retry, Used: b.used()})
	}
	return out, true
}
