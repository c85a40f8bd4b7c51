package ledger

import (
	"time"

	"github.com/merlindock/merlindock/ports"
)

// ClaimState is what is known of a key.
type ClaimState uint8

// The states of a key.
const (
	ClaimFree      ClaimState = iota // never claimed, or every claim given up before sending
	ClaimHeld                        // claimed, no result: running, or the outcome is unknown
	ClaimDone                        // ran, the result is in the log
	ClaimUncertain                   // claimed behind a gap
)

// Reasons that only claims give.
const (
	ReasonClaimed   Reason = "claimed"   // another attempt holds the key
	ReasonDone      Reason = "done"      // ran before; there is a result
	ReasonDiffers   Reason = "differs"   // the key stands for another request
	ReasonExpired   Reason = "expired"   // the key is older than the window
	ReasonEarly     Reason = "early"     // the key's time is ahead of the log's
	ReasonAbandoned Reason = "abandoned" // the attempt was given up
	ReasonLayout    Reason = "layout"    // daemons with different settings
)

// OpRef is the place of an operation in a claim stream.
type OpRef struct {
	Offset ports.Offset
	Index  int
}

// ClaimView is what the fold knows of one key.
type ClaimView struct {
	State   ClaimState
	Attempt ID
	Request ID    // of the claim that holds or held the key
	Result  OpRef // when done
}

// ClaimDecision is the outcome of one operation. A claim is granted only by
// Accepted, or Repeated when its own record was appended twice.
type ClaimDecision struct {
	Ref     OpRef
	Op      ClaimVerb
	Scope   ID
	Attempt ID
	Outcome Outcome
	Reason  Reason
}

// Claims is the fold of one partition's claim stream.
//
// For each key the first claim in the log's order holds it, for good: only
// its own attempt can give it up, by saying that nothing was sent. A claim is
// judged by the key's time and the log's time of the record, so that a key is
// forgotten only when every later claim for it is refused as too old.
//
// Behind a gap, a key is judged only if no lost record can have claimed it: a
// claim cannot be older than its key, less the skew that is allowed.
type Claims struct {
	layout   Layout
	clock    time.Time // latest record time
	through  ports.Offset
	gap      bool      // the next record is the first after a gap
	lost     time.Time // lost records are not newer; zero: none lost
	poisoned time.Time // another layout was in use up to here
	table    map[ID]*claimEntry
	buckets  map[int64][]ID // scopes by minute of the key
	swept    int64          // buckets before this are gone
}

type claimEntry struct {
	ClaimView
	keyTime   int64
	abandoned []ID
}

// NewClaims returns a fold that has read nothing.
func NewClaims(layout Layout) *Claims {
	return &Claims{layout: layout, table: make(map[ID]*claimEntry), buckets: make(map[int64][]ID)}
}

// Next is the offset to read next.
func (c *Claims) Next() ports.Offset { return c.through + 1 }

// Len is the number of keys remembered.
func (c *Claims) Len() int { return len(c.table) }

// Clock is the latest time of a record.
func (c *Claims) Clock() time.Time { return c.clock }

// Gap says that the records before first have expired unread.
func (c *Claims) Gap(first ports.Offset) {
	if first <= c.Next() {
		return
	}
	c.through, c.gap = first-1, true
}

// CanDecide tells whether a claim for a key of the given time can be decided.
func (c *Claims) CanDecide(keyTime time.Time) bool {
	if c.gap {
		return false
	}
	return c.lost.IsZero() || keyTime.Add(-MaxKeySkew).After(c.lost)
}

// LayoutConflict tells whether another layout was in use within its window.
func (c *Claims) LayoutConflict() bool { return c.clock.Before(c.poisoned) }

// Lookup returns what is known of a key.
func (c *Claims) Lookup(scope ID) ClaimView {
	if e := c.table[scope]; e != nil {
		return e.ClaimView
	}
	return ClaimView{}
}

// Apply folds one record. The decisions are those of its operations, in
// order; nil for a record that is no batch of claims or was seen before.
func (c *Claims) Apply(r ports.Record) []ClaimDecision {
	if r.Offset < c.Next() {
		return nil
	}
	c.Gap(r.Offset)
	c.through = r.Offset
	if r.Time.After(c.clock) {
		c.clock = r.Time
	}
	if c.gap {
		// Everything lost came before this record, hence is not newer.
		c.gap, c.lost = false, c.clock
	}
	c.sweep()
	_, body, err := Decode(r.Data)
	batch, ok := body.(*ClaimBatch)
	if err != nil || !ok || !batch.valid() {
		return nil
	}
	c.compare(batch.Layout)
	decisions := make([]ClaimDecision, len(batch.Ops))
	for i := range batch.Ops {
		decisions[i] = c.decide(&batch.Ops[i], OpRef{Offset: r.Offset, Index: i})
	}
	return decisions
}

// compare stops all grants when a daemon with another number of partitions
// turns up: it looks for the same key in another stream, and each could find
// the key free in its own. This way callers are told "not run" until every key
// that the other may have claimed is too old here, and operators see why.
//
// Windows may differ. A claim that one fold refuses as too old comes before
// every later claim for that key, which is older still.
func (c *Claims) compare(other Layout) {
	if other.Partitions != c.layout.Partitions {
		c.poisoned = c.clock.Add(time.Duration(c.layout.Window) + MaxKeySkew)
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
		// Kept in mind, since a fold with a shorter window may grant it.
		c.doubt(o, at)
		d.Outcome, d.Reason = Undecided, ReasonLayout
	case !c.CanDecide(keyTime):
		d.Outcome, d.Reason = c.doubt(o, at)
	default:
		d.Outcome, d.Reason = c.settle(o, at)
	}
	return d
}

func (c *Claims) settle(o *ClaimOp, at OpRef) (Outcome, Reason) {
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

// doubt keeps what can be said of a key behind a gap: nothing is granted, but
// a result is one, since only a granted attempt writes it.
func (c *Claims) doubt(o *ClaimOp, at OpRef) (Outcome, Reason) {
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
	e := c.table[o.Scope]
	if e == nil {
		e = &claimEntry{keyTime: o.KeyTime}
		c.table[o.Scope] = e
		b := bucket(o.KeyTime)
		c.buckets[b] = append(c.buckets[b], o.Scope)
	}
	return e
}

func bucket(keyTime int64) int64 { return keyTime / bucketWidth.Milliseconds() }

// sweep drops keys for which every further claim is too old.
func (c *Claims) sweep() {
	oldest := bucket(c.clock.Add(-time.Duration(c.layout.Window)).UnixMilli())
	if oldest <= c.swept {
		return
	}
	c.swept = oldest
	for b, scopes := range c.buckets {
		if b >= oldest {
			continue
		}
		for _, scope := range scopes {
			delete(c.table, scope)
		}
		delete(c.buckets, b)
	}
}

func (e *claimEntry) claim(o *ClaimOp) (Outcome, Reason) {
	switch {
	case e.State == ClaimDone:
		return Refused, e.same(o, ReasonDone)
	case e.State != ClaimFree && e.Attempt == o.Attempt:
		return Repeated, ""
	case e.State != ClaimFree:
		return Refused, e.same(o, ReasonClaimed)
	case e.gaveUp(o.Attempt):
		return Refused, ReasonAbandoned
	case len(e.abandoned) >= maxAbandoned:
		return Refused, ReasonLimit
	}
	e.State, e.Attempt, e.Request = ClaimHeld, o.Attempt, *o.Request
	return Accepted, ""
}

func (e *claimEntry) same(o *ClaimOp, reason Reason) Reason {
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

// abandon frees the key for other attempts. It is remembered also when the
// attempt's claim is not there: an append that seemed lost may arrive after
// its abandonment, and would otherwise hold the key for an attempt that has
// told its caller "not run".
func (e *claimEntry) abandon(o *ClaimOp) (Outcome, Reason) {
	if e.State == ClaimDone {
		return Refused, ReasonDone
	}
	if e.gaveUp(o.Attempt) {
		return Repeated, ""
	}
	if len(e.abandoned) < maxAbandoned {
		e.abandoned = append(e.abandoned, o.Attempt)
	}
	if e.State != ClaimFree && e.Attempt == o.Attempt {
		e.ClaimView = ClaimView{}
	}
	return Accepted, ""
}

func (e *claimEntry) gaveUp(attempt ID) bool {
	for _, a := range e.abandoned {
		if a == attempt {
			return true
		}
	}
	return false
}
