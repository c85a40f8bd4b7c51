package neighbour

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/ports"
)

// Revision names an accepted manifest.
type Revision struct {
	Offset ports.Offset // of its record in the log; 0: nothing accepted
	Digest [32]byte     // SHA-256 of the manifest's bytes
}

// Digest is what one daemon tells its neighbours.
type Digest struct {
	Daemon      string
	Incarnation uint64 // start of the process, Unix nanoseconds
	Sequence    uint64 // grows with each digest of one life
	Accepted    Revision
	Endpoints   []fleet.Evidence
	Usage       []byte // organisations' use, see package contract
}

// Bounds of a digest. A digest beyond them is refused whole.
const (
	MaxDaemonID      = 128     // bytes
	MaxEndpointID    = 128     // bytes
	MaxEndpoints     = 64      // pieces of evidence
	MaxUsage         = 8 << 10 // bytes
	MaxEvidenceAge   = time.Minute
	MaxManifestBytes = 16 << 20
	MaxProofBytes    = 64 << 10
)

// Verdict is what a digest means for the receiver.
type Verdict struct {
	// Reason is empty when the digest counts. Otherwise nothing in it does.
	Reason DropReason
	// Fetch says that the sender has accepted a later revision.
	Fetch bool
	// SenderBehind says that the sender's revision is earlier than the own: tell it.
	SenderBehind bool
	// Conflict says that the sender calls another manifest by the same offset.
	// One of the two was not read from the log; neither is taken over.
	Conflict bool
}

// DropReason tells why a digest does not count.
type DropReason string

// The reasons.
const (
	DropOwn            DropReason = "own"        // from this daemon, or a namesake
	DropInvalid        DropReason = "invalid"    // outside the bounds
	DropOldIncarnation DropReason = "old life"   // from before the sender's restart
	DropRepeated       DropReason = "repeated"   // late or delivered twice
	DropTableFull      DropReason = "table full" // more senders than a daemon has neighbours
)

// Bounds of the table of senders.
const (
	maxSenders = 256
	// incarnationTimeout is how long the newest life of a sender must be silent before
	// one with an earlier start counts: a VM that replaced it may have a clock
	// that runs behind.
	incarnationTimeout = 30 * time.Second
	// senderTimeout is how long a silent sender stays in the table.
	senderTimeout = 5 * time.Minute
	// fetchRetryDelay is how long a revision that could not be had, or was found to
	// be forged, is not fetched from the same sender again.
	fetchRetryDelay = 2 * time.Second
)

// Sender is what is known of one daemon from its digests.
type Sender struct {
	Daemon       string
	Incarnation  uint64 `json:"Life"`
	Sequence     uint64
	Accepted     Revision
	LastReceived time.Time `json:"Heard"`

	failedRevision Revision
	failedUntil    time.Time
}

// Table judges digests. It is not safe for concurrent use.
type Table struct {
	self    string
	senders map[string]*Sender
}

// NewTable returns the table of the daemon self.
func NewTable(self string) *Table {
	return &Table{self: self, senders: map[string]*Sender{}}
}

// Receive judges a digest against the accepted revision. It never asks to go
// back: an earlier revision, or another one at the same offset, is not taken.
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

// checkSender checks the digest's shape and order, and makes room for its sender.
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

// valid tells whether the digest keeps the bounds.
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

// expire forgets senders that have long been silent.
func (t *Table) expire(now time.Time) {
	for id, s := range t.senders {
		if now.Sub(s.LastReceived) > senderTimeout {
			delete(t.senders, id)
		}
	}
}

// RecordFetchFailure keeps a revision from being fetched from the same sender at
// once again.
func (t *Table) RecordFetchFailure(now time.Time, daemon string, r Revision) {
	if s, known := t.senders[daemon]; known {
		s.failedRevision, s.failedUntil = r, now.Add(fetchRetryDelay)
	}
}

// Holders returns the senders that have accepted the revision or a later one and
// may be asked for it, the latest heard first and then by id.
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

// LastReceived is when the daemon's newest digest came; zero: never.
func (t *Table) LastReceived(daemon string) time.Time {
	if s, known := t.senders[daemon]; known {
		return s.LastReceived
	}
	return time.Time{}
}

// Senders returns a copy of the table, in no order.
func (t *Table) Senders() []Sender {
	out := make([]Sender, 0, len(t.senders))
	for _, s := range t.senders {
		out = append(out, *s)
	}
	return out
}

// ShouldInitiate tells whether self should open an exchange with the neighbour now. The
// daemon that Initiates does so in each interval. The other one does when it
// has heard nothing for two intervals: the list lags, so that the first may
// not know that it has this neighbour.
func (t *Table) ShouldInitiate(now time.Time, neighbour string, interval time.Duration) bool {
	if Initiates(t.self, neighbour) {
		return true
	}
	return now.Sub(t.LastReceived(neighbour)) > 2*interval
}
