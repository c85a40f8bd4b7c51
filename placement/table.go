package placement

import (
	"math"
	"time"

	"github.com/merlindock/merlindock/prefix"
)

// heatHalfLife is how fast the rate at which a prefix is asked for follows a
// change. A prefix that becomes hot without warning has to be spread within
// seconds.
const heatHalfLife = 2 * time.Second

// holder is the belief that one endpoint has one prefix in its cache.
type holder struct {
	endpoint int32
	life     uint32 // of the endpoint when this was learnt
	gaps     uint32 // of the endpoint's events when this was learnt
	event    bool   // a cache event said so
	coming   bool   // sent there, and not confirmed by an answer or event
	seen     time.Time
}

// entry is what is remembered of one prefix.
type entry struct {
	key     prefix.Key
	newer   int32
	older   int32
	holders []holder

	heat   float64 // requests/s that this daemon placed by this prefix
	heatAt time.Time

	homes      [MaxPreferred]int32
	homeCount  int32
	homesEpoch uint32 // of the pool that homes was worked out for; 0: never

	stored time.Time // when some endpoint last computed it, for the KV store
}

// table remembers a bounded number of prefixes and forgets the one that was
// not touched for longest.
type table struct {
	max     int
	index   map[prefix.Key]int32
	entries []entry
	newest  int32
	oldest  int32
}

func newTable(limit int) table {
	return table{max: limit, index: map[prefix.Key]int32{}, newest: none, oldest: none}
}

func (t *table) find(k prefix.Key) *entry {
	i, ok := t.index[k]
	if !ok {
		return nil
	}
	return &t.entries[i]
}

// touch returns the entry of the key, made if need be, as the newest.
func (t *table) touch(k prefix.Key) *entry {
	i, ok := t.index[k]
	if ok {
		t.unlink(i)
	} else {
		i = t.slot()
		e := &t.entries[i]
		*e = entry{key: k, holders: e.holders[:0]}
		t.index[k] = i
	}
	t.pushNewest(i)
	return &t.entries[i]
}

func (t *table) slot() int32 {
	if len(t.entries) < t.max {
		t.entries = append(t.entries, entry{})
		return int32(len(t.entries) - 1)
	}
	i := t.oldest
	t.unlink(i)
	delete(t.index, t.entries[i].key)
	return i
}

func (t *table) unlink(i int32) {
	e := &t.entries[i]
	if e.newer == none {
		t.newest = e.older
	} else {
		t.entries[e.newer].older = e.older
	}
	if e.older == none {
		t.oldest = e.newer
	} else {
		t.entries[e.older].newer = e.newer
	}
}

func (t *table) pushNewest(i int32) {
	e := &t.entries[i]
	e.newer, e.older = none, t.newest
	if t.newest == none {
		t.oldest = i
	} else {
		t.entries[t.newest].newer = i
	}
	t.newest = i
}

// warm adds one request to the heat and returns it, in requests/s.
func (e *entry) warm(now time.Time) float64 {
	e.heat = e.heatNow(now) + math.Ln2/heatHalfLife.Seconds()
	e.heatAt = now
	return e.heat
}

func (e *entry) heatNow(now time.Time) float64 {
	if e.heat == 0 {
		return 0
	}
	return e.heat * math.Exp2(-now.Sub(e.heatAt).Seconds()/heatHalfLife.Seconds())
}

// hold notes that the endpoint has the prefix. When the list is full, the
// belief that was confirmed longest ago makes room.
func (e *entry) hold(h holder) {
	oldest := 0
	for i := range e.holders {
		if e.holders[i].endpoint == h.endpoint {
			e.holders[i] = h
			return
		}
		if e.holders[i].seen.Before(e.holders[oldest].seen) {
			oldest = i
		}
	}
	if len(e.holders) < MaxHolders {
		e.holders = append(e.holders, h)
		return
	}
	e.holders[oldest] = h
}

func (e *entry) holderOf(ep int32) *holder {
	for i := range e.holders {
		if e.holders[i].endpoint == ep {
			return &e.holders[i]
		}
	}
	return nil
}

// drop forgets that the endpoint has the prefix, unless that was learnt after
// the given time.
func (e *entry) drop(ep int32, at time.Time) {
	for i := range e.holders {
		h := e.holders[i]
		if h.endpoint != ep {
			continue
		}
		if !h.seen.After(at) {
			e.removeHolder(i)
		}
		return
	}
}

func (e *entry) removeHolder(i int) {
	last := len(e.holders) - 1
	e.holders[i] = e.holders[last]
	e.holders = e.holders[:last]
}
