// Package feed holds what a daemon has read of one topic of the metadata store, for
// the daemons that read through it.
//
// A daemon that knows the topic up to some offset gets the records since. One that
// knows nothing, or too little, gets the newest record of each key in pages: each page
// says after which key the next one begins, so that a page that is lost costs that page
// alone, and any daemon can give the next one.
//
// The package does no I/O. The clock is passed in.
package feed

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Bounds of what a daemon keeps of a topic and passes on.
const (
	// maxKeptRecords and keptBytes bound the records that are kept beside the newest of
	// each key. A topic with more keys may keep one record a key.
	maxKeptRecords = 2000
	maxKeptBytes   = 2 << 20
	// trimSlackDivisor is by how much more than that is kept before records are dropped, so
	// that not each record that comes moves all others.
	trimSlackDivisor = 4
	// maxPageBytes bounds the keys and values of one answer, as soon as it has a record.
	maxPageBytes = 64 << 10
)

// Record is the newest value of a key, or one change of it. Without a value
// the key was dropped.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

func (r *Record) size() int { return len(r.Key) + len(r.Value) }

// Query is what a daemon asks about a topic.
type Query struct {
	From  int64         // where to read on; below zero: the newest of each key
	After string        // of these, those of later keys
	MaxWait  time.Duration // how long to wait for something new
	// Age is how old the asker's knowledge is, and Stamp what the last answer of the
	// daemon that is asked bore: what that has confirmed since is new. A stamp of zero
	// is no answer of it.
	Age   time.Duration
	Stamp int64
	// AcceptDetached says that what a daemon heard from one that may read through the asker will do.
	AcceptDetached bool
}

// Answer is what a daemon tells of a topic.
type Answer struct {
	Records []Record
	Snapshot     bool  // they are the newest of each key, by key
	More    bool  // there are more: after the last key, or from Next on
	Next    int64 // where to read on; of pages: once all are there
	// Age is how long before the answer the store confirmed that this was all, and
	// Held how long the question waited. The asker knows when it sent the question, and
	// so that the answer left Held later or more.
	Age   time.Duration
	Waited  time.Duration
	Stamp int64
	// Detached says that the daemon has lost its way to the store and heard this from
	// one that may read through it. Two daemons that take such answers for news wait for
	// each other until neither knows anything new.
	Detached bool
}

// UnknownError is the answer of a daemon that does not know the topic yet.
type UnknownError struct {
	// SinceProgress is how long ago it came closer to knowing it, itself or through the daemon
	// that it asks.
	SinceProgress time.Duration
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("feed: topic is not known yet, no progress for %v", e.SinceProgress)
}

// Batch is what one read brought.
type Batch struct {
	From    int64 // offset at which the read began
	Snapshot     bool  // the records are the newest of each key
	Records []Record
	Next    int64
	// Complete says that the store had no more records at the time of Confirmed, by the
	// boot clock.
	Complete     bool
	Confirmed time.Duration
}

// Feed is one topic as this daemon has read it. Make it with New. It is safe for
// concurrent use.
//
// It may leave records out that tell nothing new, as endpoints write theirs again with
// every heartbeat.
type Feed struct {
	keyed bool // the newest record of each key is all that counts

	mu        sync.Mutex
	oldest     int64 // oldest offset from which others can read on
	next      int64
	records   []Record
	bytes     int
	latest    map[string]Record // by key
	keys      []string          // of newest, in order; nil: not sorted yet
	confirmed time.Duration     // the store had no more than this then
	everConfirmed      bool              // it has been confirmed
	detached  bool              // as in Answer
	progress  time.Duration     // when this daemon came closer to knowing the topic
	updated     chan struct{}     // closed when something changes
}

// New returns a Feed that knows nothing. keyed says that the newest record of each key
// is all that counts in the topic.
func New(keyed bool) *Feed {
	return &Feed{keyed: keyed, latest: map[string]Record{}, updated: make(chan struct{})}
}

// Progress takes that the daemon came closer to knowing the topic, by the boot clock.
func (f *Feed) Progress(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progress = max(f.progress, at)
}

// SetDetached says whether the newest read was answered by a daemon that may read
// through this one.
func (f *Feed) SetDetached(detached bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.detached != detached {
		f.detached = detached
		close(f.updated)
		f.updated = make(chan struct{})
	}
}

// Add takes what was read. Two reads of one topic may overlap.
func (f *Feed) Add(b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.Snapshot || b.From > f.next {
		// It is everything, or there is a gap: those that are behind can't read on from
		// here.
		f.records, f.bytes, f.oldest, f.next = nil, 0, b.From, b.From
		if b.Snapshot {
			f.oldest, f.next = b.Next, 0
			clear(f.latest)
			f.keys = nil
		}
	}
	changed := b.Snapshot
	for _, r := range b.Records {
		if b.Snapshot || r.Offset >= f.next {
			f.store(r, b.Snapshot)
			changed = true
		}
	}
	f.next = max(f.next, b.Next)
	f.trim()
	if b.Complete && (!f.everConfirmed || b.Confirmed > f.confirmed) {
		f.confirmed, f.everConfirmed, changed = b.Confirmed, true, true
	}
	if changed {
		close(f.updated)
		f.updated = make(chan struct{})
	}
}

// store takes one record. With mu held.
func (f *Feed) store(r Record, all bool) {
	if !all {
		f.records = append(f.records, r)
		f.bytes += r.size()
	}
	if !f.keyed {
		return
	}
	_, known := f.latest[r.Key]
	at, _ := slices.BinarySearch(f.keys, r.Key)
	switch dropped := len(r.Value) == 0; {
	case dropped && known && f.keys != nil:
		f.keys = slices.Delete(f.keys, at, at+1)
	case !dropped && !known && f.keys != nil:
		f.keys = slices.Insert(f.keys, at, r.Key)
	}
	if len(r.Value) == 0 {
		delete(f.latest, r.Key)
	} else {
		f.latest[r.Key] = r
	}
}

// trim drops the oldest records that are too many. With mu held.
func (f *Feed) trim() {
	most, bytes := max(maxKeptRecords, len(f.latest)), maxKeptBytes
	if len(f.records) <= most+most/trimSlackDivisor && f.bytes <= bytes+bytes/trimSlackDivisor {
		return
	}
	drop := 0
	for drop < len(f.records) && (len(f.records)-drop > most || f.bytes > bytes) {
		f.bytes -= f.records[drop].size()
		drop++
	}
	f.oldest = f.records[drop-1].Offset + 1
	f.records = slices.Clone(f.records[drop:])
}

// Read answers a question. It waits until there is something new or the question's
// time is over, and then tells that nothing is. The error is an *UnknownError if this
// daemon knows too little to tell anything, or the context's.
func (f *Feed) Read(ctx context.Context, clock func() time.Duration, q Query) (Answer, error) {
	began := clock()
	timer := time.NewTimer(q.MaxWait)
	defer timer.Stop()
	for timedOut := false; ; {
		f.mu.Lock()
		got, ok := f.answer(&q)
		fresh := got.Stamp != q.Stamp
		if q.Stamp == 0 {
			fresh = f.confirmed > began-q.Age
		}
		now, updated, progress := clock(), f.updated, f.progress
		got.Age, got.Waited, got.Detached = now-f.confirmed, now-began, f.detached
		f.mu.Unlock()
		switch {
		case timedOut && !ok:
			return Answer{}, &UnknownError{SinceProgress: now - progress}
		case timedOut || ok && (fresh || got.Snapshot || len(got.Records) > 0 || got.Detached && !q.AcceptDetached):
			return got, nil
		}
		select {
		case <-updated:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		}
	}
}

// answer is what others are told now. With mu held.
//
// A daemon that asks for what comes after all this has read the store itself
// meanwhile. What was confirmed here it knows, and it is told that.
func (f *Feed) answer(q *Query) (Answer, bool) {
	if !f.everConfirmed {
		return Answer{}, false
	}
	if q.From < f.oldest {
		return f.page(q.After), f.keyed
	}
	out := Answer{Next: max(q.From, f.next), Stamp: int64(f.confirmed)}
	from, _ := slices.BinarySearchFunc(f.records, q.From, func(r Record, from int64) int { return cmp.Compare(r.Offset, from) })
	n := 0
	for at, size := from, 0; at < len(f.records); at++ {
		if size += f.records[at].size(); n > 0 && size > maxPageBytes {
			out.More, out.Next = true, f.records[at].Offset
			break
		}
		n++
	}
	out.Records = slices.Clone(f.records[from : from+n])
	return out, true
}

// page is the newest records of the keys after one, as many as fit. With mu held.
func (f *Feed) page(after string) Answer {
	if f.keys == nil {
		f.keys = make([]string, 0, len(f.latest))
		for key := range f.latest {
			f.keys = append(f.keys, key)
		}
		slices.Sort(f.keys)
	}
	from, found := slices.BinarySearch(f.keys, after)
	if found {
		from++
	}
	out := Answer{Snapshot: true, Next: f.next, Stamp: int64(f.confirmed)}
	for size := 0; from < len(f.keys); from++ {
		r := f.latest[f.keys[from]]
		if size += r.size(); len(out.Records) > 0 && size > maxPageBytes {
			out.More = true
			break
		}
		out.Records = append(out.Records, r)
	}
	return out
}
