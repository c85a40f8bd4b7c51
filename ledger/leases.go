package ledger

import (
	"time"

	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// Limits of leases. They are part of the rules: every reader must have the
// same.
const (
	MinLeaseTTL   = time.Second
	MaxLeaseTTL   = 5 * time.Minute
	MaxLeases     = 1024 // held at once
	maxLeaseBytes = 128  // of a name or a holder
)

// LeaseOp is what a lease record asks for.
type LeaseOp string

// The operations on a lease.
const (
	LeaseAcquire LeaseOp = "acquire"
	LeaseRenew   LeaseOp = "renew"
	LeaseRelease LeaseOp = "release"
)

// Reasons that only leases give.
const (
	ReasonHeld   Reason = "held"   // another holds the lease; By is its fence
	ReasonLapsed Reason = "lapsed" // the lease is no longer this holder's
	ReasonLimit  Reason = "limit"  // a figure out of range, or a full table
)

// LeaseRecord asks for a lease, more time on it, or its end.
type LeaseRecord struct {
	Op     LeaseOp           `json:"op"`
	Name   string            `json:"name"`
	Holder string            `json:"holder"` // unique to one life of a process
	TTL    manifest.Duration `json:"ttl,omitempty"`
	Fence  ports.Offset      `json:"fence,omitempty"` // renew and release: of the lease held
	Serial int               `json:"serial"`          // by which the holder knows its record again
}

func (*LeaseRecord) kind() Kind { return KindLease }

// Lease is a lease that is held.
type Lease struct {
	Name    string       `json:"name"`
	Holder  string       `json:"holder"`
	Fence   ports.Offset `json:"fence"`   // fencing number: the offset that acquired it
	Expires time.Time    `json:"expires"` // by the log's clock
}

// LeaseDecision is the outcome of a lease record. Fence is the lease's after
// an acceptance, and the present holder's, if any, after a refusal.
type LeaseDecision struct {
	Offset  ports.Offset `json:"offset"`
	Time    time.Time    `json:"time"`
	Outcome Outcome      `json:"outcome"`
	Reason  Reason       `json:"reason,omitempty"`
	Fence   ports.Offset `json:"fence,omitempty"`
	Record  LeaseRecord  `json:"record"`
}

// Leases is the fold of the lease stream. A lease ends when a record arrives
// whose time by the log is past its expiry, so that all readers see the same
// holder, whatever their clocks say.
//
// Behind a gap a name is unsure until no lost or undecided record can still
// hold it; an acquisition after that is accepted by every reader.
type Leases struct {
	clock   time.Time // latest record time
	through ports.Offset
	gap     bool      // the next record is the first after a gap
	unsure  time.Time // names not in table may be held up to here
	table   map[string]*leaseEntry
}

type leaseEntry struct {
	lease Lease
	// unsure marks a name whose holder is not known; lease.Expires is then
	// the latest time to which it may be held.
	unsure bool
}

// NewLeases returns a fold that has read nothing.
func NewLeases() *Leases { return &Leases{table: make(map[string]*leaseEntry)} }

// Next is the offset to read next.
func (l *Leases) Next() ports.Offset { return l.through + 1 }

// Gap says that the records before first have expired unread.
func (l *Leases) Gap(first ports.Offset) {
	if first <= l.Next() {
		return
	}
	l.through = first - 1
	l.gap = true
	clear(l.table)
}

// Holder returns who holds a lease at the given time of the log's clock.
// Known is false while lost records may hold it.
func (l *Leases) Holder(name string, at time.Time) (held Lease, ok, known bool) {
	if l.gap {
		return Lease{}, false, false
	}
	e := l.table[name]
	if e == nil {
		return Lease{}, false, !at.Before(l.unsure)
	}
	if !at.Before(e.lease.Expires) {
		return Lease{}, false, true
	}
	return e.lease, !e.unsure, !e.unsure
}

// Clock is the latest time of a record.
func (l *Leases) Clock() time.Time { return l.clock }

// Apply folds one record.
func (l *Leases) Apply(r ports.Record) LeaseDecision {
	if r.Offset < l.Next() {
		return LeaseDecision{Offset: r.Offset, Time: r.Time, Outcome: Noted, Reason: ReasonSeen}
	}
	l.Gap(r.Offset)
	l.through = r.Offset
	if r.Time.After(l.clock) {
		l.clock = r.Time
	}
	if l.gap {
		// Everything lost is older than this record, and holds nothing for
		// longer than the longest lease.
		l.gap = false
		l.unsure = l.clock.Add(MaxLeaseTTL)
	}
	d := l.decide(r)
	d.Offset, d.Time = r.Offset, r.Time
	return d
}

func (l *Leases) decide(r ports.Record) LeaseDecision {
	_, body, err := Decode(r.Data)
	if err != nil {
		return LeaseDecision{Outcome: Refused, Reason: reasonOf(err)}
	}
	b, ok := body.(*LeaseRecord)
	if !ok {
		return LeaseDecision{Outcome: Refused, Reason: ReasonMalformed}
	}
	d := LeaseDecision{Record: *b}
	if !b.valid() {
		d.Outcome, d.Reason = Refused, ReasonLimit
		return d
	}
	e := l.entry(b.Name)
	switch {
	case e == nil:
		d.Outcome, d.Reason = Refused, ReasonLimit
	case e.unsure && l.clock.Before(e.lease.Expires):
		e.doubt(b, l.clock)
		d.Outcome, d.Reason = Undecided, ReasonGap
	case b.Op == LeaseAcquire:
		d.Outcome, d.Reason, d.Fence = e.acquire(b, r.Offset, l.clock)
	default:
		d.Outcome, d.Reason, d.Fence = e.prolong(b, l.clock)
	}
	return d
}

func (b *LeaseRecord) valid() bool {
	if b.Name == "" || b.Holder == "" || len(b.Name) > maxLeaseBytes || len(b.Holder) > maxLeaseBytes {
		return false
	}
	ttl := time.Duration(b.TTL)
	switch b.Op {
	case LeaseAcquire, LeaseRenew:
		return ttl >= MinLeaseTTL && ttl <= MaxLeaseTTL
	case LeaseRelease:
		return true
	default:
		return false
	}
}

// entry returns the entry of a name, nil when the table is full.
func (l *Leases) entry(name string) *leaseEntry {
	if e := l.table[name]; e != nil {
		return e
	}
	if len(l.table) >= MaxLeases {
		l.sweep()
	}
	if len(l.table) >= MaxLeases {
		return nil
	}
	e := &leaseEntry{lease: Lease{Name: name}}
	if l.clock.Before(l.unsure) {
		e.unsure = true
		e.lease.Expires = l.unsure
	}
	l.table[name] = e
	return e
}

func (l *Leases) sweep() {
	for name, e := range l.table {
		if !l.clock.Before(e.lease.Expires) {
			delete(l.table, name)
		}
	}
}

// doubt keeps in mind that an undecided record may have been accepted.
func (e *leaseEntry) doubt(b *LeaseRecord, now time.Time) {
	until := now.Add(time.Duration(b.TTL))
	if b.Op != LeaseRelease && until.After(e.lease.Expires) {
		e.lease.Expires = until
	}
}

func (e *leaseEntry) acquire(b *LeaseRecord, offset ports.Offset, now time.Time) (Outcome, Reason, ports.Offset) {
	if now.Before(e.lease.Expires) {
		if e.lease.Holder == b.Holder {
			return Repeated, "", e.lease.Fence
		}
		return Refused, ReasonHeld, e.lease.Fence
	}
	e.unsure = false
	e.lease.Holder, e.lease.Fence = b.Holder, offset
	e.lease.Expires = now.Add(time.Duration(b.TTL))
	return Accepted, "", offset
}

func (e *leaseEntry) prolong(b *LeaseRecord, now time.Time) (Outcome, Reason, ports.Offset) {
	if !now.Before(e.lease.Expires) {
		return Refused, ReasonLapsed, 0
	}
	if e.lease.Fence != b.Fence || e.lease.Holder != b.Holder {
		return Refused, ReasonLapsed, e.lease.Fence
	}
	if b.Op == LeaseRelease {
		e.lease.Expires = now
		return Accepted, "", b.Fence
	}
	e.lease.Expires = now.Add(time.Duration(b.TTL))
	return Accepted, "", b.Fence
}
