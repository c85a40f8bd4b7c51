package ledger

import (
	"time"

	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// Limits of leases. All daemons must apply the same ones; changing them needs a
// new RulesVersion.
const (
	MinLeaseTTL  = time.Second
	MaxLeaseTTL  = 5 * time.Minute
	MaxLeases    = 1024 // names in the table at a time
	maxNameBytes = 128  // length of a lease name, a holder or a writer
)

// LeaseOp is the type of operation in a lease record.
type LeaseOp string

// Operations on a lease.
const (
	LeaseAcquire LeaseOp = "acquire"
	LeaseRenew   LeaseOp = "renew"
	LeaseRelease LeaseOp = "release"
)

// Reasons specific to leases, and ReasonLimit, which claims use as well.
const (
	ReasonHeld   Reason = "held"   // another holder has the lease; the decision has its fence
	ReasonLapsed Reason = "lapsed" // the lease expired or belongs to another holder
	ReasonLimit  Reason = "limit"  // a field is out of range, or the table is full
)

// LeaseRecord is a request to acquire, renew or release a lease.
type LeaseRecord struct {
	Op     LeaseOp           `json:"op"`
	Name   string            `json:"name"`
	Holder string            `json:"holder"` // unique to one process incarnation
	TTL    manifest.Duration `json:"ttl,omitempty"`
	Fence  ports.Offset      `json:"fence,omitempty"` // renew and release only: fence of the lease held
	Serial int               `json:"serial"`          // lets the holder recognise its own record
}

func (*LeaseRecord) kind() Kind { return KindLease }

// Lease is a lease with its current holder.
type Lease struct {
	Name    string       `json:"name"`
	Holder  string       `json:"holder"`
	Fence   ports.Offset `json:"fence"`   // fencing token: offset of the record that acquired it
	Expires time.Time    `json:"expires"` // time on the log's clock
}

// LeaseDecision is the outcome of a lease record. If the record was accepted,
// Fence is the fencing token of its lease; if it was refused, Fence is that of
// the current holder, or 0 if there is none.
type LeaseDecision struct {
	Offset  ports.Offset `json:"offset"`
	Time    time.Time    `json:"time"`
	Outcome Outcome      `json:"outcome"`
	Reason  Reason       `json:"reason,omitempty"`
	Fence   ports.Offset `json:"fence,omitempty"`
	Record  LeaseRecord  `json:"record"`
}

// Leases is the state of all leases, built by applying the records of the lease
// stream in order. A lease ends with the first record whose log time is past the
// lease's expiry, so that all readers agree on the holder regardless of their
// own clocks.
//
// After a gap the holder of a name is uncertain until no lease from a missing or
// undecided record can still be valid; after that, every reader accepts an
// acquisition.
type Leases struct {
	clock          time.Time // latest record time
	through        ports.Offset
	afterGap       bool      // the next record is the first one after a gap
	uncertainUntil time.Time // names without an entry may be held until this time
	entries        map[string]*leaseEntry
}

type leaseEntry struct {
	lease Lease
	// uncertain is set if the holder is not known because of a gap.
	// lease.Expires is then the latest time until which the name may be held.
	uncertain bool
}

// NewLeases returns the state before the first record.
func NewLeases() *Leases { return &Leases{entries: make(map[string]*leaseEntry)} }

// Next returns the offset of the next record to apply.
func (l *Leases) Next() ports.Offset { return l.through + 1 }

// Gap reports that the records before first expired before they were read.
func (l *Leases) Gap(first ports.Offset) {
	if first <= l.Next() {
		return
	}
	l.through = first - 1
	l.afterGap = true
	clear(l.entries)
}

// Holder returns the lease of a name at the given time on the log's clock. Ok is
// false if nobody holds it, and known is false while a missing record may have
// acquired it.
func (l *Leases) Holder(name string, at time.Time) (held Lease, ok, known bool) {
	if l.afterGap {
		return Lease{}, false, false
	}
	e := l.entries[name]
	if e == nil {
		return Lease{}, false, !at.Before(l.uncertainUntil)
	}
	if !at.Before(e.lease.Expires) {
		return Lease{}, false, true
	}
	return e.lease, !e.uncertain, !e.uncertain
}

// Clock returns the latest record time applied, by the log's clock.
func (l *Leases) Clock() time.Time { return l.clock }

// Apply applies one record and returns the decision on it.
func (l *Leases) Apply(r ports.Record) LeaseDecision {
	if r.Offset < l.Next() {
		return LeaseDecision{Offset: r.Offset, Time: r.Time, Outcome: Noted, Reason: ReasonSeen}
	}
	l.Gap(r.Offset)
	l.through = r.Offset
	if r.Time.After(l.clock) {
		l.clock = r.Time
	}
	if l.afterGap {
		// Missing records are older than this one, and a lease that they
		// acquired lasts at most MaxLeaseTTL.
		l.afterGap = false
		l.uncertainUntil = l.clock.Add(MaxLeaseTTL)
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
	case e.uncertain && l.clock.Before(e.lease.Expires):
		e.extendUncertainty(b, l.clock)
		d.Outcome, d.Reason = Undecided, ReasonGap
	case b.Op == LeaseAcquire:
		d.Outcome, d.Reason, d.Fence = e.acquire(b, r.Offset, l.clock)
	default:
		d.Outcome, d.Reason, d.Fence = e.renewOrRelease(b, l.clock)
	}
	return d
}

func (r *LeaseRecord) valid() bool {
	if r.Name == "" || r.Holder == "" || len(r.Name) > maxNameBytes || len(r.Holder) > maxNameBytes {
		return false
	}
	ttl := time.Duration(r.TTL)
	switch r.Op {
	case LeaseAcquire, LeaseRenew:
		return ttl >= MinLeaseTTL && ttl <= MaxLeaseTTL
	case LeaseRelease:
		return true
	default:
		return false
	}
}

// entry returns the entry of a name, adding it if needed. It returns nil if the
// table is full.
func (l *Leases) entry(name string) *leaseEntry {
	if e := l.entries[name]; e != nil {
		return e
	}
	if len(l.entries) >= MaxLeases {
		l.sweep()
	}
	if len(l.entries) >= MaxLeases {
		return nil
	}
	e := &leaseEntry{lease: Lease{Name: name}}
	if l.clock.Before(l.uncertainUntil) {
		e.uncertain = true
		e.lease.Expires = l.uncertainUntil
	}
	l.entries[name] = e
	return e
}

func (l *Leases) sweep() {
	for name, e := range l.entries {
		if !l.clock.Before(e.lease.Expires) {
			delete(l.entries, name)
		}
	}
}

// extendUncertainty extends the uncertain period by the lease of an undecided
// record, which other readers may have accepted.
func (e *leaseEntry) extendUncertainty(r *LeaseRecord, now time.Time) {
	until := now.Add(time.Duration(r.TTL))
	if r.Op != LeaseRelease && until.After(e.lease.Expires) {
		e.lease.Expires = until
	}
}

func (e *leaseEntry) acquire(r *LeaseRecord, offset ports.Offset, now time.Time) (Outcome, Reason, ports.Offset) {
	if now.Before(e.lease.Expires) {
		if e.lease.Holder == r.Holder {
			return Repeated, "", e.lease.Fence
		}
		return Refused, ReasonHeld, e.lease.Fence
	}
	e.uncertain = false
	e.lease.Holder, e.lease.Fence = r.Holder, offset
	e.lease.Expires = now.Add(time.Duration(r.TTL))
	return Accepted, "", offset
}

func (e *leaseEntry) renewOrRelease(r *LeaseRecord, now time.Time) (Outcome, Reason, ports.Offset) {
	if !now.Before(e.lease.Expires) {
		return Refused, ReasonLapsed, 0
	}
	if e.lease.Fence != r.Fence || e.lease.Holder != r.Holder {
		return Refused, ReasonLapsed, e.lease.Fence
	}
	if r.Op == LeaseRelease {
		e.lease.Expires = now
		return Accepted, "", r.Fence
	}
	e.lease.Expires = now.Add(time.Duration(r.TTL))
	return Accepted, "", r.Fence
}
