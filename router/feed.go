package router

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// Bounds of what a daemon keeps of a topic for its neighbours.
const (
	feedRecords = 2000
	feedBytes   = 2 << 20
)

// question is what a daemon asks a neighbour about a topic.
type question struct {
	from int64         // where to read on; below zero: the newest of each key
	hold time.Duration // how long to wait for something new
	// age is how old the asker's knowledge is, and stamp what the neighbour's last
	// answer bore: what the neighbour has confirmed since is new. A stamp of zero is
	// no answer of this neighbour's.
	age   time.Duration
	stamp int64
}

// relayed is the answer of a neighbour.
type relayed struct {
	Records []Record `json:"records"`
	All     bool     `json:"all,omitempty"` // they are the newest of each key
	Next    int64    `json:"next"`
	// Age is how long before the answer the store confirmed that this was all, and
	// Held how long the question waited here. The asker knows when it sent the
	// question, and so that the answer left Held later or more.
	Age   time.Duration `json:"age_ns"`
	Held  time.Duration `json:"held_ns"`
	Stamp int64         `json:"stamp"`
}

// feed is the newest part of one topic as this daemon has read it, for
// neighbours to read on from. It is safe for concurrent use.
//
// It may leave records out that tell nothing new: endpoints write theirs again with
// every heartbeat, which at 139 endpoints would be 30 kB a second for each reader.
type feed struct {
	keyed bool // the newest record of each key is all that counts

	mu        sync.Mutex
	first     int64 // oldest offset from which neighbours can read on
	next      int64
	records   []Record
	bytes     int
	newest    map[string]Record // by key
	confirmed time.Duration     // the store had no more than this then
	some      bool              // it has been confirmed
	woken     chan struct{}     // closed when something changes
}

func newFeed(keyed bool) *feed {
	return &feed{keyed: keyed, newest: map[string]Record{}, woken: make(chan struct{})}
}

// batch is what one read brought for a feed.
type batch struct {
	from    int64 // offset at which the read began
	all     bool  // the records are the newest of each key
	records []Record
	next    int64
	// whole says that the store had no more records at the time of confirmed, by the
	// boot clock.
	whole     bool
	confirmed time.Duration
}

// add takes what was read. Two reads of one topic may overlap.
func (f *feed) add(b batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.all || b.from > f.next {
		// It is everything, or there is a gap: neighbours that are behind can't read
		// on from here.
		f.records, f.bytes, f.first, f.next = nil, 0, b.from, b.from
		if b.all {
			f.first, f.next = b.next, 0
			clear(f.newest)
		}
	}
	changed := b.all
	for _, r := range b.records {
		if b.all || r.Offset >= f.next {
			f.keep(r, b.all)
			changed = true
		}
	}
	f.next = max(f.next, b.next)
	f.trim()
	if b.whole && (!f.some || b.confirmed > f.confirmed) {
		f.confirmed, f.some, changed = b.confirmed, true, true
	}
	if changed {
		close(f.woken)
		f.woken = make(chan struct{})
	}
}

// keep takes one record. With mu held.
func (f *feed) keep(r Record, all bool) {
	if !all {
		f.records = append(f.records, r)
		f.bytes += len(r.Key) + len(r.Value)
	}
	switch {
	case !f.keyed:
	case len(r.Value) == 0:
		delete(f.newest, r.Key)
	default:
		f.newest[r.Key] = r
	}
}

func (f *feed) trim() {
	drop := 0
	for drop < len(f.records) && (len(f.records)-drop > feedRecords || f.bytes > feedBytes) {
		f.bytes -= len(f.records[drop].Key) + len(f.records[drop].Value)
		drop++
	}
	if drop == 0 {
		return
	}
	f.first = f.records[drop-1].Offset + 1
	f.records = append([]Record(nil), f.records[drop:]...)
}

// read answers a question. It waits until there is something new or the question's
// time is over, and then tells that nothing is. ok is false if this daemon knows too
// little to tell anything.
func (f *feed) read(ctx context.Context, clock func() time.Duration, q question) (got relayed, ok bool) {
	began := clock()
	timer := time.NewTimer(q.hold)
	defer timer.Stop()
	for over := false; ; {
		f.mu.Lock()
		got, ok = f.answer(q.from)
		fresh := got.Stamp != q.stamp
		if q.stamp == 0 {
			fresh = f.confirmed > began-q.age
		}
		now, woken := clock(), f.woken
		got.Age, got.Held = now-f.confirmed, now-began
		f.mu.Unlock()
		if over || ok && (fresh || got.All || len(got.Records) > 0) {
			return got, ok
		}
		select {
		case <-woken:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return relayed{}, false
		}
	}
}

// answer is what neighbours are told now. With mu held.
//
// A neighbour that asks for what comes after all this has read the store itself
// meanwhile. What was confirmed here it knows, and it is told that.
func (f *feed) answer(from int64) (relayed, bool) {
	if !f.some {
		return relayed{}, false
	}
	out := relayed{Next: max(from, f.next), Stamp: int64(f.confirmed)}
	if from < f.first {
		if !f.keyed {
			return relayed{}, false
		}
		out.All, out.Next = true, f.next
		out.Records = slices.SortedFunc(maps.Values(f.newest), func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
		return out, true
	}
	i, _ := slices.BinarySearchFunc(f.records, from, func(r Record, from int64) int { return cmp.Compare(r.Offset, from) })
	out.Records = slices.Clone(f.records[i:])
	return out, true
}
