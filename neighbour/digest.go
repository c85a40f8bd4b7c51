package neighbour

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/ports"
)

// Revision identifies an accepted manifest.
type Revision struct {
	Offset ports.Offset // of its record in the log; 0: no manifest accepted
	Digest [32]byte     // SHA-256 of the manifest's bytes
}

// Digest is the state that a daemon reports to its neighbours.
type Digest struct {
	Daemon      string
	Incarnation uint64 // start of the process, Unix nanoseconds
	Sequence    uint64 // increases with each digest of one incarnation
	Accepted    Revision
	Endpoints   []fleet.Evidence
	Usage       []byte // usage by organisation, see package contract
}

// Limits of a digest and of a fetched manifest. A digest beyond them is dropped.
const (
	MaxDaemonID      = 128     // bytes
	MaxEndpointID    = 128     // bytes
	MaxEndpoints     = 64      // number of evidence entries
	MaxUsage         = 8 << 10 // bytes
	MaxEvidenceAge   = time.Minute
	MaxManifestBytes = 16 << 20
	MaxProofBytes    = 64 << 10
)

// Verdict is the result of evaluating a digest.
type Verdict struct {
	// Reason is empty for a valid digest; otherwise all of the digest is dropped.
	Reason DropReason
	// Fetch is set if the sender has accepted a later revision that should be fetched.
	Fetch bool
	// SenderBehind is set if the sender's revision is earlier than the own one.
	SenderBehind bool
	// Conflict is set if the sender has another manifest at the same offset. One of the
	// two was not read from the log; the receiver keeps its own.
	Conflict bool
}

// DropReason is the reason for which a digest was dropped.
type DropReason string

// Reasons for dropping a digest.
const (
	DropOwn            DropReason = "own"        // from this daemon, or one with the same ID
	DropInvalid        DropReason = "invalid"    // outside the limits
	DropOldIncarnation DropReason = "old life"   // from before the sender's restart
	DropRepeated       DropReason = "repeated"   // delivered late or twice
	DropTableFull      DropReason = "table full" // more than maxSenders senders
)

// Limits and timeouts of the table of senders.
const (
	maxSenders = 256
	// incarnationTimeout is how long the newest incarnation of a sender must be silent
	// before one with an earlier start is accepted: the clock of a VM that replaced it may
	// be behind.
	incarnationTimeout = 30 * time.Second
	// senderTimeout is how long a silent sender is kept in the table.
	senderTimeout = 5 * time.Minute
	// fetchRetryDelay is how long a revision is not fetched again from a sender that could
	// not deliver it, or delivered a manifest that does not match it.
	fetchRetryDelay = 2 * time.Second
)

// Sender is the state of one daemon according to its digests.
type Sender struct {
	Daemon       string
	Incarnation  uint64 `json:"Life"`
	Sequence     uint64
	Accepted     Revision
	LastReceived time.Time `json:"Heard"`

	failedRevision Revision
	failedUntil    time.Time
}

// Table evaluates digests and holds the state of their senders. It is not safe for
// concurrent use.
type Table struct {
	self    string
	senders map[string]*Sender
}

// NewTable returns an empty table for the daemon with the ID self.
func NewTable(self string) *Table {
	return &Table{self: self, senders: map[string]*Sender{}}
}

// Receive evaluates a digest against the accepted revision and stores the sender's
// state. An earlier revision, or another one at the same offset, is never fetched.
func (t *Table) Receive(now time.Time, own Revision, d Digest) Verdict {
	if reason := t.checkSender(now, d); reason != "" {
		return Verdict{Reason: reason}
	}
	s := t.senders[d.Daemon]
	s.Incarnation, s.Sequence, s.Accepted, s.LastReceived = d.Incarnation, d.Sequence, d.Accepted, now
	paused := s.failedRevision == d.Accepted && now.Before(s.failedUntil)
	return Verdict{
		Fetch:        d.Accepted.Offset > own.Offset && !paused,
		SenderBehind: d.Accepted.Offset < own.Offset,
		Conflict:     d.Accepted.Offset == own.Offset && d.Accepted.Digest != own.Digest,
	}
}

// checkSender checks that the digest is valid and not outdated, and adds its sender to
// the table.
func (t *Table) checkSender(now time.Time, d Digest) DropReason {
	if d.Daemon == t.self {
		return DropOwn
	}
	if !d.valid() {
		return DropInvalid
	}
	s, known := t.senders[d.Daemon]
	if !known {
		t.expire(now)
		if len(t.senders) >= maxSenders {
			return DropTableFull
		}
		t.senders[d.Daemon] = &Sender{Daemon: d.Daemon}
		return ""
	}
	switch {
	case d.Incarnation < s.Incarnation && now.Sub(s.LastReceived) < incarnationTimeout:
		return DropOldIncarnation
	case d.Incarnation == s.Incarnation && d.Sequence <= s.Sequence:
		return DropRepeated
	}
	return ""
}

// valid reports whether the digest is within the limits.
func (d Digest) valid() bool {
	if d.Daemon == "" || len(d.Daemon) > MaxDaemonID || d.Incarnation == 0 || d.Accepted.Offset < 0 {
		return false
	}
	if len(d.Endpoints) > MaxEndpoints || len(d.Usage) > MaxUsage {
		return false
	}
	for _, e := range d.Endpoints {
		if e.Endpoint == "" || len(e.Endpoint) > MaxEndpointID {
			return false
		}
	}
	return true
}

// expire removes senders that have been silent for senderTimeout.
func (t *Table) expire(now time.Time) {
	for id, s := range t.senders {
		if now.Sub(s.LastReceived) > senderTimeout {
			delete(t.senders, id)
		}
	}
}

// RecordFetchFailure prevents a revision from being fetched from the sender again before
// fetchRetryDelay.
func (t *Table) RecordFetchFailure(now time.Time, daemon string, r Revision) {
	if s, known := t.senders[daemon]; known {
		s.failedRevision, s.failedUntil = r, now.Add(fetchRetryDelay)
	}
}

// Holders returns the IDs of the senders that have accepted the revision or a later one
// and from which a fetch has not just failed. Those whose digest was received last come
// first; ties are sorted by ID.
func (t *Table) Holders(now time.Time, r Revision) []string {
	var holders []*Sender
	for _, s := range t.senders {
		paused := s.failedRevision == s.Accepted && now.Before(s.failedUntil)
		if s.Accepted.Offset >= r.Offset && !paused {
			holders = append(holders, s)
		}
	}
	slices.SortFunc(holders, func(a, b *Sender) int {
		return cmp.Or(b.LastReceived.Compare(a.LastReceived), strings.Compare(a.Daemon, b.Daemon))
	})
	ids := make([]string, 0, len(holders))
	for _, s := range holders {
		ids = append(ids, s.Daemon)
	}
	return ids
}

// LastReceived returns when the last digest of the daemon was received; zero if none was.
func (t *Table) LastReceived(daemon string) time.Time {
	if s, known := t.senders[daemon]; known {
		return s.LastReceived
	}
	return time.Time{}
}

// Senders returns a copy of the table, in no particular order.
func (t *Table) Senders() []Sender {
	out := make([]Sender, 0, len(t.senders))
	for _, s := range t.senders {
		out = append(out, *s)
	}
	return out
}

// ShouldInitiate reports whether self should open an exchange with the neighbour now. The
// side selected by Initiates does so in each interval. The other one does so after two
// intervals without a digest: the list lags, so the first may not know of this neighbour.
func (t *Table) ShouldInitiate(now time.Time, neighbour string, interval time.Duration) bool {
	if Initiates(t.self, neighbour) {
		return true
	}
	return now.Sub(t.LastReceived(neighbour)) > 2*interval
}
