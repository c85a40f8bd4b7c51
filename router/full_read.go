package router

import (
	"time"

	"github.com/merlindock/merlindock/feed"
)

// fullRead is a read of the newest record of each key, page by page. Changes that
// happen meanwhile are read afterwards from offset next on.
type fullRead struct {
	relayed   bool // read from neighbours, each page from any of them
	after     string
	next      int64
	confirmed time.Duration // all records up to next existed at this time
	records   []Record
}

// needsFullRead reports whether the topic has to be read completely.
func (f *follower) needsFullRead() bool { return !f.complete || f.fullRead != nil }

// pageAfter returns the key after which the next page begins. A full read that was
// begun through neighbours is not continued at the store or the other way round, as the
// two may order keys differently.
func (f *follower) pageAfter(relayed bool) string {
	if f.fullRead == nil || f.fullRead.relayed != relayed {
		return ""
	}
	return f.fullRead.after
}

// applyPage applies one page of a full read. The pages of a full read are of one
// generation of the store.
func (f *follower) applyPage(after string, confirmed time.Duration, p Page) (readResult, error) {
	generation := feed.Generation(p.End)
	if generation < feed.Generation(f.next) {
		return readResult{}, ErrOlderGeneration
	}
	if f.answeredReads > 0 && generation > feed.Generation(f.next) && !f.restored {
		f.restored = true
		f.router.log.Info("Store was restored from a copy, reading the newest record of each key.",
			"topic", f.subscription.topic.String(), "generation", generation, "through_neighbour", f.relayed)
	}
	if f.fullRead != nil && feed.Generation(f.fullRead.next) != generation {
		f.fullRead, f.complete = nil, false
		if after != "" {
			return readResult{more: true}, nil
		}
	}
	if f.fullRead == nil || f.fullRead.relayed != f.relayed || f.fullRead.after != after {
		f.fullRead = &fullRead{relayed: f.relayed, next: p.End, confirmed: confirmed}
	}
	l := f.fullRead
	l.next, l.confirmed = min(l.next, p.End), min(l.confirmed, confirmed)
	for _, record := range p.Records {
		forNeighbours, _ := f.apply(record)
		l.records = append(l.records, forNeighbours)
		l.after = record.Key
	}
	if p.More {
		return readResult{more: true}, nil
	}
	if f.onSnapshot != nil {
		f.onSnapshot(keysOf(l.records))
	}
	f.fullRead, f.restored = nil, false
	return f.publish(feed.Batch{From: f.next, Snapshot: true, Records: l.records, Next: l.next, Complete: true, Confirmed: l.confirmed}), nil
}

func keysOf(records []Record) map[string]bool {
	out := make(map[string]bool, len(records))
	for _, r := range records {
		out[r.Key] = true
	}
	return out
}
