package quota

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/merlindock/merlindock/internal/wire"
)

// ErrMalformed reports a message that is not in the format of this release.
var ErrMalformed = errors.New("quota: message is malformed")

// Message types. A change of the layout takes a new number.
const (
	kindAsk   = 0x11
	kindReply = 0x13
)

// Limits of messages. The longest one fits into a datagram at common MTUs.
const (
	maxEntries    = 32
	maxUnits      = 1 << 40
	fractionScale = 1 << 24 // fractions are encoded as multiples of 1/fractionScale
	usedScale     = 1000    // use is encoded in thousandths of the limit
	lentScale     = 1000    // lent units are encoded in thousandths, rounded down
	maxPledgeTTL  = 10 * time.Second
	maxReplyDelay = time.Minute
	MaxDatagram   = 1400 // bytes
)

// ask is a daemon's request to the owner of a shard. It also pledges the
// daemon's fraction.
type ask struct {
	Nonce     uint64 // of the sender's process
	Seq       uint64 // increases with each ask of the process
	Shard     int
	Fraction  float64       // the sender's fraction of the limits
	PledgeTTL time.Duration // duration of the pledge; 0: pledged to another owner
	Entries   []askEntry
}

// askEntry is the demand of one organisation, in units of its limit.
type askEntry struct {
	Key      Key
	Need     float64 // of waiting requests
	Expected float64 // of requests expected next
	Rejected float64 // of requests rejected since the last ask
}

// reply is an owner's reply to an ask.
type reply struct {
	Seq          uint64 // of the ask
	Shard        int
	ShuttingDown bool // the owner lends nothing and releases the sender's pledge
	Entries      []replyEntry
}

type replyEntry struct {
	Key        Key
	Lent       float64
	AskAfter   time.Duration // until the next ask; 0: the need is covered
	RetryAfter time.Duration // Retry-After for callers
	Used       float64       // see Verdict
}

func appendUnits(b []byte, v float64) []byte {
	return binary.AppendUvarint(b, uint64(math.Ceil(min(max(v, 0), maxUnits))))
}

func appendMillis(b []byte, d time.Duration) []byte {
	return binary.AppendUvarint(b, uint64((d+time.Millisecond-1)/time.Millisecond))
}

// encode returns the message with at most the first maxEntries entries.
func (a *ask) encode() []byte {
	b := []byte{kindAsk, byte(a.Shard)}
	b = binary.LittleEndian.AppendUint64(b, a.Nonce)
	b = binary.AppendUvarint(b, a.Seq)
	b = binary.AppendUvarint(b, uint64(a.Fraction*fractionScale))
	b = appendMillis(b, a.PledgeTTL)
	for _, e := range a.Entries[:min(len(a.Entries), maxEntries)] {
		b = binary.LittleEndian.AppendUint64(b, uint64(e.Key))
		b = appendUnits(b, e.Need)
		b = appendUnits(b, e.Expected)
		b = appendUnits(b, e.Rejected)
	}
	return b
}

func (r *reply) encode() []byte {
	shuttingDown := byte(0)
	if r.ShuttingDown {
		shuttingDown = 1
	}
	b := []byte{kindReply, byte(r.Shard), shuttingDown}
	b = binary.AppendUvarint(b, r.Seq)
	for _, e := range r.Entries[:min(len(r.Entries), maxEntries)] {
		b = binary.LittleEndian.AppendUint64(b, uint64(e.Key))
		b = appendUnits(b, math.Floor(e.Lent*lentScale))
		b = appendMillis(b, e.AskAfter)
		b = appendMillis(b, e.RetryAfter)
		b = appendUnits(b, e.Used*usedScale)
	}
	return b
}

// reader decodes the fields of a message.
type reader struct{ wire.Reader }

func (r *reader) units() float64 { return float64(r.Uvarint(maxUnits)) }

func (r *reader) shard() int {
	s := int(r.Byte())
	if s >= Shards {
		r.Malformed = true
		return 0
	}
	return s
}

func decodeAsk(b []byte) (ask, error) {
	r := &reader{wire.Reader{Remaining: b}}
	if r.Byte() != kindAsk {
		return ask{}, ErrMalformed
	}
	a := ask{Shard: r.shard(), Nonce: r.Uint64(), Seq: r.Uvarint(math.MaxUint64)}
	a.Fraction = float64(r.Uvarint(fractionScale)) / fractionScale
	a.PledgeTTL = r.Millis(maxPledgeTTL)
	for r.More() {
		if len(a.Entries) == maxEntries {
			return ask{}, ErrMalformed
		}
		a.Entries = append(a.Entries, askEntry{Key: Key(r.Uint64()), Need: r.units(), Expected: r.units(), Rejected: r.units()})
	}
	if r.Malformed {
		return ask{}, ErrMalformed
	}
	return a, nil
}

func decodeReply(b []byte) (reply, error) {
	r := &reader{wire.Reader{Remaining: b}}
	if r.Byte() != kindReply {
		return reply{}, ErrMalformed
	}
	out := reply{Shard: r.shard(), ShuttingDown: r.Byte() == 1, Seq: r.Uvarint(math.MaxUint64)}
	for r.More() {
		if len(out.Entries) == maxEntries {
			return reply{}, ErrMalformed
		}
		out.Entries = append(out.Entries, replyEntry{Key: Key(r.Uint64()), Lent: r.units() / lentScale, AskAfter: r.Millis(maxReplyDelay), RetryAfter: r.Millis(maxReplyDelay), Used: r.units() / usedScale})
	}
	if r.Malformed {
		return reply{}, ErrMalformed
	}
	return out, nil
}
