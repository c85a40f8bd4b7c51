package router

import (
	"context"
	"sync"
	"time"
)

// Bounds of what a daemon keeps of a topic for its neighbours.
const (
	feedRecords = 2000
	feedBytes   = 2 << 20
)

// feed is the newest part of one topic as this daemon has read it, for
// neighbours to read on from. It is safe for concurrent use.
type feed struct {
	mu      sync.Mutex
	first   int64 // offset of the oldest record kept
	next    int64
	records []Record
	bytes   int
	sent    time.Duration // when the newest answered read of the store was sent
	some    bool
	woken   chan struct{} // closed when records were added
}

func newFeed() *feed { return &feed{woken: make(chan struct{})} }

// add takes the answer to a read that began at the offset. sent is when it was
// confirmed by the store, by the boot clock.
func (f *feed) add(from int64, got Records, sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.some || from != f.next {
		// There is a gap, or this is the beginning: neighbours that are behind
		// must ask the store.
		f.records, f.bytes, f.first = nil, 0, from
	}
	for _, r := range got.Records {
		f.records = append(f.records, r)
		f.bytes += len(r.Key) + len(r.Value)
	}
	f.next = got.Next
	f.trim()
	if !f.some || sent > f.sent {
		f.sent, f.some = sent, true
	}
	if len(got.Records) > 0 {
		close(f.woken)
		f.woken = make(chan struct{})
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

// read returns the records from the offset on and how old they are, waiting for
// one for a while. ok is false if the feed does not reach back so far, or ends
// before.
func (f *feed) read(ctx context.Context, now func() time.Duration, from int64, wait time.Duration) (got Records, ok bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		ok = f.some && from >= f.first && from <= f.next
		got = Records{Next: f.next, End: f.next, Age: now() - f.sent}
		for _, r := range f.records {
			if r.Offset >= from {
				got.Records = append(got.Records, r)
			}
		}
		woken := f.woken
		f.mu.Unlock()
		if !ok || len(got.Records) > 0 {
			return got, ok
		}
		select {
		case <-woken:
		case <-timer.C:
			return got, true
		case <-ctx.Done():
			return Records{}, false
		}
	}
}
