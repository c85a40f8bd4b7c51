package ledger

import (
	"time"

	"github.com/merlindock/merlindock/ports"
)

// ClaimState is the state of an idempotency key.
type ClaimState uint8

// States of a key.
const (
	ClaimFree      ClaimState = iota // never claimed, or every claim was abandoned
	ClaimHeld                        // claimed without a result: running, or the outcome is unknown
	ClaimDone                        // completed; the result is in the log
	ClaimUncertain                   // claimed by a record after a gap; an earlier claim may exist
)

// Reasons specific to claims.
const (
	ReasonClaimed   Reason = "claimed"   // another attempt holds the key
	ReasonDone      Reason = "done"      // the call ran before and has a result
	ReasonDiffers   Reason = "differs"   // the key was claimed for a different request
	ReasonExpired   Reason = "expired"   // the key is older than the claim window
	ReasonEarly     Reason = "early"     // the key's time is more than MaxKeySkew ahead of the log's
	ReasonAbandoned Reason = "abandoned" // the attempt was abandoned earlier
	ReasonLayout    Reason = "layout"    // daemons use different numbers of partitions
)

// OpRef is the position of an operation in a claim stream.
type OpRef struct {
	Offset ports.Offset
	Index  int
}

// ClaimView is the state of one key as recorded in the log.
type ClaimView struct {
	State   ClaimState
	Attempt ID
	Request ID    // digest of the request that claimed the key
	Result  OpRef // position of the result, if State is ClaimDone
}

// ClaimDecision is the outcome of one operation. A claim is granted only if the
// outcome is Accepted, or Repeated after its own record was appended twice.
type ClaimDecision struct {
	Ref     OpRef
	Op      ClaimVerb
	Scope   ID
	Attempt ID
	Outcome Outcome
	Reason  Reason
}

// Claims is the state of one partition, built by applying the records of its
// claim stream in order.
//
// The first claim for a key in log order holds it permanently. Only the same
// attempt can release it, by an abandon operation that states that nothing was
// sent. The age of a key is the difference between the time in the key and the
// log's time of the record, so that a key is dropped only when every later claim
// for it is refused as expired.
//
// After a gap, a claim is decided only if no missing record can have claimed its
// key: a claim cannot be older than its key, less MaxKeySkew.
type Claims struct {
	layout              Layout
	clock               time.Time // latest record time
	through             ports.Offset
	afterGap            bool      // the next record is the first one after a gap
	lostUntil           time.Time // missing records are not newer than this; zero: none missing
	layoutConflictUntil time.Time // claims under another layout may be live until this time
	entries             map[ID]*claimEntry
	buckets             map[int64][]ID // scopes by key time, in units of sweepBucketWidth
	sweptBucket         int64          // buckets before this one were dropped
}

type claimEntry struct {
	ClaimView
	keyTime   int64
	abandoned []ID
}

// NewClaims returns the state before the first record.
func NewClaims(layout Layout) *Claims {
	return &Claims{layout: layout, entries: make(map[ID]*claimEntry), buckets: make(map[int64][]ID)}
}

// Next returns the offset of the next record to apply.
func (c *Claims) Next() ports.Offset { return c.through + 1 }

// Len returns the number of keys held in memory.
func (c *Claims) Len() int { return len(c.entries) }

// Clock returns the latest record time applied, by the log's clock.
func (c *Claims) Clock() time.Time { return c.clock }

// Gap reports that the records before first expired before they were read.
func (c *Claims) Gap(first ports.Offset) {
	if first <= c.Next() {
		return
	}
	c.through, c.afterGap = first-1, true
}

// CanDecide reports whether a claim for a key with the given time can be decided.
// It is false if a missing record may have claimed the key.
func (c *Claims) CanDecide(keyTime time.Time) bool {
	if c.afterGap {
		return false
	}
	return c.lostUntil.IsZero() || keyTime.Add(-MaxKeySkew).After(c.lostUntil)
}

// LayoutConflict reports whether another daemon used a different number of
// partitions so recently that keys claimed there may still be valid.
func (c *Claims) LayoutConflict() bool { return c.clock.Before(c.layoutConflictUntil) }

// Lookup returns the state of a key; ClaimFree if there is no record of it.
func (c *Claims) Lookup(scope ID) ClaimView {
	if e := c.entries[scope]; e != nil {
		return e.ClaimView
	}
	return ClaimView{}
}

// Apply applies one record and returns the decisions on its operations, in
// order. It returns nil for a record that is not a valid batch of claims or was
// applied before.
func (c *Claims) Apply(r ports.Record) []ClaimDecision {
	if r.Offset < c.Next() {
		return nil
	}
	c.Gap(r.Offset)
	c.through = r.Offset
	if r.Time.After(c.clock) {
		c.clock = r.Time
	}
	if c.afterGap {
		// Missing records precede this one, so they are not newer.
		c.afterGap, c.lostUntil = false, c.clock
	}
	c.sweep()
	_, body, err := Decode(r.Data)
	batch, ok := body.(*ClaimBatch)
	if err != nil || !ok || !batch.valid() {
		return nil
	}
	c.checkLayout(batch.Layout)
	decisions := make([]ClaimDecision, len(batch.Ops))
	for i := range batch.Ops {
		decisions[i] = c.decide(&batch.Ops[i], OpRef{Offset: r.Offset, Index: i})
	}
	return decisions
}

// checkLayout stops all grants if another daemon uses a different number of
// partitions: it looks for the same key in a different stream, and both daemons
// could find the key free. Until every key that the other daemon may have
// claimed has expired here, callers receive "not run" and operators see the
// reason.
//
// Different windows are safe: if one reader refuses a claim as expired, every
// later claim for the same key is even older.
func (c *Claims) checkLayout(other Layout) {
	if other.Partitions != c.layout.Partitions {
		c.layoutConflictUntil = c.clock.Add(time.Duration(c.layout.Window) + MaxKeySkew)
	}
}

func (c *Claims) decide(o *ClaimOp, at OpRef) ClaimDecision {
	d := ClaimDecision{Ref: at, Op: o.Verb, Scope: o.Scope, Attempt: o.Attempt}
	keyTime := time.UnixMilli(o.KeyTime)
	switch {
	case keyTime.Before(c.clock.Add(-time.Duration(c.layout.Window))):
		d.Outcome, d.Reason = Refused, ReasonExpired
	case keyTime.After(c.clock.Add(MaxKeySkew)):
		d.Outcome, d.Reason = Refused, ReasonEarly
	case o.Verb == VerbClaim && c.LayoutConflict():
		// Recorded nevertheless: a reader with a shorter window may grant it.
		c.recordUndecided(o, at)
		d.Outcome, d.Reason = Undecided, ReasonLayout
	case !c.CanDecide(keyTime):
		d.Outcome, d.Reason = c.recordUndecided(o, at)
	default:
		d.Outcome, d.Reason = c.applyOp(o, at)
	}
	return d
}

func (c *Claims) applyOp(o *ClaimOp, at OpRef) (Outcome, Reason) {
	e := c.entry(o)
	switch o.Verb {
	case VerbClaim:
		return e.claim(o)
	case VerbComplete:
		return e.complete(o, at)
	default:
		return e.abandon(o)
	}
}

// recordUndecided records an operation that cannot be decided because of a gap
// or a layout conflict. A claim is not granted, but a result is recorded as the
// key's result, since only a granted attempt writes one.
func (c *Claims) recordUndecided(o *ClaimOp, at OpRef) (Outcome, Reason) {
	e := c.entry(o)
	switch {
	case o.Verb == VerbComplete && e.State != ClaimDone:
		e.State, e.Attempt, e.Result = ClaimDone, o.Attempt, at
	case o.Verb == VerbClaim && e.State == ClaimFree:
		e.State, e.Attempt, e.Request = ClaimUncertain, o.Attempt, *o.Request
	}
	return Undecided, ReasonGap
}

func (c *Claims) entry(o *ClaimOp) *claimEntry {
	e := c.entries[o.Scope]
	if e == nil {
		e = &claimEntry{keyTime: o.KeyTime}
		c.entries[o.Scope] = e
		b := bucket(o.KeyTime)
		c.buckets[b] = append(c.buckets[b], o.Scope)
	}
	return e
}

func bucket(keyTime int64) int64 { return keyTime / sweepBucketWidth.Milliseconds() }

// sweep drops keys for which every further claim would be refused as expired.
func (c *Claims) sweep() {
	oldest := bucket(c.clock.Add(-time.Duration(c.layout.Window)).UnixMilli())
	if oldest <= c.sweptBucket {
		return
	}
	c.sweptBucket = oldest
	for b, scopes := range c.buckets {
		if b >= oldest {
			continue
		}
		for _, scope := range scopes {
			delete(c.entries, scope)
		}
		delete(c.buckets, b)
	}
}

func (e *claimEntry) claim(o *ClaimOp) (Outcome, Reason) {
	switch {
	case e.State == ClaimDone:
		return Refused, e.refusalReason(o, ReasonDone)
	case e.State != ClaimFree && e.Attempt == o.Attempt:
		return Repeated, ""
	case e.State != ClaimFree:
		return Refused, e.refusalReason(o, ReasonClaimed)
	case e.hasAbandoned(o.Attempt):
		return Refused, ReasonAbandoned
	case len(e.abandoned) >= maxAbandonedAttempts:
		return Refused, ReasonLimit
	}
	e.State, e.Attempt, e.Request = ClaimHeld, o.Attempt, *o.Request
	return Accepted, ""
}

func (e *claimEntry) refusalReason(o *ClaimOp, reason Reason) Reason {
	if e.Request != *o.Request {
		return ReasonDiffers
	}
	return reason
}

func (e *claimEntry) complete(o *ClaimOp, at OpRef) (Outcome, Reason) {
	if e.Attempt != o.Attempt || e.State == ClaimFree {
		return Refused, ReasonClaimed
	}
	if e.State == ClaimDone {
		return Repeated, ""
	}
	e.State, e.Result = ClaimDone, at
	return Accepted, ""
}

// abandon releases the key for other attempts. The attempt is recorded even if
// its claim has not been seen: an append that appeared to fail may arrive after
// the abandon operation, and would otherwise hold the key for an attempt whose
// caller was already answered "not run".
func (e *claimEntry) abandon(o *ClaimOp) (Outcome, Reason) {
	if e.State == ClaimDone {
		return Refused, ReasonDone
	}
	if e.hasAbandoned(o.Attempt) {
		return Repeated, ""
	}
	if len(e.abandoned) < maxAbandonedAttempts {
		e.abandoned = append(e.abandoned, o.Attempt)
	}
	if e.State != ClaimFree && e.Attempt == o.Attempt {
		e.ClaimView = ClaimView{}
	}
	return Accepted, ""
}

func (e *claimEntry) hasAbandoned(attempt ID) bool {
	for _, a := range e.abandoned {
		if a == attempt {
			return true
		}
	}
	return false
}
