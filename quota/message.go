package quota

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/merlindock/merlindock/internal/wire"
)

// ErrMalformed reports a message that no daemon of this release sends.
var ErrMalformed = errors.New("quota: message is malformed")

// Kinds of message, with the version of their layout.
const (
	kindAsk   = 0x11
	kindReply = 0x13
)

// Bounds of messages. One fits into a datagram on links of any usual size.
const (
	maxEntries    = 32
	maxUnits      = 1 << 40
	fractionScale = 1 << 24 // parts are sent in units of one over this
	usedScale     = 1000    // use is sent in thousandths of the limit
	lentScale     = 1000    // what is lent is sent in thousandths of a unit, rounded down
	maxHold       = 10 * time.Second
	maxAgain      = time.Minute
	MaxDatagram   = 1400 // bytes
)

// ask is what a daemon pledges to the owner of a shard and asks of it.
type ask struct {
	Nonce    uint64 // of the sender's process
	Seq      uint64 // grows with each question of the process
	Shard    int
	Fraction float64       // the sender's part of the limits
	Hold     time.Duration // for which it is pledged; 0: it is pledged elsewhere
	Entries  []askEntry
}

// askEntry is the question for one organisation, in units of its limit.
type askEntry struct {
	Key      Key
	Need     float64 // of requests that wait
	Ahead    float64 // of those that probably come next
	Rejected float64 // of those turned away since the last question
}

// reply is an owner's answer.
type reply struct {
	Seq     uint64 // of the question
	Shard   int
	Leaving bool // the owner lends nothing, and the sender's part is free
	Entries []replyEntry
}

type replyEntry struct {
	Key   Key
	Lent  float64
	Again time.Duration // until the next question; 0: all that was needed is lent
	Retry time.Duration // for callers
	Used  float64       // of the limit, lately; see Verdict
}

func appendUnits(b []byte, v float64) []byte {
	return binary.AppendUvarint(b, uint64(math.Ceil(min(max(v, 0), maxUnits))))
}

func appendMillis(b []byte, d time.Duration) []byte {
	return binary.AppendUvarint(b, uint64((d+time.Millisecond-1)/time.Millisecond))
}

// encode returns the message. Only the first maxEntries are sent.
func (a *ask) encode() []byte {
	b := []byte{kindAsk, byte(a.Shard)}
	b = binary.LittleEndian.AppendUint64(b, a.Nonce)
	b = binary.AppendUvarint(b, a.Seq)
	b = binary.AppendUvarint(b, uint64(a.Fraction*fractionScale))
	b = appendMillis(b, a.Hold)
	for _, e := range a.Entries[:min(len(a.Entries), maxEntries)] {
		b = binary.LittleEndian.AppendUint64(b, uint64(e.Key))
		b = appendUnits(b, e.Need)
		b = appendUnits(b, e.Ahead)
		b = appendUnits(b, e.Rejected)
	}
	return b
}

func (r *reply) encode() []byte {
	leaving := byte(0)
	if r.Leaving {
		leaving = 1
	}
	b := []byte{kindReply, byte(r.Shard), leaving}
	b = binary.AppendUvarint(b, r.Seq)
	for _, e := range r.Entries[:min(len(r.Entries), maxEntries)] {
		b = binary.LittleEndian.AppendUint64(b, uint64(e.Key))
		b = appendUnits(b, math.Floor(e.Lent*lentScale))
		b = appendMillis(b, e.Again)
		b = appendMillis(b, e.Retry)
		b = appendUnits(b, e.Used*usedScale)
	}
	return b
}

// reader reads the fields of a message.
type reader struct{ wire.Reader }

func (r *reader) units() float64 { return float64(r.Uvarint(maxUnits)) }

func (r *reader) shard() int {
	s := int(r.Byte())
	if s >= Shards {
		r.Bad = true
		return 0
	}
	return s
}

func decodeAsk(b []byte) (ask, error) {
	r := &reader{wire.Reader{Rest: b}}
	if r.Byte() != kindAsk {
		return ask{}, ErrMalformed
	}
	a := ask{Shard: r.shard(), Nonce: r.Uint64(), Seq: r.Uvarint(math.MaxUint64)}
	a.Fraction = float64(r.Uvarint(fractionScale)) / fractionScale
	a.Hold = r.Millis(maxHold)
	for r.More() {
		if len(a.Entries) == maxEntries {
			return ask{}, ErrMalformed
		}
		a.Entries = append(a.Entries, askEntry{Key: Key(r.Uint64()), Need: r.units(), Ahead: r.units(), Rejected: r.units()})
	}
	if r.Bad {
		return ask{}, ErrMalformed
	}
	return a, nil
}

func decodeReply(b []byte) (reply, error) {
	r := &reader{wire.Reader{Rest: b}}
	if r.Byte() != kindReply {
		return reply{}, ErrMalformed
	}
	out := reply{Shard: r.shard(), Leaving: r.Byte() == 1, Seq: r.Uvarint(math.MaxUint64)}
	for r.More() {
		if len(out.Entries) == maxEntries {
			return reply{}, ErrMalformed
		}
		out.Entries = append(out.Entries, replyEntry{Key: Key(r.Uint64()), Lent: r.units() / lentScale, Again: r.Millis(maxAgain), Retry: r.Millis(maxAgain), Used: r.units() / usedScale})
	}
	if r.Bad {
		return reply{}, ErrMalformed
	}
	return out, nil
}
