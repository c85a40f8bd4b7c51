package router

import (
	"time"

	"github.com/merlindock/merlindock/feed"
)

// load is a read of the newest of each key, page by page. What changes meanwhile is
// read from next on.
type load struct {
	relayed   bool // from neighbours, whichever gives the next page
	after     string
	next      int64
	confirmed time.Duration // everything up to next was there then
	records   []Record
}

// loading tells whether everything has to be read.
func (f *follower) loading() bool { return !f.loaded || f.load != nil }

// pageAfter is the key after which the next page begins. A load that neighbours began
// is not continued at the store, nor the other way round: nothing says that both put
// keys into one order.
func (f *follower) pageAfter(relayed bool) string {
	if f.load == nil || f.load.relayed != relayed {
		return ""
	}
	return f.load.after
}

// takePage applies one page of a read of everything.
func (f *follower) takePage(after string, confirmed time.Duration, p Page) progress {
	if f.load == nil || f.load.relayed != f.relayed || f.load.after != after {
		f.load = &load{relayed: f.relayed, next: p.End, confirmed: confirmed}
	}
	l := f.load
	l.next, l.confirmed = min(l.next, p.End), min(l.confirmed, confirmed)
	for _, record := range p.Records {
		told, _ := f.apply(record)
		l.records = append(l.records, told)
		l.after = record.Key
	}
	if p.More {
		return progress{more: true}
	}
	if f.snapshot != nil {
		f.snapshot(keysOf(l.records))
	}
	f.load = nil
	return f.finish(feed.Batch{From: f.next, Snapshot: true, Records: l.records, Next: l.next, Complete: true, Confirmed: l.confirmed})
}

func keysOf(records []Record) map[string]bool {
	out := make(map[string]bool, len(records))
	for _, r := range records {
		out[r.Key] = true
	}
	return out
}
