// Package feed caches what a daemon has read of one topic of the metadata store and
// serves it to the daemons that read the topic through this one.
//
// A daemon that is up to date as of some offset gets the records from there on. One
// that has nothing yet, or is further behind than the kept records reach, gets a
// snapshot: the latest record of each key, in pages sorted by key. The next page is
// requested by the last key received, so a lost page is the only one to be repeated,
// and any daemon can serve the next one.
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

// Limits on the records kept and on the size of an answer.
const (
	// maxKeptRecords and maxKeptBytes limit the history that is kept besides the latest
	// record of each key. A topic with more keys than maxKeptRecords may keep as many
	// records as it has keys.
	maxKeptRecords = 2000
	maxKeptBytes   = 2 << 20
	// trimSlackDivisor sets the overshoot after which the history is trimmed: 1/4 above
	// the limits. Without slack, each new record would copy all others.
	trimSlackDivisor = 4
	// maxPageBytes limits the keys and values of one answer. An answer holds at least
	// one record, whatever its size.
	maxPageBytes = 64 << 10
)

// Record is the latest value of a key, or one change to it. An empty value means that
// the key was removed.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

func (r *Record) size() int { return len(r.Key) + len(r.Value) }

// Query is a read of a topic by another daemon.
type Query struct {
	From    int64         // first offset wanted; 0: from the beginning; negative for a snapshot
	After   string        // last key received of a snapshot; it continues with later keys
	MaxWait time.Duration // how long to wait for an update
	// Age is how long ago the client's state was confirmed, and Stamp the Answer.Stamp of
	// the last answer by the same daemon. A confirmation with another stamp is an update.
	// A stamp of zero means that this daemon has not answered the client before; Age is
	// compared instead.
	Age   time.Duration
	Stamp int64
	// AcceptDetached makes a detached daemon wait for an update like any other. By default
	// it answers at once, see Answer.Detached.
	AcceptDetached bool
}

// Answer is the reply to a Query.
type Answer struct {
	Records  []Record
	Snapshot bool  // Records are a page of the snapshot, sorted by key
	More     bool  // more records follow: after the last key, or from Next
	Next     int64 // first offset to read next; for a snapshot, once all pages have been read
	// Age is how long before the answer the store confirmed that there were no further
	// records. Waited is how long the query was held. The client knows when it sent the
	// query, so the answer was sent at least Waited after that.
	Age    time.Duration
	Waited time.Duration
	Stamp  int64
	// Detached is set if the daemon has lost its connection to the store and read this
	// from a daemon that may in turn read through it. Two daemons that both accepted such
	// answers as updates would wait for each other and never get new records.
	Detached bool
}

// UnknownError is returned by a daemon that has not read the topic completely yet.
type UnknownError struct {
	// SinceProgress is the time since the daemon last received a part of the topic, from
	// the store or from the daemon that it reads through.
	SinceProgress time.Duration
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("feed: topic has not been read completely yet, no progress for %v", e.SinceProgress)
}

// Batch is the result of one read.
type Batch struct {
	From     int64 // first offset read
	Snapshot bool  // Records are the latest of each key
	Records  []Record
	Next     int64
	// Complete is set if the store had no further records at the time Confirmed, which is
	// read from the boot clock.
	Complete  bool
	Confirmed time.Duration
}

// Feed is this daemon's copy of one topic. Create it with New. It is safe for
// concurrent use.
//
// Records that change nothing may be omitted by the caller: endpoints rewrite their
// records with every heartbeat.
type Feed struct {
	keyed bool // only the latest record of each key matters

	mu            sync.Mutex
	oldest        int64 // lowest offset from which the kept records are complete
	next          int64
	records       []Record
	bytes         int
	latest        map[string]Record // by key
	keys          []string          // of latest, sorted; nil: to be built
	confirmed     time.Duration     // when the store last had no further records
	everConfirmed bool              // confirmed is set
	detached      bool              // see Answer.Detached
	lastProgress  time.Duration     // when a part of the topic was last received
	updated       chan struct{}     // closed and replaced on each update
}

// New returns an empty Feed. keyed is set for topics in which only the latest record of
// each key matters; only these can serve snapshots.
func New(keyed bool) *Feed {
	return &Feed{keyed: keyed, latest: map[string]Record{}, updated: make(chan struct{})}
}

// RecordProgress records that a part of the topic was received at the given time of the
// boot clock.
func (f *Feed) RecordProgress(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastProgress = max(f.lastProgress, at)
}

// SetDetached records whether the latest read was answered by a daemon that may read
// through this one, and wakes waiting readers if that changed.
func (f *Feed) SetDetached(detached bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.detached != detached {
		f.detached = detached
		close(f.updated)
		f.updated = make(chan struct{})
	}
}

// Add applies the result of a read. Batches may overlap; a record is added once.
func (f *Feed) Add(b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.Snapshot || b.From > f.next {
		// After a snapshot or a gap, readers that are behind need a snapshot too.
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

// store adds one record to the history, unless it comes from a snapshot, and to the
// latest records. The caller holds mu.
func (f *Feed) store(r Record, snapshot bool) {
	if !snapshot {
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

// trim drops the oldest records once the limits are exceeded. The caller holds mu.
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

// Read answers a query. It waits for an update for up to q.MaxWait and then returns the
// current state, without records if the client is up to date. The error is an
// *UnknownError if the topic has not been read far enough to answer, or the context's.
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
		now, updated, progress := clock(), f.updated, f.lastProgress
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

// answer builds the present answer; false if the feed cannot answer yet. The caller
// holds mu.
//
// A client may ask for an offset beyond the feed's, as it has read the store itself in
// the meantime. It then gets no records, only the time of confirmation.
func (f *Feed) answer(q *Query) (Answer, bool) {
	if !f.everConfirmed {
		return Answer{}, false
	}
	first := q.From
	if first == 0 {
		first = OffsetIn(Generation(f.next), 0)
	}
	if first < f.oldest {
		return f.page(q.After), f.keyed
	}
	out := Answer{Next: max(first, f.next), Stamp: int64(f.confirmed)}
	from, _ := slices.BinarySearchFunc(f.records, first, func(r Record, from int64) int { return cmp.Compare(r.Offset, from) })
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

// page returns the latest records of the keys greater than after, up to maxPageBytes.
// The caller holds mu.
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
