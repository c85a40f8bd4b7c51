package quota

import "time"

// pledge is the fraction of the limits that a daemon pledged to this owner.
type pledge struct {
	nonce    uint64 // of the daemon's process
	seq      uint64 // of its newest ask
	fraction float64
	until    time.Duration
	reply    reply // to the newest ask
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
func (o *shardOwner) lendableFraction(t Tolerance) float64 {
	return min(1, o.pledgedSum*t.compensation())
}

// accrue accrues the limits up to now and drops expired pledges.
func (o *shardOwner) accrue(now time.Duration, t Tolerance) {
	fraction := o.lendableFraction(t)
	for _, b := range o.buckets {
		b.accrue(now, fraction, t)
	}
	o.pledgedSum = 0
	for from, p := range o.pledges {
		if p.until <= now {
			delete(o.pledges, from)
			continue
		}
		o.pledgedSum += p.fraction
	}
}

// setLimits sets the limits of the shard's organisations. A new bucket starts
// empty, since the previous owner may have lent the burst.
func (o *shardOwner) setLimits(now time.Duration, limits map[Key]Limit) {
	for key, limit := range limits {
		b := o.buckets[key]
		if b == nil {
			b = &bucket{at: now, initialUntil: now + initialPeriod}
			o.buckets[key] = b
		}
		b.limit = limit
	}
	for key := range o.buckets {
		if _, ok := limits[key]; !ok {
			delete(o.buckets, key)
		}
	}
}

// lend records the pledge of an ask and lends what it asks for. The reply to a repeated
// ask is that to its first copy: tokens lent for each copy would be lost. It returns
// false for an ask that is older than the last one.
func (o *shardOwner) lend(now time.Duration, t Tolerance, from string, a *ask) (reply, bool) {
	p, known := o.pledges[from]
	if known && p.nonce == a.Nonce && a.Seq <= p.seq {
		return p.reply, a.Seq == p.seq
	}
	o.pledgedSum -= p.fraction
	p = pledge{nonce: a.Nonce, seq: a.Seq, fraction: a.Fraction, until: now + a.PledgeTTL}
	if a.PledgeTTL <= 0 {
		// The daemon's fraction is pledged to another owner. The entry is kept to
		// recognise duplicates.
		p.fraction, p.until = 0, now+pledgeTTL
	}
	o.pledgedSum += p.fraction
	fraction := o.lendableFraction(t)
	if !known {
		for _, b := range o.buckets {
			b.grantInitial(now, p.fraction, t)
		}
	}
	out := reply{Seq: a.Seq, Shard: a.Shard}
	for i := range a.Entries {
		e := &a.Entries[i]
		b := o.buckets[e.Key]
		if b == nil {
			out.Entries = append(out.Entries, replyEntry{Key: e.Key, AskAfter: denialWindow, RetryAfter: denialWindow})
			continue
		}
		b.accrue(now, fraction, t)
		if i > 0 && a.Entries[i-1].Key == e.Key {
			lent, retryAfter := b.lendYielding(fraction, t, e)
			out.Entries = append(out.Entries, replyEntry{Key: e.Key, Lent: lent, RetryAfter: retryAfter, Used: b.used()})
			continue
		}
		lent, askAfter, retryAfter := b.lend(now, fraction, t, e)
		out.Entries = append(out.Entries, replyEntry{Key: e.Key, Lent: lent, AskAfter: askAfter, RetryAfter: retryAfter, Used: b.used()})
	}
	p.reply = out
	o.pledges[from] = p
	return out, true
}
