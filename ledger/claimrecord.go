package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// Limits of claims. They are part of the rules.
const (
	MaxClaimOps    = 1024            // in one record
	MaxResultBytes = 64 << 10        // of a kept answer's body
	MaxPartitions  = 256             // of the claim streams
	MaxKeySkew     = 5 * time.Minute // how far a key's time may be ahead of the log's
	maxAbandoned   = 8               // attempts given up for one key
	bucketWidth    = time.Minute     // in which expired claims are dropped
	idBytes        = 16              // of an ID
	maxHeaderBytes = 4 << 10         // of a kept answer's content type
	claimsPrefix   = "claims-"       // of the streams' names
)

// ID is a 128-bit identifier, written in hex.
type ID [idBytes]byte

// MarshalText writes hex.
func (id ID) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, id[:]), nil }

// UnmarshalText reads hex of the exact length.
func (id *ID) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(idBytes) {
		return fmt.Errorf("ledger: id has %d characters", len(text))
	}
	_, err := hex.Decode(id[:], text)
	return err
}

// HashID hashes the parts of an identifier, each with its length, so that no
// two lists of parts meet.
func HashID(parts ...string) ID {
	h := sha256.New()
	for _, p := range parts {
		h.Write(strconv.AppendInt(nil, int64(len(p)), 10))
		h.Write([]byte{':'})
		h.Write([]byte(p))
	}
	return ID(h.Sum(nil)[:idBytes])
}

// Layout is how claims are laid out in the log. All daemons must have the same
// partitions: one that looked for a key in another stream than its neighbours
// would run it a second time. Windows may differ for a while.
type Layout struct {
	Partitions int               `json:"partitions"`
	Window     manifest.Duration `json:"window"` // how old a key may be
}

// Valid tells whether the layout is within the limits.
func (l Layout) Valid() bool {
	w := time.Duration(l.Window)
	return l.Partitions >= 1 && l.Partitions <= MaxPartitions && w >= manifest.MinClaimWindow && w <= manifest.MaxClaimWindow
}

// Partition returns the partition of a key.
func (l Layout) Partition(scope ID) int {
	return (int(scope[0])<<8 | int(scope[1])) % l.Partitions
}

// ClaimStream is the stream of a partition.
func ClaimStream(partition int) ports.Stream {
	return ports.Stream(claimsPrefix + strconv.Itoa(partition))
}

// ClaimVerb is what a claim operation does.
type ClaimVerb string

// The verbs.
const (
	VerbClaim    ClaimVerb = "claim"
	VerbComplete ClaimVerb = "complete" // ran, with its result
	VerbAbandon  ClaimVerb = "abandon"  // certainly not sent, and never will be
)

// ClaimOp is one operation on one key.
type ClaimOp struct {
	Verb    ClaimVerb `json:"op"`
	Scope   ID        `json:"scope"`             // of organisation, service and key
	Attempt ID        `json:"attempt"`           // unique to one try to claim
	KeyTime int64     `json:"time"`              // of the key, in milliseconds since 1970
	Request *ID       `json:"request,omitempty"` // claim: digest of what the key stands for
	Result  *Result   `json:"result,omitempty"`  // complete
}

// Result is the answer that a repeat gets again.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Dropped     bool   `json:"dropped,omitempty"` // the body was longer than is kept
}

// ClaimBatch is one record with the operations of many requests. One without
// operations marks that its writer uses this layout.
type ClaimBatch struct {
	Writer string    `json:"writer"`
	Layout Layout    `json:"layout"`
	Ops    []ClaimOp `json:"ops,omitempty"`
}

func (*ClaimBatch) kind() Kind { return KindClaims }

func (b *ClaimBatch) valid() bool {
	if len(b.Ops) > MaxClaimOps || len(b.Writer) > maxLeaseBytes || !b.Layout.Valid() {
		return false
	}
	for i := range b.Ops {
		if !b.Ops[i].valid() {
			return false
		}
	}
	return true
}

func (o *ClaimOp) valid() bool {
	switch o.Verb {
	case VerbClaim:
		return o.Request != nil && o.Result == nil
	case VerbComplete:
		return o.Request == nil && o.Result != nil && o.Result.Valid()
	case VerbAbandon:
		return o.Request == nil && o.Result == nil
	default:
		return false
	}
}

// Valid tells whether the result is within the limits of a record.
func (r *Result) Valid() bool {
	return r.Status >= 100 && r.Status <= 999 && len(r.Body) <= MaxResultBytes && len(r.ContentType) <= maxHeaderBytes
}
