package streamorigin

import (
	"slices"
	"time"
)

// maxRecords bounds the records that a daemon holds. Beyond it, records that expire first are
// dropped.
const maxRecords = 1 << 16

// record is what a daemon knows of one stream.
type record struct {
	origin Origin
	// ambiguous states that two streams began under this ID at different origins.
	ambiguous bool
	began     time.Duration
	until     time.Duration
}

// told returns the record as other daemons are sent it. An ambiguous one names no version.
func (r *record) told(now time.Duration, id ID) *toldRecord {
	out := &toldRecord{id, r.origin, r.until - now}
	if r.ambiguous {
		out.origin.Build = ""
	}
	return out
}

// records holds the records of a daemon.
type records struct{ byID map[ID]*record }

// put adds a record, or merges it with the one that is there. It returns the result.
func (r *records) put(now time.Duration, id ID, o Origin, lifetime time.Duration) *record {
	if have := r.byID[id]; have != nil && have.until > now {
		have.ambiguous = have.ambiguous || have.origin != o
		have.until = max(have.until, now+lifetime)
		return have
	}
	if len(r.byID) >= maxRecords {
		r.expire(now)
	}
	if len(r.byID) >= maxRecords {
		r.dropFirst()
	}
	added := &record{origin: o, began: now, until: now + lifetime}
	r.byID[id] = added
	return added
}

// find returns the record of a stream, or nil.
func (r *records) find(now time.Duration, id ID) *record {
	if have := r.byID[id]; have != nil && have.until > now {
		return have
	}
	return nil
}

// expire drops the records whose time is over.
func (r *records) expire(now time.Duration) {
	for id, have := range r.byID {
		if have.until <= now {
			delete(r.byID, id)
		}
	}
}

// dropFirst drops the tenth of the records that expires first, judged by a sample.
func (r *records) dropFirst() {
	const sample = 64
	var first []time.Duration
	for _, have := range r.byID {
		if first = append(first, have.until); len(first) == sample {
			break
		}
	}
	slices.Sort(first)
	limit := first[len(first)/10]
	for id, have := range r.byID {
		if have.until <= limit {
			delete(r.byID, id)
		}
	}
}
