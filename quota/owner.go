package quota

import "time"

// pledge is the fraction of the limits that a daemon pledged to this owner.
type pledge struct {
	nonce    uint64 // of the daemon's process
	seq      uint64 // of its newest ask
	fraction float64
	until    time.Duration
}

// shardOwner is the state of a daemon as the owner of a shard.
type shardOwner struct {
	pledges    map[string]pledge // by the daemon's address
	buckets    map[Key]*bucket
	pledgedSum float64 // sum of the pledged fractions
}

func newShardOwner() shardOwner {
	return shardOwner{pledges: map[string]pledge{}, buckets: map[Key]*bucket{}}
}

// lendableFraction returns the fraction of the limits that this owner may lend.
func (l *shardOwner) lendableFraction(t Tolerance) float64 {
	return min(1, l.pledgedSum*t.compensation())
}

// accrue accrues the limits up to now and drops expired pledges.
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

// setLimits sets the limits of the shard's organisations. A new bucket starts
// empty, since the previous owner may have lent the burst.
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

// lend records the pledge of an ask and lends what it asks for. It returns false
// for an ask that is a duplicate or older than the last one.
func (l *shardOwner) lend(now time.Duration, t Tolerance, from string, q *ask) (reply, bool) {
	p, known := l.pledges[from]
	if known && p.nonce == q.Nonce && q.Seq <= p.seq {
		return reply{}, false
	}
	l.pledgedSum -= p.fraction
	p = pledge{nonce: q.Nonce, seq: q.Seq, fraction: q.Fraction, until: now + q.PledgeTTL}
	if q.PledgeTTL <= 0 {
		// The daemon's fraction is pledged to another owner. The entry is kept to
		// recognise duplicates.
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
			out.Entries = append(out.Entries, replyEntry{Key: e.Key, AskAfter: denialWindow, RetryAfter: denialWindow})
			continue
		}
		b.accrue(now, fraction)
		lent, again, retry := b.lend(now, fraction, t.overdraft(), e)
		out.Entries = append(out.Entries, replyEntry{Key: e.Key, Lent: lent, AskAfter: again, RetryAfter: retry, Used: b.used()})
	}
	return out, true
}
