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

// Limits of claims. All daemons must apply the same ones; changing them needs a
// new RulesVersion.
const (
	MaxClaimOps          = 1024            // operations in one record
	MaxResultBytes       = 64 << 10        // body of a stored result
	MaxPartitions        = 256             // number of claim streams
	MaxKeySkew           = 5 * time.Minute // maximum by which a key's time may be ahead of the log's
	maxAbandonedAttempts = 8               // abandoned attempts of one key; further claims are refused
	sweepBucketWidth     = time.Minute     // expired keys are dropped in buckets of this width
	idBytes              = 16              // length of an ID
	maxContentTypeBytes  = 4 << 10         // content type of a stored result
	claimStreamPrefix    = "claims-"       // prefix of the names of claim streams
)

// ID is a 128-bit identifier, written in hex.
type ID [idBytes]byte

// MarshalText encodes the ID in hex.
func (id ID) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, id[:]), nil }

// UnmarshalText decodes hex of exactly the length of an ID.
func (id *ID) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(idBytes) {
		return fmt.Errorf("ledger: id has %d characters", len(text))
	}
	_, err := hex.Decode(id[:], text)
	return err
}

// HashID returns the hash of the given fields as an ID. Each field is hashed with
// its length, so that different lists of fields never have the same encoding.
func HashID(fields ...string) ID {
	h := sha256.New()
	for _, f := range fields {
		h.Write(strconv.AppendInt(nil, int64(len(f)), 10))
		h.Write([]byte{':'})
		h.Write([]byte(f))
	}
	return ID(h.Sum(nil)[:idBytes])
}

// Layout describes how claims are distributed over streams of the log and how
// long they are kept. All daemons must use the same number of partitions: a
// daemon that looks for a key in a different stream could run its call a second
// time. Windows may differ temporarily.
type Layout struct {
	Partitions int               `json:"partitions"`
	Window     manifest.Duration `json:"window"` // maximum age of a key
}

// Valid reports whether the layout is within the limits.
func (l Layout) Valid() bool {
	w := time.Duration(l.Window)
	return l.Partitions >= 1 && l.Partitions <= MaxPartitions && w >= manifest.MinClaimWindow && w <= manifest.MaxClaimWindow
}

// Partition returns the index of the partition that holds a key.
func (l Layout) Partition(scope ID) int {
	return (int(scope[0])<<8 | int(scope[1])) % l.Partitions
}

// ClaimStream returns the log stream of a partition.
func ClaimStream(partition int) ports.Stream {
	return ports.Stream(claimStreamPrefix + strconv.Itoa(partition))
}

// ClaimVerb is the type of a claim operation.
type ClaimVerb string

// Types of claim operations.
const (
	VerbClaim    ClaimVerb = "claim"
	VerbComplete ClaimVerb = "complete" // the call ran; carries its result
	VerbAbandon  ClaimVerb = "abandon"  // the call was not sent and never will be
)

// ClaimOp is one operation on one key.
type ClaimOp struct {
	Verb    ClaimVerb `json:"op"`
	Scope   ID        `json:"scope"`             // hash of organisation, service and key
	Attempt ID        `json:"attempt"`           // unique to one attempt to claim the key
	KeyTime int64     `json:"time"`              // time in the key, in milliseconds since 1970
	Request *ID       `json:"request,omitempty"` // claim only: digest of the call that the key identifies
	Result  *Result   `json:"result,omitempty"`  // complete only
}

// Result is the stored response of a call; repeats of the call receive it.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Dropped     bool   `json:"dropped,omitempty"` // the body exceeded MaxResultBytes and is not kept
}

// ClaimBatch is a record with claim operations of several requests. A batch
// without operations is a marker: it announces the writer's layout.
type ClaimBatch struct {
	Writer string    `json:"writer"`
	Layout Layout    `json:"layout"`
	Ops    []ClaimOp `json:"ops,omitempty"`
}

func (*ClaimBatch) kind() Kind { return KindClaims }

func (b *ClaimBatch) valid() bool {
	if len(b.Ops) > MaxClaimOps || len(b.Writer) > maxNameBytes || !b.Layout.Valid() {
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

// Valid reports whether the result is within the limits of a record.
func (r *Result) Valid() bool {
	return r.Status >= 100 && r.Status <= 999 && len(r.Body) <= MaxResultBytes && len(r.ContentType) <= maxContentTypeBytes
}
