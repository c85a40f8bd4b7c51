package weights

import (
	"encoding/json"
	"time"
)

// Durations of the lease.
const (
	// LeaseDuration is how long a claim entitles its holder to give orders, counted from
	// when the holder sent the claim.
	LeaseDuration = 2500 * time.Millisecond
	// RenewAfter is the age of a claim at which a holder with work left renews it.
	RenewAfter = 1200 * time.Millisecond
	// OrderTimeout bounds the time from the check of the lease to the arrival of the order:
	// it is the timeout of the call.
	OrderTimeout = 800 * time.Millisecond
	// clockSlack allows for clocks that run at slightly different rates.
	clockSlack = 100 * time.Millisecond
)

// Claim is the log record of a new term or a renewal.
type Claim struct {
	Holder       string         `json:"holder"`
	Nonce        uint64         `json:"nonce"` // identifies the holder's own record after a lost answer
	Updates      []EngineUpdate `json:"news,omitempty"`
	VersionTimes []VersionTime  `json:"named,omitempty"`
}

// VersionTime is the time since which a version is the newest of its model. The operator's
// record has no time, so a daemon that has just started would take an old version for a new
// one and continue to use the previous weights for too long.
type VersionTime struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	UnixMs  int64  `json:"unix_ms"` // by the holder's wall clock, which may be off by seconds
	// Guessed states that the version existed when the holder started, so that it does not
	// know the time.
	Guessed bool `json:"guessed,omitempty"`
}

// EngineUpdate is a message of the holder to the other daemons about an engine it gives
// orders to. Without it they would detect a load only from requests that the engine
// rejects, and the end of the load only from the engine's next heartbeat.
type EngineUpdate struct {
	Engine  string `json:"engine"` // fleet.EndpointID
	Model   string `json:"model"`
	Version int64  `json:"version"`
	Loading bool   `json:"loading"` // the engine is about to load the version; otherwise it has loaded it
}

// Encode returns the claim as a log record.
func (c Claim) Encode() []byte {
	b, _ := json.Marshal(c) // strings and numbers always encode
	return b
}

// Lease is one daemon's view of which daemon may give orders. It is not safe for concurrent
// use.
//
// The log orders the claims: a claim is appended only if its sender knows the end of the
// log, so of two simultaneous claims one is refused. A holder counts the lease from when it
// sent the claim, and the other daemons from when they first read it, which is later. No
// daemon takes over before the holder's last order must have arrived and the pause after it
// has passed.
type Lease struct {
	name  string
	pause time.Duration // between the last order of one holder and the first of the next

	next      int64 // offset of the next record
	last      Claim
	claimed   bool          // a claim has been read
	readAt    time.Duration // when the last claim was first read
	grantedAt time.Duration // when this daemon's newest appended claim was sent
	mine      bool
	token     int64
	minToken  int64         // offsets up to here were given out before
	notBefore time.Duration // no claim before this time; zero: no limit
	// resumeUntil is until when the holder of a term that was lost with the log may claim
	// again, whatever it reads; zero: there is none.
	resumeUntil time.Duration

	pending  Claim // sent, possibly without an answer
	sentAt   time.Duration
	inFlight bool
}

// NewLease returns the lease state of the daemon with the given name. Names must differ
// between machines and stay the same across processes of one machine.
func NewLease(me string, pause time.Duration) *Lease { return &Lease{name: me, pause: pause} }

// Name returns the name that the daemon claims under.
func (l *Lease) Name() string { return l.name }

// NextOffset returns the offset to read from and to append at.
func (l *Lease) NextOffset() int64 { return l.next }

// Observe applies records that begin at offset from, and returns the claims in those not
// seen before.
func (l *Lease) Observe(now time.Duration, from int64, records [][]byte) []Claim {
	var claims []Claim
	l.next = max(l.next, from)
	for i, r := range records {
		at := from + int64(i)
		if at < l.next {
			continue
		}
		l.next = at + 1
		var c Claim
		if json.Unmarshal(r, &c) != nil || c.Holder == "" {
			// An unreadable record counts as a claim of an unknown holder, whose lease has
			// to expire.
			c = Claim{}
		}
		l.apply(now, at, c)
		claims = append(claims, c)
	}
	return claims
}

func (l *Lease) apply(now time.Duration, at int64, c Claim) {
	l.last, l.claimed, l.readAt = c, true, now
	if c.Holder == l.name && l.inFlight && c.Nonce == l.pending.Nonce {
		l.grantedAt, l.inFlight = l.sentAt, false
		if !l.mine {
			l.token = max(at, l.minToken) + 1
		}
		l.mine = true
		return
	}
	l.mine = false
}

// SkipTo continues at first, the oldest offset that the log still holds. The writer of the
// missing records may still be giving orders, so the gap counts as a claim of an unknown
// holder that was read now. Neither a claim in flight nor the claims that follow show
// whether that holder's term is over: after a restore of the log they may be older.
//
// The holder itself continues. No other daemon claims before its lease and the pause have
// passed, so there are no missing claims by then.
func (l *Lease) SkipTo(now time.Duration, first int64) {
	if first > l.next {
		l.moveTo(now, first)
	}
}

// Rewind continues at first, in a log that ends before NextOffset: it was restored from a
// copy, and gives out the offsets after that again. It is like SkipTo in all else.
func (l *Lease) Rewind(now time.Duration, first int64) { l.moveTo(now, first) }

func (l *Lease) moveTo(now time.Duration, first int64) {
	l.minToken = max(l.minToken, l.next)
	l.next = first
	l.inFlight = false
	if l.mine {
		l.resumeUntil = l.grantedAt + LeaseDuration + l.pause
	}
	l.notBefore = now + l.takeoverDelay()
	l.apply(now, first-1, Claim{})
}

// takeoverDelay returns how long after a claim was read another daemon may claim.
func (l *Lease) takeoverDelay() time.Duration { return LeaseDuration + l.pause + clockSlack }

// ClaimableAt returns the time from which this daemon may claim; zero: at any time.
func (l *Lease) ClaimableAt(now time.Duration) time.Duration {
	switch {
	case now < l.resumeUntil:
		return 0
	case !l.claimed || l.last.Holder == l.name:
		return l.notBefore
	default:
		return max(l.notBefore, l.readAt+l.takeoverDelay())
	}
}

// Claim returns the record to append at NextOffset, or false while another daemon may still
// give orders. The nonce must be new.
func (l *Lease) Claim(now time.Duration, c Claim) (Claim, bool) {
	if now < l.ClaimableAt(now) {
		return Claim{}, false
	}
	c.Holder = l.name
	l.pending, l.sentAt, l.inFlight = c, now, true
	return l.pending, true
}

// ClaimAppended records that the pending claim was appended at NextOffset.
func (l *Lease) ClaimAppended(now time.Duration) {
	if l.inFlight {
		l.apply(now, l.next, l.pending)
		l.next++
	}
}

// MayOrder reports whether the daemon holds the lease for long enough that an order sent
// now arrives before its end.
func (l *Lease) MayOrder(now time.Duration) bool {
	return l.mine && now+OrderTimeout < l.grantedAt+LeaseDuration
}

// ClaimSettled reports whether no claim is pending, so that the newest one is known to have
// been appended.
func (l *Lease) ClaimSettled() bool { return !l.inFlight }

// RenewDue reports whether a holder with work left should renew the lease.
func (l *Lease) RenewDue(now time.Duration) bool {
	return !l.mine || now-l.grantedAt >= RenewAfter
}

// FencingToken returns the fencing token of the present term. It grows with every term, as
// offsets do.
func (l *Lease) FencingToken() int64 { return l.token }

// Holder returns the name of the newest claim's daemon.
func (l *Lease) Holder() string { return l.last.Holder }
