package quota

import "time"

// pledge is a daemon's part of the limits, lent to this owner for a while.
type pledge struct {
	nonce    uint64 // of the daemon's process
	seq      uint64 // of its newest question
	fraction float64
	until    time.Duration
}

// shardOwner is the owner's side of one shard.
type shardOwner struct {
	pledges    map[string]pledge // by the daemon's address
	buckets    map[Key]*bucket
	pledgedSum float64 // of the parts that are pledged
}

func newShardOwner() shardOwner {
	return shardOwner{pledges: map[string]pledge{}, buckets: map[Key]*bucket{}}
}

// lendableFraction is what this owner may lend of the limits.
func (l *shardOwner) lendableFraction(t Tolerance) float64 {
	return min(1, l.pledgedSum*t.compensation())
}

// accrue accrues and drops the pledges that are over.
func (l *shardOwner) accrue(now time.Duration, t Tolerance) {
	fraction := l.lendableFraction(t)
	for _, b := range l.buckets {
		b.accrue(now, fraction)
	}
	l.pledgedSum = 0
	for from, p := range l.pledges {
		if p.until <= now {
			delete(l.pledges, from)
			continue
		}
		l.pledgedSum += p.fraction
	}
}

// setLimits takes the limits of the shard's organisations. A new bucket begins
// empty: whoever lent before may have lent the burst.
func (l *shardOwner) setLimits(now time.Duration, limits map[Key]Limit) {
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

// lend takes a pledge and lends what the question asks for. It returns false
// for a question that came twice, or after a newer one.
func (l *shardOwner) lend(now time.Duration, t Tolerance, from string, q *ask) (reply, bool) {
	p, known := l.pledges[from]
	if known && p.nonce == q.Nonce && q.Seq <= p.seq {
		return reply{}, false
	}
	l.pledgedSum -= p.fraction
	p = pledge{nonce: q.Nonce, seq: q.Seq, fraction: q.Fraction, until: now + q.Hold}
	if q.Hold <= 0 {
		// The daemon's part is elsewhere. Its number of the question counts all the
		// same.
		p.fraction, p.until = 0, now+pledgeTTL
	}
	l.pledgedSum += p.fraction
	l.pledges[from] = p
	fraction := l.lendableFraction(t)
	out := reply{Seq: q.Seq, Shard: q.Shard}
	for i := range q.Entries {
		e := &q.Entries[i]
		b := l.buckets[e.Key]
		if b == nil {
			out.Entries = append(out.Entries, replyEntry{Key: e.Key, Again: denialWindow, Retry: denialWindow})
			continue
		}
		b.accrue(now, fraction)
		lent, again, retry := b.lend(now, fraction, t.overdraft(), e)
		out.Entries = append(out.Entries, replyEntry{Key: e.Key, Lent: lent, Again: again, Retry: retry, Used: b.used()})
	}
	return out, true
}
