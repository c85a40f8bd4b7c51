// Package loadtable holds the last load reports of the endpoints of a service, and encodes
// them for other daemons.
//
// Each daemon receives a load report only with the answers to its own requests. With dozens
// of daemons, a report of one engine is seconds old or missing at most of them. So daemons
// send what they observed to one daemon, which returns the merged reports.
//
// The package does no I/O and reads no clock. Times are durations of a clock that also
// advances while the machine is suspended; messages contain ages, never times.
package loadtable

import (
	"cmp"
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/hash"
)

// Bounds of a Table.
const (
	// MaxEndpoints is the largest number of endpoints in a Table. Beyond it, the endpoint
	// with the oldest report is removed.
	MaxEndpoints = 256
	// MaxAge is the age from which a report is neither accepted nor returned.
	MaxAge = 10 * time.Second
	// MaxRequests is the largest number of requests or slots of a plausible report.
	MaxRequests = 1_000_000
)

// minAdvance is how much later than the known report a report must have been observed to
// replace it. Ages in messages are rounded and do not include the time on the network, so
// that a repeated report may appear to be a few milliseconds newer.
const minAdvance = 5 * time.Millisecond

// Key identifies an incarnation of an endpoint in messages between daemons.
type Key uint64

// KeyOf returns the key of an endpoint. The IDs of two incarnations of one endpoint differ
// (directory.Key), and so do their keys.
func KeyOf(id fleet.EndpointID) Key { return Key(hash.Text("loadtable/" + string(id))) }

// Load is the load that an endpoint reported.
type Load struct {
	Running      int // requests in the batch
	Waiting      int
	Slots        int // 0: unknown
	DelayPercent int // current duration of work as a percentage of the usual one; 0: unknown
}

// plausible reports whether an endpoint may report the load.
func (l *Load) plausible() bool {
	for _, n := range [...]int{l.Running, l.Waiting, l.Slots, l.DelayPercent} {
		if n < 0 || n > MaxRequests {
			return false
		}
	}
	return true
}

// Report is the load of an endpoint and its age.
type Report struct {
	Key
	Load
	Age time.Duration
}

// entry is the state of one endpoint.
type entry struct {
	load      Load
	at        time.Duration // when the load was observed
	changedAt time.Duration // when it was added to this table
	observed  bool          // by this daemon
	removed   bool          // reports from before at are not accepted
}

// Table holds the last report of each endpoint. Create it with New. It is not safe for
// concurrent use.
type Table struct {
	entries map[Key]*entry
}

// New returns an empty Table.
func New() *Table { return &Table{entries: map[Key]*entry{}} }

// Observe adds a report that this daemon received from the endpoint itself. It returns
// false if the report is implausible or not newer than the known one.
func (t *Table) Observe(now time.Duration, r Report) bool {
	return r.plausible() && t.put(now, &r, true)
}

// Merge adds reports of another daemon and returns those that are newer than the known
// ones. Implausible reports are ignored.
func (t *Table) Merge(now time.Duration, reports []Report) []Report {
	var newer []Report
	for _, r := range reports {
		if r.plausible() && t.put(now, &r, false) {
			newer = append(newer, r)
		}
	}
	return newer
}

func (t *Table) put(now time.Duration, r *Report, observed bool) bool {
	age := max(r.Age, 0)
	if age >= MaxAge {
		return false
	}
	at := now - age
	e := t.entries[r.Key]
	switch {
	case e == nil:
		if len(t.entries) >= MaxEndpoints && !t.removeOldest(at) {
			return false
		}
		e = &entry{}
		t.entries[r.Key] = e
	case observed && !e.removed && at < e.at, !observed && at < e.at+minAdvance, e.removed && at <= e.at:
		return false
	}
	*e = entry{load: r.Load, at: at, changedAt: now, observed: observed}
	return true
}

// removeOldest removes the endpoint with the oldest report if that is from before the given
// time, and reports whether it did.
func (t *Table) removeOldest(before time.Duration) bool {
	var oldest Key
	found := false
	for key, e := range t.entries {
		if e.at < before {
			oldest, before, found = key, e.at, true
		}
	}
	if found {
		delete(t.entries, oldest)
	}
	return found
}

// Remove removes the load of an endpoint. Reports from before now are not accepted
// afterwards: they may be on their way from other daemons.
func (t *Table) Remove(now time.Duration, key Key) {
	if t.entries[key] != nil {
		t.entries[key] = &entry{at: now, changedAt: now, removed: true}
	}
}

// Retain deletes the endpoints that are not known, and reports that have reached MaxAge.
func (t *Table) Retain(now time.Duration, known func(Key) bool) {
	for key, e := range t.entries {
		if !known(key) || now-e.at >= MaxAge {
			delete(t.entries, key)
		}
	}
}

// Changed returns the reports that were added since the given time, the most recently
// added first, at most the given number.
func (t *Table) Changed(now, since time.Duration, most int) []Report {
	return t.list(now, since, most, false)
}

// Observed is Changed for reports that this daemon received from the endpoints themselves.
func (t *Table) Observed(now, since time.Duration, most int) []Report {
	return t.list(now, since, most, true)
}

func (t *Table) list(now, since time.Duration, most int, observed bool) []Report {
	type change struct {
		Report
		at time.Duration
	}
	all := make([]change, 0, len(t.entries))
	for key, e := range t.entries {
		if age := now - e.at; e.changedAt >= since && age < MaxAge && !e.removed && (e.observed || !observed) {
			all = append(all, change{Report{Key: key, Load: e.load, Age: age}, e.changedAt})
		}
	}
	slices.SortFunc(all, func(a, b change) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Key, b.Key))
	})
	all = all[:max(0, min(len(all), most))]
	out := make([]Report, len(all))
	for i := range all {
		out[i] = all[i].Report
	}
	return out
}

// Stats returns the number of endpoints with a load and the mean age of their reports.
func (t *Table) Stats(now time.Duration) (endpoints int, meanAge time.Duration) {
	sum := time.Duration(0)
	for _, e := range t.entries {
		if !e.removed {
			endpoints++
			sum += now - e.at
		}
	}
	return endpoints, sum / time.Duration(max(endpoints, 1))
}
