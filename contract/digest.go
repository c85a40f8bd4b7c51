package contract

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest is a daemon's summary of the organisations with the highest demand at
// it, sent to its neighbours. Each one is complete in itself, so that lost, late
// or duplicate ones do no harm: the newest of a peer replaces the others.
type Digest struct {
	Incarnation uint64 // of the daemon, as Options.Incarnation
	Sequence    uint64 // within the incarnation
	Leaving     bool   // the daemon drains and will stop sending soon
	// Truncated reports that further organisations are active than those listed,
	// each with a demand of at most Floor tokens per second.
	Truncated bool
	Floor     float64
	Entries   []DigestEntry // by ascending Hash
}

// DigestEntry is the demand and use of one organisation at one daemon, in tokens
// per second.
type DigestEntry struct {
	Hash   uint32 // of the organisation's ID
	Demand float64
	Use    float64
}

const (
	digestUnit       = 16 // tokens per second
	digestRateMax    = math.MaxUint32
	digestHeaderMax  = 2*binary.MaxVarintLen64 + 1 + binary.MaxVarintLen32 + 1
	digestEntryMax   = 3 * binary.MaxVarintLen32
	digestLeaving    = 1
	digestTruncated  = 2
	digestKnownFlags = digestLeaving | digestTruncated
	// MaxDigestBytes is the largest encoded digest.
	MaxDigestBytes = digestHeaderMax + MaxDigestOrganisations*digestEntryMax
)

// DigestError reports why a digest can't be encoded or decoded.
type DigestError struct{ Fault string }

// Error implements error.
func (e *DigestError) Error() string { return "contract: digest: " + e.Fault }

func organisationHash(id OrganisationID) uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}

// Digest returns the current digest for the neighbours. Leaving marks a daemon
// that drains.
func (a *Admission) Digest(now time.Time, leaving bool) Digest {
	a.advance(now)
	a.sequence++
	constant := a.opts.MeterConstant.Seconds()
	d := Digest{Incarnation: a.opts.Incarnation, Sequence: a.sequence, Leaving: leaving}
	for _, o := range a.activeList {
		demand := a.demand(o)
		if demand < digestUnit || a.collidingHashes[o.hash] {
			continue
		}
		use := max(o.use.decayedRate(a.clock, constant), 0)
		d.Entries = append(d.Entries, DigestEntry{Hash: o.hash, Demand: demand, Use: use})
	}
	slices.SortFunc(d.Entries, func(x, y DigestEntry) int {
		return cmp.Or(cmp.Compare(y.Demand, x.Demand), cmp.Compare(x.Hash, y.Hash))
	})
	if len(d.Entries) > a.opts.MaxDigestEntries {
		d.Truncated = true
		d.Floor = d.Entries[a.opts.MaxDigestEntries].Demand
		d.Entries = d.Entries[:a.opts.MaxDigestEntries:a.opts.MaxDigestEntries]
	}
	slices.SortFunc(d.Entries, func(x, y DigestEntry) int { return cmp.Compare(x.Hash, y.Hash) })
	return d
}

// AppendBinary appends the encoded digest to the slice: varints, hashes as
// differences, rates in units of 16 tokens per second. The error is a
// *DigestError, for more than MaxDigestOrganisations entries.
func (d *Digest) AppendBinary(to []byte) ([]byte, error) {
	if len(d.Entries) > MaxDigestOrganisations {
		return to, &DigestError{Fault: fmt.Sprintf("%d organisations, at most %d", len(d.Entries), MaxDigestOrganisations)}
	}
	to = binary.AppendUvarint(to, d.Incarnation)
	to = binary.AppendUvarint(to, d.Sequence)
	flags := byte(0)
	if d.Leaving {
		flags |= digestLeaving
	}
	if d.Truncated {
		flags |= digestTruncated
	}
	to = append(to, flags)
	to = binary.AppendUvarint(to, rateUnits(d.Floor))
	to = append(to, byte(len(d.Entries)))
	last := uint32(0)
	for _, e := range d.Entries {
		to = binary.AppendUvarint(to, uint64(e.Hash-last))
		to = binary.AppendUvarint(to, rateUnits(e.Demand))
		to = binary.AppendUvarint(to, rateUnits(e.Use))
		last = e.Hash
	}
	return to, nil
}

func rateUnits(tokensPerSecond float64) uint64 {
	if math.IsNaN(tokensPerSecond) {
		return 0
	}
	return uint64(min(max(math.Round(tokensPerSecond/digestUnit), 0), digestRateMax))
}

// ParseDigest decodes a digest written by AppendBinary. The error is a
// *DigestError.
func ParseDigest(from []byte) (Digest, error) {
	if len(from) > MaxDigestBytes {
		return Digest{}, &DigestError{Fault: fmt.Sprintf("%d bytes, at most %d", len(from), MaxDigestBytes)}
	}
	r := digestReader{rest: from}
	d := Digest{Incarnation: r.uvarint(), Sequence: r.uvarint()}
	flags := r.byte()
	d.Leaving = flags&digestLeaving != 0
	d.Truncated = flags&digestTruncated != 0
	d.Floor = r.rate()
	count := int(r.byte())
	if r.fault == "" && (flags&^digestKnownFlags != 0 || count > MaxDigestOrganisations) {
		r.fault = "unknown flag or too many organisations"
	}
	last := uint64(0)
	for i := 0; i < count && r.fault == ""; i++ {
		step := r.uvarint()
		e := DigestEntry{Demand: r.rate(), Use: r.rate()}
		if (step == 0 && i > 0) || step > math.MaxUint32-last {
			r.fault = "hashes aren't ascending"
			break
		}
		last += step
		e.Hash = uint32(last)
		d.Entries = append(d.Entries, e)
	}
	if r.fault == "" && len(r.rest) > 0 {
		r.fault = "bytes after the end"
	}
	if r.fault != "" {
		return Digest{}, &DigestError{Fault: r.fault}
	}
	return d, nil
}

type digestReader struct {
	rest  []byte
	fault string
}

func (r *digestReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *digestReader) byte() byte {
	if len(r.rest) == 0 {
		r.fail()
		return 0
	}
	b := r.rest[0]
	r.rest = r.rest[1:]
	return b
}

func (r *digestReader) rate() float64 {
	v := r.uvarint()
	if v > digestRateMax {
		r.fail()
		return 0
	}
	return float64(v) * digestUnit
}

func (r *digestReader) fail() {
	r.rest = nil
	if r.fault == "" {
		r.fault = "cut short or out of range"
	}
}
