package permits

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/merlindock/merlindock/internal/wire"
)

// ErrMalformed reports a message that is not in the format of this release.
var ErrMalformed = errors.New("permits: message is malformed")

// Message types. A change of a layout takes a new number.
const (
	kindAsk     = 0x61
	kindVerdict = 0x62
	kindReport  = 0x63 // the end of requests, and what an answer told
	kindRenew   = 0x64
	kindNotice  = 0x65 // services with brittle endpoints
	// kindNoticeAsk asks for a kindNotice.
	kindNoticeAsk = 0x66
)

// IsMessage reports whether data is a message of this package.
func IsMessage(data []byte) bool {
	return len(data) > 0 && data[0] >= kindAsk && data[0] <= kindNoticeAsk
}

// Limits of messages. The longest one fits into a datagram at common MTUs.
const (
	maxRenewals  = 64
	maxNotices   = 32
	maxSlots     = 1 << 16
	maxNoticeAge = time.Minute
)

// key identifies an endpoint or a service in messages.
type key uint64

// verdict answers an ask.
type verdict byte

const (
	denied verdict = iota
	granted
	queued // another verdict follows
)

// ask requests a permit.
type ask struct {
	key      key
	id       ID
	wait     time.Duration
	priority byte
	slots    int     // as listed; 0: unknown
	limit    float64 // rejections/s that crash the endpoint, as far as the asker knows
}

func (a *ask) encode() []byte {
	b := binary.LittleEndian.AppendUint64([]byte{kindAsk}, uint64(a.key))
	b = binary.LittleEndian.AppendUint64(b, uint64(a.id))
	b = binary.AppendUvarint(b, uint64(a.wait/time.Millisecond))
	b = append(b, a.priority)
	b = binary.AppendUvarint(b, uint64(a.slots))
	return binary.LittleEndian.AppendUint64(b, math.Float64bits(a.limit))
}

func decodeAsk(r *wire.Reader) ask {
	return ask{
		key: key(r.Uint64()), id: ID(r.Uint64()), wait: r.Millis(maxWait), priority: r.Byte(),
		slots: int(r.Uvarint(maxSlots)), limit: validLimit(math.Float64frombits(r.Uint64())),
	}
}

func encodeVerdict(k key, id ID, v verdict) []byte {
	b := binary.LittleEndian.AppendUint64([]byte{kindVerdict}, uint64(k))
	return append(binary.LittleEndian.AppendUint64(b, uint64(id)), byte(v))
}

// report tells the owner that a request has ended, what an answer told, or both.
type report struct {
	key      key
	id       ID   // of the request that has ended; 0: none has
	lost     bool // the request's connection was lost, so that it may still run
	rejected bool
	// permitted states that the rejected request had a permit.
	permitted bool
	answered  bool // the fields below are those of an answer
	reports   bool // the answer reported the load
	occupied  int  // requests that run and wait
	waiting   int
	slots     int
	limit     float64
}

// Bits of the flags of a report.
const (
	flagRejected = 1 << iota
	flagAnswered
	flagReports
	flagLost
	flagPermitted
)

func (p *report) encode() []byte {
	b := binary.LittleEndian.AppendUint64([]byte{kindReport}, uint64(p.key))
	b = binary.LittleEndian.AppendUint64(b, uint64(p.id))
	var flags byte
	for bit, set := range map[byte]bool{flagRejected: p.rejected, flagAnswered: p.answered, flagReports: p.reports, flagLost: p.lost, flagPermitted: p.permitted} {
		if set {
			flags |= bit
		}
	}
	b = append(b, flags)
	if !p.answered {
		return b
	}
	b = binary.AppendUvarint(b, uint64(p.occupied))
	b = binary.AppendUvarint(b, uint64(p.waiting))
	b = binary.AppendUvarint(b, uint64(p.slots))
	return binary.LittleEndian.AppendUint64(b, math.Float64bits(p.limit))
}

func decodeReport(r *wire.Reader) report {
	p := report{key: key(r.Uint64()), id: ID(r.Uint64())}
	flags := r.Byte()
	p.lost, p.permitted = flags&flagLost != 0, flags&flagPermitted != 0
	p.rejected, p.answered, p.reports = flags&flagRejected != 0, flags&flagAnswered != 0, flags&flagReports != 0
	if p.answered {
		p.occupied, p.waiting, p.slots = int(r.Uvarint(maxSlots)), int(r.Uvarint(maxSlots)), int(r.Uvarint(maxSlots))
		p.limit = validLimit(math.Float64frombits(r.Uint64()))
	}
	return p
}

// renewal extends the time of a permit.
type renewal struct {
	key key
	id  ID
}

func encodeRenewals(all []renewal) []byte {
	b := []byte{kindRenew}
	for _, r := range all {
		b = binary.LittleEndian.AppendUint64(b, uint64(r.key))
		b = binary.LittleEndian.AppendUint64(b, uint64(r.id))
	}
	return b
}

// notice tells that a service has brittle endpoints.
type notice struct {
	service key
	age     time.Duration // of the last answer that said so
}

func encodeNotices(all []notice) []byte {
	b := []byte{kindNotice}
	for _, n := range all {
		b = binary.LittleEndian.AppendUint64(b, uint64(n.service))
		b = binary.AppendUvarint(b, uint64(n.age/time.Millisecond))
	}
	return b
}

// Receive handles a message of another daemon. The error is ErrMalformed.
func (n *Node) Receive(now time.Duration, from string, data []byte) error {
	r := &wire.Reader{Remaining: data}
	n.heardAt = now
	switch r.Byte() {
	case kindAsk:
		a := decodeAsk(r)
		if !r.Malformed {
			n.owner.ask(now, from, &a)
		}
	case kindVerdict:
		k, id, v := key(r.Uint64()), ID(r.Uint64()), verdict(r.Byte())
		if !r.Malformed && v <= queued {
			n.decided(now, from, k, id, v)
		}
	case kindReport:
		p := decodeReport(r)
		if !r.Malformed {
			n.owner.report(now, from, &p)
		}
	case kindRenew:
		for range maxRenewals {
			if !r.More() {
				break
			}
			if k, id := key(r.Uint64()), ID(r.Uint64()); !r.Malformed {
				n.owner.renew(now, from, k, id)
			}
		}
	case kindNotice:
		for range maxNotices {
			if !r.More() {
				break
			}
			if s, age := key(r.Uint64()), r.Millis(maxNoticeAge); !r.Malformed {
				n.notices.set(now, s, now-age)
			}
		}
	case kindNoticeAsk:
		n.notices.tell(now, from)
	default:
		return ErrMalformed
	}
	if r.Malformed || r.More() {
		return ErrMalformed
	}
	return nil
}
