package weights

import (
	"encoding/json"
	"time"
)

// Times of the lease.
const (
	// LeaseDuration is how long a record of the lease lets its holder give orders,
	// counted from when the holder sent it.
	LeaseDuration = 2500 * time.Millisecond
	// RenewAfter is the age at which a holder with work left renews.
	RenewAfter = 1200 * time.Millisecond
	// OrderTimeout bounds the time from the check of the lease to the arrival of
	// the order, which is the timeout of the call.
	OrderTimeout = 800 * time.Millisecond
	// clockSlack covers clocks that run at slightly different rates.
	clockSlack = 100 * time.Millisecond
)

// Claim is the record of one term or renewal in the log.
type Claim struct {
	Holder       string         `json:"holder"`
	Nonce        uint64         `json:"nonce"` // tells the holder its own record after a lost answer
	Updates      []EngineUpdate `json:"news,omitempty"`
	VersionTimes []VersionTime  `json:"named,omitempty"`
}

// VersionTime tells since when a version is the newest. The operator's record has
// no time, and a daemon that has just started would take an old one for new and
// go on using the weights before it for too long.
type VersionTime struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	UnixMs  int64  `json:"unix_ms"` // by the holder's time of day, which may be off by seconds
}

// EngineUpdate is what the holder tells the other daemons of an engine it orders. They
// would otherwise learn of a load from requests that the engine turns away, and
// of its end from the engine's next heartbeat.
type EngineUpdate struct {
	Engine  string `json:"engine"` // fleet.EndpointID
	Model   string `json:"model"`
	Version int64  `json:"version"`
	Loading bool   `json:"loading"` // it is about to take the version; else it has it
}

// Encode returns the record of the claim.
func (c Claim) Encode() []byte {
	b, _ := json.Marshal(c) // strings and numbers always encode
	return b
}

// Lease is one daemon's view of who may give orders. It is not safe for
// concurrent use.
//
// The log orders the claims: a claim is appended only where its sender knows
// the end, so of two daemons that claim at once one is refused. A holder counts
// its time from when it sent the claim, everyone else from when they first saw
// it, which is later. Nobody takes over before the holder's last order must have
// arrived and the pause after it has passed.
type Lease struct {
	me    string
	pause time.Duration // between the last order of one holder and the first of the next

	next    int64 // offset of the next record
	last    Claim
	some    bool
	seen    time.Duration // when the last claim was first read
	granted time.Duration // when this daemon's newest claim was sent
	mine    bool
	token   int64

	pending  Claim // sent, perhaps without an answer
	sentAt   time.Duration
	inFlight bool
}

// NewLease returns the lease of a daemon with the given name, which must differ
// between machines and not between processes of one machine.
func NewLease(me string, pause time.Duration) *Lease { return &Lease{me: me, pause: pause} }

// Name is the name that the daemon claims under.
func (l *Lease) Name() string { return l.me }

// NextOffset is the offset to read from and to append at.
func (l *Lease) NextOffset() int64 { return l.next }

// Observe takes records that begin at the offset, and returns what they tell.
func (l *Lease) Observe(now time.Duration, from int64, records [][]byte) []Claim {
	var claims []Claim
	for i, r := range records {
		at := from + int64(i)
		if at < l.next {
			continue
		}
		l.next = at + 1
		var c Claim
		if json.Unmarshal(r, &c) != nil || c.Holder == "" {
			// A record nobody here wrote still has an unknown holder: wait for it.
			c = Claim{}
		}
		l.take(now, at, c)
		claims = append(claims, c)
	}
	return claims
}

func (l *Lease) take(now time.Duration, at int64, c Claim) {
	l.last, l.some, l.seen = c, true, now
	if c.Holder == l.me && l.inFlight && c.Nonce == l.pending.Nonce {
		l.granted, l.inFlight = l.sentAt, false
		if !l.mine {
			l.token = at + 1
		}
		l.mine = true
		return
	}
	l.mine = false
}

// SkipTo moves on to the oldest offset that the log still holds. Whoever wrote the
// records before it may still give orders for all that is known, so the gap
// counts as a claim of an unknown holder that was seen now.
func (l *Lease) SkipTo(now time.Duration, first int64) {
	if first <= l.next {
		return
	}
	l.next = first
	l.take(now, first-1, Claim{})
}

// ClaimableAt is when this daemon may claim; zero: at any time.
func (l *Lease) ClaimableAt() time.Duration {
	if !l.some || l.last.Holder == l.me {
		return 0
	}
	return l.seen + LeaseDuration + l.pause + clockSlack
}

// Claim completes the record to append at Next, and returns false while another
// daemon may still give orders. The nonce must be new.
func (l *Lease) Claim(now time.Duration, c Claim) (Claim, bool) {
	if now < l.ClaimableAt() {
		return Claim{}, false
	}
	c.Holder = l.me
	l.pending, l.sentAt, l.inFlight = c, now, true
	return l.pending, true
}

// ClaimAppended takes that the pending claim was appended where it was meant to.
func (l *Lease) ClaimAppended(now time.Duration) {
	if l.inFlight {
		l.take(now, l.next, l.pending)
		l.next++
	}
}

// MayOrder tells whether the daemon holds the lease well enough for an order now.
func (l *Lease) MayOrder(now time.Duration) bool {
	return l.mine && now+OrderTimeout < l.granted+LeaseDuration
}

// ClaimSettled tells whether the newest claim is known to have been appended.
func (l *Lease) ClaimSettled() bool { return !l.inFlight }

// RenewDue tells whether a holder with work left should renew.
func (l *Lease) RenewDue(now time.Duration) bool {
	return !l.mine || now-l.granted >= RenewAfter
}

// FencingToken is the fencing token of the present term. It grows with every term.
func (l *Lease) FencingToken() int64 { return l.token }

// Holder names the daemon of the newest claim.
func (l *Lease) Holder() string { return l.last.Holder }
