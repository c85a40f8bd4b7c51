package placement

import (
	"math"
	"time"

	"github.com/merlindock/merlindock/prefix"
)

// rateHalfLife is the half-life of the request rate of a prefix. A prefix that
// suddenly becomes hot must be spread within seconds.
const rateHalfLife = 2 * time.Second

// holder records that one endpoint probably caches one prefix.
type holder struct {
	endpoint    int32
	generation  uint32 // the endpoint's generation at that time
	eventGaps   uint32 // the endpoint's gap count at that time
	fromEvent   bool   // reported by a cache event
	inFlight    bool   // sent there, and not confirmed by an answer or event
	confirmedAt time.Time
}

// prefixEntry is the state of one prefix.
type prefixEntry struct {
	key     prefix.Key
	newer   int32
	older   int32
	holders []holder

	requestRate   float64 // requests/s with this affinity level from this daemon
	rateUpdatedAt time.Time

	preferred      [MaxPreferred]int32
	preferredCount int32
	preferredEpoch uint32 // pool epoch for which the preferred endpoints were computed; 0: never

	storedAt time.Time // when an endpoint last computed it, for the KV store
}

// prefixTable holds a bounded number of prefixes and evicts the least recently used one.
type prefixTable struct {
	max     int
	index   map[prefix.Key]int32
	entries []prefixEntry
	newest  int32
	oldest  int32
}

func newPrefixTable(limit int) prefixTable {
	return prefixTable{max: limit, index: map[prefix.Key]int32{}, newest: none, oldest: none}
}

func (t *prefixTable) find(k prefix.Key) *prefixEntry {
	i, ok := t.index[k]
	if !ok {
		return nil
	}
	return &t.entries[i]
}

// touch returns the key's entry as the newest, and creates it if it is missing.
func (t *prefixTable) touch(k prefix.Key) *prefixEntry {
	i, ok := t.index[k]
	if ok {
		t.unlink(i)
	} else {
		i = t.slot()
		e := &t.entries[i]
		*e = prefixEntry{key: k, holders: e.holders[:0]}
		t.index[k] = i
	}
	t.pushNewest(i)
	return &t.entries[i]
}

func (t *prefixTable) slot() int32 {
	if len(t.entries) < t.max {
		t.entries = append(t.entries, prefixEntry{})
		return int32(len(t.entries) - 1)
	}
	i := t.oldest
	t.unlink(i)
	delete(t.index, t.entries[i].key)
	return i
}

func (t *prefixTable) unlink(i int32) {
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

func (t *prefixTable) pushNewest(i int32) {
	e := &t.entries[i]
	e.newer, e.older = none, t.newest
	if t.newest == none {
		t.oldest = i
	} else {
		t.entries[t.newest].newer = i
	}
	t.newest = i
}

// countRequest adds one request to the rate and returns the rate, in requests/s.
func (e *prefixEntry) countRequest(now time.Time) float64 {
	e.requestRate = e.rateAt(now) + math.Ln2/rateHalfLife.Seconds()
	e.rateUpdatedAt = now
	return e.requestRate
}

func (e *prefixEntry) rateAt(now time.Time) float64 {
	if e.requestRate == 0 {
		return 0
	}
	return e.requestRate * math.Exp2(-now.Sub(e.rateUpdatedAt).Seconds()/rateHalfLife.Seconds())
}

// addHolder records that the endpoint caches the prefix. In a full list it replaces the
// holder whose confirmation is oldest.
func (e *prefixEntry) addHolder(h holder) {
	oldest := 0
	for i := range e.holders {
		if e.holders[i].endpoint == h.endpoint {
			e.holders[i] = h
			return
		}
		if e.holders[i].confirmedAt.Before(e.holders[oldest].confirmedAt) {
			oldest = i
		}
	}
	if len(e.holders) < MaxHolders {
		e.holders = append(e.holders, h)
		return
	}
	e.holders[oldest] = h
}

func (e *prefixEntry) holderOf(ep int32) *holder {
	for i := range e.holders {
		if e.holders[i].endpoint == ep {
			return &e.holders[i]
		}
	}
	return nil
}

// dropHolder removes the endpoint's holder record, unless it was confirmed after the given
// time.
func (e *prefixEntry) dropHolder(ep int32, at time.Time) {
	for i := range e.holders {
		h := e.holders[i]
		if h.endpoint != ep {
			continue
		}
		if !h.confirmedAt.After(at) {
			e.removeHolder(i)
		}
		return
	}
}

func (e *prefixEntry) removeHolder(i int) {
	last := len(e.holders) - 1
	e.holders[i] = e.holders[last]
	e.holders = e.holders[:last]
}
